package coordinator

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// HandleRequests handles requests of a VM for servers, and responds to them.
func (coordinator *Coordinator) HandleRequests(vm string, assignmentRequests []dispatch.AssignmentRequest) {
	for _, assignmentRequest := range assignmentRequests {
		if assignmentRequest.Cancelled {
			coordinator.handleCancellation(dispatch.Key{VM: vm, ID: assignmentRequest.ID})
			continue
		}
		coordinator.sendResponse(vm, coordinator.decide(vm, assignmentRequest))
	}
}

// decide returns the response to a request: the earlier one if the request has been decided
// already.
func (coordinator *Coordinator) decide(vm string, assignmentRequest dispatch.AssignmentRequest) dispatch.AssignmentResponse {
	coordinator.decideMu.Lock()
	defer coordinator.decideMu.Unlock()
	key := dispatch.Key{VM: vm, ID: assignmentRequest.ID}
	now := coordinator.now()
	if decision, found := coordinator.decisions[key]; found {
		return decision.response
	}
	service, found := coordinator.services(assignmentRequest.Service)
	if !found {
		return dispatch.AssignmentResponse{ID: assignmentRequest.ID, Decision: dispatch.DecisionUnknownService}
	}
	request := &dispatch.Request{
		Key: key, Service: assignmentRequest.Service, Tried: assignmentRequest.Tried, AllowedDataCentres: assignmentRequest.AllowedDataCentres,
		ObjectiveDeadline: now.Add(assignmentRequest.TimeToObjective), CallerDeadline: now.Add(assignmentRequest.TimeToCallerDeadline),
		Priority: assignmentRequest.Priority, Contained: assignmentRequest.Contained,
		Placement: placement.Request{
			Organisation: assignmentRequest.Organisation,
			DataCentre:   assignmentRequest.DataCentre, Engine: service.Engine, Tokens: assignmentRequest.Tokens, Memory: assignmentRequest.Memory,
			InterTokenObjective: assignmentRequest.InterTokenObjective, ShortestInterTokenObjective: service.ShortestInterTokenObjective, Objective: assignmentRequest.Objective,
			// A fixed seed per VM selects the same servers among equal ones, so that fewer new
			// connections are opened.
			Seed: xxhash.Sum64String(vm),
		},
	}
	request.Packable = service.Engine == nil || request.Placement.Packable()
	if service.Engine != nil {
		request.Prefill = service.Engine.PrefillTime(assignmentRequest.Tokens)
		request.MinTTFT = request.Placement.MinTTFT()
	}
	_, found = coordinator.lastRequested[key]
	coordinator.lastRequested[key] = now
	if !found && !coordinator.allowAttempt(assignmentRequest) {
		return coordinator.recordRefusal(dispatch.Refusal{Key: key}, now)
	}
	if queued := coordinator.queue.Find(key); queued != nil {
		*queued = *request
		return dispatch.AssignmentResponse{ID: assignmentRequest.ID, Decision: dispatch.DecisionQueued}
	}
	assignment, placed := coordinator.queue.Offer(request, (*adapter)(coordinator), now)
	if !placed {
		coordinator.signalQueued()
		return dispatch.AssignmentResponse{ID: assignmentRequest.ID, Decision: dispatch.DecisionQueued}
	}
	return coordinator.recordAssignment(assignment, now)
}

// allowAttempt reports whether a caller's request may go to servers: the first attempt always may,
// further ones are subject to the retry budget. The budget is kept here for all VMs, since with
// many VMs the share of each one is less than one retry.
func (coordinator *Coordinator) allowAttempt(assignmentRequest dispatch.AssignmentRequest) bool {
	if assignmentRequest.Retry {
		return coordinator.spendRetry(assignmentRequest)
	}
	if !assignmentRequest.Counted {
		coordinator.retryBudget.Earn(assignmentRequest.Service)
	}
	return true
}

// spendRetry takes a retry from the budget of a service, and reports whether one was left for the
// request's organisation.
func (coordinator *Coordinator) spendRetry(assignmentRequest dispatch.AssignmentRequest) bool {
	now := coordinator.now()
	service, organisation := assignmentRequest.Service, assignmentRequest.Organisation
	if !coordinator.retries.allow(service, organisation, coordinator.retryBudget.Left(service), now) {
		return false
	}
	if !coordinator.retryBudget.Spend(service) {
		return false
	}
	coordinator.retries.record(service, organisation, now)
	return true
}

// recordAssignment records an assignment, and returns the response for it.
func (coordinator *Coordinator) recordAssignment(assignment dispatch.Assignment, now time.Time) dispatch.AssignmentResponse {
	response := assignment.Response()
	delete(coordinator.lastRequested, assignment.Key)
	coordinator.decisions[assignment.Key] = decision{response: response, at: now}
	return response
}

// recordRefusal records a refusal, and returns the response for it.
func (coordinator *Coordinator) recordRefusal(refusal dispatch.Refusal, now time.Time) dispatch.AssignmentResponse {
	response := dispatch.AssignmentResponse{ID: refusal.ID, Decision: dispatch.DecisionRefused, RetryAfter: refusal.RetryAfter, ShareRatio: refusal.ShareRatio}
	delete(coordinator.lastRequested, refusal.Key)
	coordinator.decisions[refusal.Key] = decision{response: response, at: now}
	return response
}

// sendResponse sends a response to the VM that sent the request.
func (coordinator *Coordinator) sendResponse(vm string, response dispatch.AssignmentResponse) {
	if vm == coordinator.vm {
		coordinator.HandleResponses(vm, []dispatch.AssignmentResponse{response})
		return
	}
	coordinator.network.SendResponse(vm, response)
}

