package coordinator

import (
	"context"
	"time"

	"github.com/mastwinch/mastwinch/internal/dispatch"
)

// responseBuffer is the capacity of the channel for responses to one request: one response, and
// those to repeated requests.
const responseBuffer = 8

// Place requests servers for a caller's request from the preferred coordinator until they are
// assigned or refused. It calls newRequest for each message, since durations in it count from the
// time of sending. It reports false when there is no coordinator, when the coordinator has no such
// service in its configuration, or when ctx is done. Then no coordinator holds an assignment for
// the request.
func (coordinator *Coordinator) Place(ctx context.Context, id uint64, newRequest func() dispatch.AssignmentRequest) (dispatch.AssignmentResponse, bool) {
	responses := coordinator.addPending(id)
	defer coordinator.removePending(id)
	target := ""
	unanswered := 0
	for ctx.Err() == nil {
		vm, found := coordinator.preferred()
		if !found {
			break
		}
		if vm != target {
			coordinator.cancel(target, id)
			target, unanswered = vm, 0
		}
		sentAt := coordinator.now()
		coordinator.sendRequest(vm, newRequest())
		response, received := coordinator.awaitResponse(ctx, responses, vm, coordinator.responseTimeout())
		if received {
			coordinator.recordResponseTime(coordinator.now().Sub(sentAt))
		}
		switch {
		case !received && ctx.Err() == nil:
			unanswered++
			if unanswered >= coordinator.settings.MaxMissedResponses {
				coordinator.network.ReportUnresponsive(vm)
			}
			continue
		case received && response.Decision == dispatch.DecisionQueued:
			unanswered = 0
			response, received = coordinator.awaitResponse(ctx, responses, vm, coordinator.settings.RepeatInterval)
		}
		if received && response.Final() {
			return response, true
		}
		if received && response.Decision == dispatch.DecisionUnknownService {
			break
		}
	}
	coordinator.cancel(target, id)
	return dispatch.AssignmentResponse{}, false
}

// ReleaseAssignment releases servers that were assigned to a request but are not used.
func (coordinator *Coordinator) ReleaseAssignment(id uint64) {
	for _, vm := range coordinator.network.Coordinators() {
		coordinator.cancel(vm, id)
	}
}

// HandleResponses handles responses of a VM to requests of this one.
func (coordinator *Coordinator) HandleResponses(vm string, responses []dispatch.AssignmentResponse) {
	coordinator.pendingMu.Lock()
	defer coordinator.pendingMu.Unlock()
	for _, response := range responses {
		waiter := coordinator.pending[response.ID]
		select {
		case waiter <- peerResponse{AssignmentResponse: response, vm: vm}: // a nil channel is never ready, so responses to unknown requests are dropped
		default:
		}
	}
}

// preferred returns the VM that assignments are requested from.
func (coordinator *Coordinator) preferred() (string, bool) {
	vms := coordinator.network.Coordinators()
	if len(vms) == 0 {
		return "", false
	}
	return vms[0], true
}

func (coordinator *Coordinator) addPending(id uint64) <-chan peerResponse {
	coordinator.pendingMu.Lock()
	defer coordinator.pendingMu.Unlock()
	responses := make(chan peerResponse, responseBuffer)
	coordinator.pending[id] = responses
	return responses
}

func (coordinator *Coordinator) removePending(id uint64) {
	coordinator.pendingMu.Lock()
	defer coordinator.pendingMu.Unlock()
	delete(coordinator.pending, id)
}

// sendRequest sends a request to a VM, which may be this one.
func (coordinator *Coordinator) sendRequest(vm string, request dispatch.AssignmentRequest) {
	if vm == coordinator.vm {
		coordinator.HandleRequests(vm, []dispatch.AssignmentRequest{request})
		return
	}
	coordinator.network.SendRequest(vm, request)
}

// cancel notifies a VM that the caller's request no longer needs servers. It does nothing if vm is
// empty.
func (coordinator *Coordinator) cancel(vm string, id uint64) {
	if vm != "" {
		coordinator.sendRequest(vm, dispatch.AssignmentRequest{ID: id, Cancelled: true})
	}
}

// awaitResponse waits for a response of a VM until the timeout. It drops late responses of other
// VMs, whose requests have been cancelled.
func (coordinator *Coordinator) awaitResponse(
	ctx context.Context, responses <-chan peerResponse, vm string, timeout time.Duration,
) (dispatch.AssignmentResponse, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case response := <-responses:
			if response.vm == vm {
				return response.AssignmentResponse, true
			}
		case <-timer.C:
			return dispatch.AssignmentResponse{}, false
		case <-ctx.Done():
			return dispatch.AssignmentResponse{}, false
		}
	}
}

// recordResponseTime updates the moving average of response times.
func (coordinator *Coordinator) recordResponseTime(responseTime time.Duration) {
	coordinator.pendingMu.Lock()
	defer coordinator.pendingMu.Unlock()
	coordinator.responseTime += time.Duration(coordinator.settings.ResponseTimeWeight * float64(responseTime-coordinator.responseTime))
}

// responseTimeout returns the timeout of the next response.
func (coordinator *Coordinator) responseTimeout() time.Duration {
	coordinator.pendingMu.Lock()
	defer coordinator.pendingMu.Unlock()
	settings := coordinator.settings
	expected := time.Duration(settings.ResponseTimeFactor * float64(coordinator.responseTime))
	return min(settings.AnswerMax, max(settings.AnswerMin, expected))
}
