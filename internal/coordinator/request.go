package coordinator

import (
	"context"
	"time"

	"github.com/mastwinch/mastwinch/internal/dispatch"
)

// responseBuffer is the capacity of the channel for responses to one request: one response, and
// those to repeated requests.
const replies = 8

// Place requests servers for a client request from the preferred coordinator until they are
// assigned or refused. It calls newRequest for each message, since durations in it count from the
// time of sending. It reports false when there is no coordinator, when the coordinator has no such
// service in its configuration, or when ctx is done. Then no coordinator holds an assignment for
// the request.
func (coordinator *Coordinator) Place(ctx context.Context, id uint64, newRequest func() dispatch.Ask) (dispatch.Answer, bool) {
	responses := coordinator.begin(id)
	defer coordinator.finish(id)
	target := ""
	unanswered := 0
	for ctx.Err() == nil {
		vm, found := coordinator.first()
		if !found {
			break
		}
		if vm != target {
			coordinator.takeBack(target, id)
			target, unanswered = vm, 0
		}
		sentAt := coordinator.now()
		coordinator.send(vm, newRequest())
		response, received := coordinator.await(ctx, responses, vm, coordinator.patience())
		if received {
			coordinator.learn(coordinator.now().Sub(sentAt))
		}
		switch {
		case !received && ctx.Err() == nil:
			unanswered++
			if unanswered >= coordinator.settings.Misses {
				coordinator.network.Doubt(vm)
			}
			continue
		case received && response.Decision == dispatch.DecisionHeld:
			unanswered = 0
			response, received = coordinator.await(ctx, responses, vm, coordinator.settings.Renew)
		}
		if received && response.Final() {
			return response, true
		}
		if received && response.Decision == dispatch.DecisionUnknown {
			break
		}
	}
	coordinator.takeBack(target, id)
	return dispatch.Answer{}, false
}

// ReleaseAssignment gives up servers that were assigned to a request but are not used.
func (coordinator *Coordinator) Withdraw(id uint64) {
	for _, vm := range coordinator.network.Coordinators() {
		coordinator.takeBack(vm, id)
	}
}

// HandleResponses handles responses of a VM to requests of this one.
func (coordinator *Coordinator) Answered(vm string, responses []dispatch.Answer) {
	coordinator.asking.Lock()
	defer coordinator.asking.Unlock()
	for _, response := range responses {
		waiter := coordinator.open[response.ID]
		select {
		case waiter <- addressed{Answer: response, vm: vm}: // a nil channel is never ready, so responses to unknown requests are dropped
		default:
		}
	}
}

// preferred returns the VM that assignments are requested from.
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
	responses := make(chan addressed, replies)
	coordinator.open[id] = responses
	return responses
}

func (coordinator *Coordinator) finish(id uint64) {
	coordinator.asking.Lock()
	defer coordinator.asking.Unlock()
	delete(coordinator.open, id)
}

// sendRequest sends a request to a VM, which may be this one.
func (coordinator *Coordinator) send(vm string, request dispatch.Ask) {
	if vm == coordinator.vm {
		coordinator.Asked(vm, []dispatch.Ask{request})
		return
	}
	coordinator.network.Ask(vm, request)
}

// cancel notifies a VM that the client request no longer needs servers. It does nothing if vm is
// empty.
func (coordinator *Coordinator) takeBack(vm string, id uint64) {
	if vm != "" {
		coordinator.send(vm, dispatch.Ask{ID: id, Withdrawn: true})
	}
}

// awaitResponse waits for a response of a VM until the timeout. It drops late responses of other
// VMs, whose requests have been cancelled.
func (coordinator *Coordinator) await(
	ctx context.Context, responses <-chan addressed, vm string, timeout time.Duration,
) (dispatch.Answer, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case response := <-responses:
			if response.vm == vm {
				return response.Answer, true
			}
		case <-timer.C:
			return dispatch.Answer{}, false
		case <-ctx.Done():
			return dispatch.Answer{}, false
		}
	}
}

// recordResponseTime updates the moving average of response times.
func (coordinator *Coordinator) learn(responseTime time.Duration) {
	coordinator.asking.Lock()
	defer coordinator.asking.Unlock()
	coordinator.took += time.Duration(coordinator.settings.AnswerGain * float64(responseTime-coordinator.took))
}

// responseTimeout returns the timeout of the next response.
func (coordinator *Coordinator) patience() time.Duration {
	coordinator.asking.Lock()
	defer coordinator.asking.Unlock()
	settings := coordinator.settings
	expected := time.Duration(settings.AnswerTimes * float64(coordinator.took))
	return min(settings.AnswerMax, max(settings.AnswerMin, expected))
}