func (coordinator *Coordinator) handleCancellation(key dispatch.Key) {
	coordinator.decideMu.Lock()
	defer coordinator.decideMu.Unlock()
	coordinator.queue.Remove(key)
	delete(coordinator.lastRequested, key)
	if _, decided := coordinator.decisions[key]; decided {
		delete(coordinator.decisions, key)
		coordinator.servers.Withdraw(key.VM, key.ID)
	}
}

func (coordinator *Coordinator) signalQueued() {
	select {
	case coordinator.queued <- struct{}{}:
	default:
	}
}

// Run assigns servers to queued requests until ctx is done.
func (coordinator *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := coordinator.servers.Changed()
		started := coordinator.now()
		waiting := coordinator.dispatchQueued(started)
		pause := time.Duration(coordinator.settings.DispatchPauseFactor * float64(coordinator.now().Sub(started)))
		if !wait.For(ctx, max(coordinator.settings.MinDispatchInterval, pause)) {
			return
		}
		coordinator.waitForChange(ctx, changed, waiting)
	}
}

// waitForChange waits until there may be a decision to make.
func (coordinator *Coordinator) waitForChange(ctx context.Context, changed <-chan struct{}, waiting bool) {
	if !waiting {
		select {
		case <-coordinator.queued:
		case <-time.After(coordinator.settings.DecisionTTL):
		case <-ctx.Done():
		}
		return
	}
	timer := time.NewTimer(coordinator.settings.DispatchInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// dispatchQueued decides what it can for the queued requests, sends the responses, and reports
// whether requests are still queued.
func (coordinator *Coordinator) dispatchQueued(now time.Time) bool {
	responses, waiting := coordinator.decideQueued(now)
	for _, response := range responses {
		coordinator.sendResponse(response.vm, response.AssignmentResponse)
	}
	return waiting
}

// decideQueued returns the responses to queued requests that are decided now, and whether requests
// are still queued.
func (coordinator *Coordinator) decideQueued(now time.Time) ([]peerResponse, bool) {
	coordinator.decideMu.Lock()
	defer coordinator.decideMu.Unlock()
	coordinator.expire(now)
	if coordinator.queue.Len() == 0 {
		return nil, false
	}
	var responses []peerResponse
	assignments, refused := coordinator.queue.Dispatch((*adapter)(coordinator), now)
	for _, assignment := range assignments {
		responses = append(responses, peerResponse{AssignmentResponse: coordinator.recordAssignment(assignment, now), vm: assignment.VM})
	}
	for _, refusal := range refused {
		responses = append(responses, peerResponse{AssignmentResponse: coordinator.recordRefusal(refusal, now), vm: refusal.VM})
	}
	return responses, coordinator.queue.Len() > 0
}

// OverShares returns the organisations that use more than their shares of the servers of a service,
// while this VM is the coordinator.
func (coordinator *Coordinator) OverShares() []dispatch.OverShare {
	coordinator.decideMu.Lock()
	defer coordinator.decideMu.Unlock()
	return coordinator.queue.OverShares(coordinator.now())
}

// expire drops queued requests that their VMs have not repeated within QueuedRequestTTL, and
// decisions older than DecisionTTL.
func (coordinator *Coordinator) expire(now time.Time) {
	coordinator.retries.forgetIdle(now)
	coordinator.queue.ForgetIdle(now)
	coordinator.queue.DropWhere(func(request *dispatch.Request) bool {
		if now.Sub(coordinator.lastRequested[request.Key]) <= coordinator.settings.QueuedRequestTTL {
			return false
		}
		delete(coordinator.lastRequested, request.Key)
		return true
	})
	for key, decision := range coordinator.decisions {
		if now.Sub(decision.at) > coordinator.settings.DecisionTTL {
			delete(coordinator.decisions, key)
		}
	}
}

// adapter adapts a Coordinator to dispatch.Servers, for use by its queue.
type adapter Coordinator

var _ dispatch.Servers = (*adapter)(nil)

// Eligible implements dispatch.Servers.
func (adapter *adapter) Eligible(service string) []placement.Server {
	catalogService, found := adapter.services(service)
	if !found {
		return nil
	}
	return adapter.servers.Eligible(catalogService, nil)
}

// Usage implements dispatch.Servers.
func (adapter *adapter) Usage(service string) fairshare.Usage {
	catalogService, found := adapter.services(service)
	if !found {
		return fairshare.Usage{}
	}
	return adapter.servers.Usage(catalogService)
}

// BackoffServers implements dispatch.Servers.
func (adapter *adapter) BackoffServers(vm string) []string {
	return adapter.servers.BackoffServers(vm)
}

// AcceptedRate implements dispatch.Servers.
func (adapter *adapter) AcceptedRate(request *dispatch.Request) (float64, bool) {
	return adapter.servers.AcceptedRate(request.Service, request.AllowedDataCentres, request.VM)
}

// AllEvacuated implements dispatch.Servers.
func (adapter *adapter) AllEvacuated(request *dispatch.Request) bool {
	return adapter.servers.AllEvacuated(request.Service, request.AllowedDataCentres)
}

// InPrefill implements dispatch.Servers.
func (adapter *adapter) InPrefill(key dispatch.Key) bool {
	return adapter.servers.InPrefill(key.VM, key.ID)
}

// RecordAssignment implements dispatch.Servers.
func (adapter *adapter) RecordAssignment(request *dispatch.Request, plan placement.Plan) {
	adapter.servers.Assign(request.VM, request.ID, plan, request.Placement)
}
