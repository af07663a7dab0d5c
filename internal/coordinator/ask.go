package coordinator

import (
	"context"
	"time"

	"github.com/mastwinch/mastwinch/internal/dispatch"
)

// replies is how many answers to one ask may wait to be read: one and what asking again
// brings.
const replies = 8

// Place asks until a request has servers or is refused. The ask is made anew each time,
// since times in it are counted from now. It reports false when nobody answers, or when ctx ended: then
// nobody holds servers for the request.
func (coordinator *Coordinator) Place(ctx context.Context, id uint64, ask func() dispatch.Ask) (dispatch.Answer, bool) {
	answers := coordinator.begin(id)
	defer coordinator.finish(id)
	asked := ""
	misses := 0
	for ctx.Err() == nil {
		vm, found := coordinator.first()
		if !found {
			break
		}
		if vm != asked {
			coordinator.takeBack(asked, id)
			asked, misses = vm, 0
		}
		sent := coordinator.now()
		coordinator.send(vm, ask())
		answer, answered := coordinator.await(ctx, answers, vm, coordinator.patience())
		if answered {
			coordinator.learn(coordinator.now().Sub(sent))
		}
		switch {
		case !answered && ctx.Err() == nil:
			misses++
			if misses >= coordinator.settings.Misses {
				coordinator.network.Doubt(vm)
			}
			continue
		case answered && answer.Decision == dispatch.DecisionHeld:
			misses = 0
			answer, answered = coordinator.await(ctx, answers, vm, coordinator.settings.Renew)
		}
		if answered && answer.Final() {
			return answer, true
		}
		if answered && answer.Decision == dispatch.DecisionUnknown {
			break
		}
	}
	coordinator.takeBack(asked, id)
	return dispatch.Answer{}, false
}

// Withdraw gives up servers that a request got and does not use.
func (coordinator *Coordinator) Withdraw(id uint64) {
	for _, vm := range coordinator.network.Coordinators() {
		coordinator.takeBack(vm, id)
	}
}

// Answered takes answers of a VM to asks of this one.
func (coordinator *Coordinator) Answered(vm string, answers []dispatch.Answer) {
	coordinator.asking.Lock()
	defer coordinator.asking.Unlock()
	for _, answer := range answers {
		waits := coordinator.open[answer.ID]
		select {
		case waits <- addressed{Answer: answer, vm: vm}: // nobody reads from nil
		default:
		}
	}
}

// first returns the VM to ask.
func (coordinator *Coordinator) first() (string, bool) {
	vms := coordinator.network.Coordinators()
	if len(vms) == 0 {
		return "", false
	}
	return vms[0], true
}

func (coordinator *Coordinator) begin(id uint64) <-chan addressed {
	coordinator.asking.Lock()
	defer coordinator.asking.Unlock()
	answers := make(chan addressed, replies)
	coordinator.open[id] = answers
	return answers
}

func (coordinator *Coordinator) finish(id uint64) {
	coordinator.asking.Lock()
	defer coordinator.asking.Unlock()
	delete(coordinator.open, id)
}

// send asks a VM, which may be this one.
func (coordinator *Coordinator) send(vm string, ask dispatch.Ask) {
	if vm == coordinator.vm {
		coordinator.Asked(vm, []dispatch.Ask{ask})
		return
	}
	coordinator.network.Ask(vm, ask)
}

// takeBack tells a VM that was asked that the request wants nothing of it any more.
func (coordinator *Coordinator) takeBack(vm string, id uint64) {
	if vm != "" {
		coordinator.send(vm, dispatch.Ask{ID: id, Withdrawn: true})
	}
}

// await waits for an answer of a VM. Late ones of others, which were told that nothing is
// wanted of them, are left out.
func (coordinator *Coordinator) await(
	ctx context.Context, answers <-chan addressed, vm string, most time.Duration,
) (dispatch.Answer, bool) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		select {
		case answer := <-answers:
			if answer.vm == vm {
				return answer.Answer, true
			}
		case <-timer.C:
			return dispatch.Answer{}, false
		case <-ctx.Done():
			return dispatch.Answer{}, false
		}
	}
}

// learn takes over how long an answer took.
func (coordinator *Coordinator) learn(took time.Duration) {
	coordinator.asking.Lock()
	defer coordinator.asking.Unlock()
	coordinator.took += time.Duration(coordinator.settings.AnswerGain * float64(took-coordinator.took))
}

// patience is how long an answer may take.
func (coordinator *Coordinator) patience() time.Duration {
	coordinator.asking.Lock()
	defer coordinator.asking.Unlock()
	settings := coordinator.settings
	usual := time.Duration(settings.AnswerTimes * float64(coordinator.took))
	return min(settings.AnswerMax, max(settings.AnswerMin, usual))
}
