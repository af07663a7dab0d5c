package coordinator

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Asked takes asks of a VM, and answers them.
func (coordinator *Coordinator) Asked(vm string, asks []dispatch.Ask) {
	for _, ask := range asks {
		if ask.Withdrawn {
			coordinator.withdraw(dispatch.Key{VM: vm, ID: ask.ID})
			continue
		}
		coordinator.answer(vm, coordinator.decide(vm, ask))
	}
}

// decide returns the answer to an ask.
func (coordinator *Coordinator) decide(vm string, ask dispatch.Ask) dispatch.Answer {
	coordinator.deciding.Lock()
	defer coordinator.deciding.Unlock()
	key := dispatch.Key{VM: vm, ID: ask.ID}
	now := coordinator.now()
	if given, known := coordinator.given[key]; known {
		return given.answer
	}
	service, known := coordinator.services(ask.Service)
	if !known {
		return dispatch.Answer{ID: ask.ID, Decision: dispatch.DecisionUnknown}
	}
	request := &dispatch.Request{
		Key: key, Service: ask.Service, Tried: ask.Tried, KeptTo: ask.KeptTo,
		Due: now.Add(ask.Due), Leaves: now.Add(ask.Stays),
		Placement: placement.Request{
			DataCentre: ask.DataCentre, Engine: service.Engine, Tokens: ask.Tokens, Memory: ask.Memory,
			Gap: ask.Gap, ShortestGap: service.ShortestGap, Objective: ask.Objective,
			// A VM keeps to the same servers where they are equal, so that fewer new connections are opened.
			Seed: xxhash.Sum64String(vm),
		},
	}
	request.Tight = service.Engine == nil || request.Placement.Tight()
	if service.Engine != nil {
		request.Work = service.Engine.ReadTime(ask.Tokens)
		request.Least = request.Placement.Least()
	}
	_, known = coordinator.renewed[key]
	coordinator.renewed[key] = now
	if !known && !coordinator.grants(ask) {
		return coordinator.refuse(dispatch.Refusal{Key: key}, now)
	}
	if waits := coordinator.queue.Find(key); waits != nil {
		*waits = *request
		return dispatch.Answer{ID: ask.ID, Decision: dispatch.DecisionHeld}
	}
	verdict, placed := coordinator.queue.Offer(request, (*view)(coordinator), now)
	if !placed {
		coordinator.awake()
		return dispatch.Answer{ID: ask.ID, Decision: dispatch.DecisionHeld}
	}
	return coordinator.give(verdict, now)
}

// grants reports whether a request may go to servers: each may once, and again as far as retries are granted. One VM of
// many has no whole retry of what all may have together.
func (coordinator *Coordinator) grants(ask dispatch.Ask) bool {
	if ask.Again {
		return coordinator.retries.Spend(ask.Service)
	}
	if !ask.Counted {
		coordinator.retries.Earn(ask.Service)
	}
	return true
}

// give notes a decision, and returns the answer that tells it.
func (coordinator *Coordinator) give(verdict dispatch.Verdict, now time.Time) dispatch.Answer {
	answer := verdict.Placed()
	delete(coordinator.renewed, verdict.Key)
	coordinator.given[verdict.Key] = given{answer: answer, at: now}
	return answer
}

// refuse notes that a request is refused, and returns the answer that tells it.
func (coordinator *Coordinator) refuse(refusal dispatch.Refusal, now time.Time) dispatch.Answer {
	answer := dispatch.Answer{ID: refusal.ID, Decision: dispatch.DecisionRefused, Return: refusal.Return}
	delete(coordinator.renewed, refusal.Key)
	coordinator.given[refusal.Key] = given{answer: answer, at: now}
	return answer
}

// answer sends an answer to the VM that asked.
func (coordinator *Coordinator) answer(vm string, answer dispatch.Answer) {
	if vm == coordinator.vm {
		coordinator.Answered(vm, []dispatch.Answer{answer})
		return
	}
	coordinator.network.Answer(vm, answer)
}

func (coordinator *Coordinator) withdraw(key dispatch.Key) {
	coordinator.deciding.Lock()
	defer coordinator.deciding.Unlock()
	coordinator.queue.Remove(key)
	delete(coordinator.renewed, key)
	if _, decided := coordinator.given[key]; decided {
		delete(coordinator.given, key)
		coordinator.servers.Withdraw(key.VM, key.ID)
	}
}

func (coordinator *Coordinator) awake() {
	select {
	case coordinator.wake <- struct{}{}:
	default:
	}
}

// Run gives servers to requests that wait, until ctx is done.
func (coordinator *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := coordinator.servers.Changed()
		started := coordinator.now()
		waiting := coordinator.pass(started)
		rest := time.Duration(coordinator.settings.RestTimes * float64(coordinator.now().Sub(started)))
		if !wait.For(ctx, max(coordinator.settings.Pause, rest)) {
			return
		}
		coordinator.sleep(ctx, changed, waiting)
	}
}

// sleep waits until there may be something to decide.
func (coordinator *Coordinator) sleep(ctx context.Context, changed <-chan struct{}, waiting bool) {
	if !waiting {
		select {
		case <-coordinator.wake:
		case <-time.After(coordinator.settings.Remember):
		case <-ctx.Done():
		}
		return
	}
	look := time.NewTimer(coordinator.settings.Look)
	defer look.Stop()
	select {
	case <-changed:
	case <-look.C:
	case <-ctx.Done():
	}
}

// pass looks at all that waits, tells what was decided, and reports whether something
// still waits.
func (coordinator *Coordinator) pass(now time.Time) bool {
	answers, waiting := coordinator.decideWaiting(now)
	for _, answer := range answers {
		coordinator.answer(answer.vm, answer.Answer)
	}
	return waiting
}

// decideWaiting returns the answers to those that got servers, each with the VM that it
// goes to, and whether others still wait.
func (coordinator *Coordinator) decideWaiting(now time.Time) ([]addressed, bool) {
	coordinator.deciding.Lock()
	defer coordinator.deciding.Unlock()
	coordinator.lapse(now)
	if coordinator.queue.Len() == 0 {
		return nil, false
	}
	var answers []addressed
	verdicts, refused := coordinator.queue.Pass((*view)(coordinator), now)
	for _, verdict := range verdicts {
		answers = append(answers, addressed{Answer: coordinator.give(verdict, now), vm: verdict.VM})
	}
	for _, refusal := range refused {
		answers = append(answers, addressed{Answer: coordinator.refuse(refusal, now), vm: refusal.VM})
	}
	return answers, coordinator.queue.Len() > 0
}

// lapse drops requests whose VMs are silent, and decisions of long ago.
func (coordinator *Coordinator) lapse(now time.Time) {
	coordinator.queue.DropWhere(func(request *dispatch.Request) bool {
		if now.Sub(coordinator.renewed[request.Key]) <= coordinator.settings.Lapse {
			return false
		}
		delete(coordinator.renewed, request.Key)
		return true
	})
	for key, given := range coordinator.given {
		if now.Sub(given.at) > coordinator.settings.Remember {
			delete(coordinator.given, key)
		}
	}
}

// view is what is believed of the servers, as decisions see it.
type view Coordinator

var _ dispatch.Servers = (*view)(nil)

// Open implements dispatch.Servers.
func (view *view) Open(service string) []placement.Server {
	known, found := view.services(service)
	if !found {
		return nil
	}
	return view.servers.Open(known, nil)
}

// Resting implements dispatch.Servers.
func (view *view) Resting(vm string) []string {
	return view.servers.Resting(vm)
}

// TakesPerSecond implements dispatch.Servers.
func (view *view) TakesPerSecond(request *dispatch.Request) (float64, bool) {
	return view.servers.TakesPerSecond(request.Service, request.KeptTo, request.VM)
}

// AllEvacuated implements dispatch.Servers.
func (view *view) AllEvacuated(request *dispatch.Request) bool {
	return view.servers.AllEvacuated(request.Service, request.KeptTo)
}

// Take implements dispatch.Servers.
func (view *view) Take(request *dispatch.Request, plan placement.Plan) {
	view.servers.Assign(request.VM, request.ID, plan, request.Placement)
}
