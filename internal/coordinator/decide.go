package coordinator

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// HandleRequests handles requests of a VM for servers, and responds to them.
func (coordinator *Coordinator) Asked(vm string, assignmentRequests []dispatch.Ask) {
	for _, assignmentRequest := range assignmentRequests {
		if assignmentRequest.Withdrawn {
			coordinator.withdraw(dispatch.Key{VM: vm, ID: assignmentRequest.ID})
			continue
		}
		coordinator.answer(vm, coordinator.decide(vm, assignmentRequest))
	}
}

// decide returns the response to a request: the earlier one if the request has been decided
// already.
func (coordinator *Coordinator) decide(vm string, assignmentRequest dispatch.Ask) dispatch.Answer {
	coordinator.deciding.Lock()
	defer coordinator.deciding.Unlock()
	key := dispatch.Key{VM: vm, ID: assignmentRequest.ID}
	now := coordinator.now()
	if decision, found := coordinator.given[key]; found {
		return decision.answer
	}
	service, found := coordinator.services(assignmentRequest.Service)
	if !found {
		return dispatch.Answer{ID: assignmentRequest.ID, Decision: dispatch.DecisionUnknown}
	}
	request := &dispatch.Request{
		Key: key, Service: assignmentRequest.Service, Tried: assignmentRequest.Tried, KeptTo: assignmentRequest.KeptTo,
		Due: now.Add(assignmentRequest.Due), Leaves: now.Add(assignmentRequest.Stays),
		Placement: placement.Request{
			DataCentre: assignmentRequest.DataCentre, Engine: service.Engine, Tokens: assignmentRequest.Tokens, Memory: assignmentRequest.Memory,
			Gap: assignmentRequest.Gap, ShortestGap: service.ShortestGap, Objective: assignmentRequest.Objective,
			// A fixed seed per VM selects the same servers among equal ones, so that fewer new
			// connections are opened.
			Seed: xxhash.Sum64String(vm),
		},
	}
	request.Tight = service.Engine == nil || request.Placement.Tight()
	if service.Engine != nil {
		request.Work = service.Engine.ReadTime(assignmentRequest.Tokens)
		request.Least = request.Placement.Least()
	}
	_, found = coordinator.renewed[key]
	coordinator.renewed[key] = now
	if !found && !coordinator.grants(assignmentRequest) {
		return coordinator.refuse(dispatch.Refusal{Key: key}, now)
	}
	if queued := coordinator.queue.Find(key); queued != nil {
		*queued = *request
		return dispatch.Answer{ID: assignmentRequest.ID, Decision: dispatch.DecisionHeld}
	}
	assignment, placed := coordinator.queue.Offer(request, (*adapter)(coordinator), now)
	if !placed {
		coordinator.awake()
		return dispatch.Answer{ID: assignmentRequest.ID, Decision: dispatch.DecisionHeld}
	}
	return coordinator.give(assignment, now)
}

// allowAttempt reports whether a client request may go to servers: the first attempt always may,
// further ones are subject to the retry budget. The budget is kept here for all VMs, since with
// many VMs the share of each one is less than one retry.
func (coordinator *Coordinator) grants(assignmentRequest dispatch.Ask) bool {
	if assignmentRequest.Again {
		return coordinator.retries.Spend(assignmentRequest.Service)
	}
	if !assignmentRequest.Counted {
		coordinator.retries.Earn(assignmentRequest.Service)
	}
	return true
}

// recordAssignment records an assignment, and returns the response for it.
func (coordinator *Coordinator) give(assignment dispatch.Verdict, now time.Time) dispatch.Answer {
	response := assignment.Placed()
	delete(coordinator.renewed, assignment.Key)
	coordinator.given[assignment.Key] = given{answer: response, at: now}
	return response
}

// recordRefusal records a refusal, and returns the response for it.
func (coordinator *Coordinator) refuse(refusal dispatch.Refusal, now time.Time) dispatch.Answer {
	response := dispatch.Answer{ID: refusal.ID, Decision: dispatch.DecisionRefused, Return: refusal.Return}
	delete(coordinator.renewed, refusal.Key)
	coordinator.given[refusal.Key] = given{answer: response, at: now}
	return response
}

// sendResponse sends a response to the VM that sent the request.
func (coordinator *Coordinator) answer(vm string, response dispatch.Answer) {
	if vm == coordinator.vm {
		coordinator.Answered(vm, []dispatch.Answer{response})
		return
	}
	coordinator.network.Answer(vm, response)
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

// Run assigns servers to queued requests until ctx is done.
func (coordinator *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := coordinator.servers.Changed()
		started := coordinator.now()
		waiting := coordinator.pass(started)
		pause := time.Duration(coordinator.settings.RestTimes * float64(coordinator.now().Sub(started)))
		if !wait.For(ctx, max(coordinator.settings.Pause, pause)) {
			return
		}
		coordinator.sleep(ctx, changed, waiting)
	}
}

// waitForChange waits until there may be a decision to make.
func (coordinator *Coordinator) sleep(ctx context.Context, changed <-chan struct{}, waiting bool) {
	if !waiting {
		select {
		case <-coordinator.wake:
		case <-time.After(coordinator.settings.Remember):
		case <-ctx.Done():
		}
		return
	}
	timer := time.NewTimer(coordinator.settings.Look)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// dispatchQueued decides what it can for the queued requests, sends the responses, and reports
// whether requests are still queued.
func (coordinator *Coordinator) pass(now time.Time) bool {
	responses, waiting := coordinator.decideWaiting(now)
	for _, response := range responses {
		coordinator.answer(response.vm, response.Answer)
	}
	return waiting
}

// decideQueued returns the responses to queued requests that are decided now, and whether requests
// are still queued.
func (coordinator *Coordinator) decideWaiting(now time.Time) ([]addressed, bool) {
	coordinator.deciding.Lock()
	defer coordinator.deciding.Unlock()
	coordinator.lapse(now)
	if coordinator.queue.Len() == 0 {
		return nil, false
	}
	var responses []addressed
	assignments, refused := coordinator.queue.Pass((*adapter)(coordinator), now)
	for _, assignment := range assignments {
		responses = append(responses, addressed{Answer: coordinator.give(assignment, now), vm: assignment.VM})
	}
	for _, refusal := range refused {
		responses = append(responses, addressed{Answer: coordinator.refuse(refusal, now), vm: refusal.VM})
	}
	return responses, coordinator.queue.Len() > 0
}

// expire drops queued requests whose VMs have sent no message for a while, and old decisions.
func (coordinator *Coordinator) lapse(now time.Time) {
	coordinator.queue.DropWhere(func(request *dispatch.Request) bool {
		if now.Sub(coordinator.renewed[request.Key]) <= coordinator.settings.Lapse {
			return false
		}
		delete(coordinator.renewed, request.Key)
		return true
	})
	for key, decision := range coordinator.given {
		if now.Sub(decision.at) > coordinator.settings.Remember {
			delete(coordinator.given, key)
		}
	}
}

// adapter adapts a Coordinator to dispatch.Servers, for use by its queue.
type adapter Coordinator

var _ dispatch.Servers = (*adapter)(nil)

// Open implements dispatch.Servers.
func (adapter *adapter) Open(service string) []placement.Server {
	catalogService, found := adapter.services(service)
	if !found {
		return nil
	}
	return adapter.servers.Open(catalogService, nil)
}

// Resting implements dispatch.Servers.
func (adapter *adapter) Resting(vm string) []string {
	return adapter.servers.Resting(vm)
}

// TakesPerSecond implements dispatch.Servers.
func (adapter *adapter) TakesPerSecond(request *dispatch.Request) (float64, bool) {
	return adapter.servers.TakesPerSecond(request.Service, request.KeptTo, request.VM)
}

// AllEvacuated implements dispatch.Servers.
func (adapter *adapter) AllEvacuated(request *dispatch.Request) bool {
	return adapter.servers.AllEvacuated(request.Service, request.KeptTo)
}

// Take implements dispatch.Servers.
func (adapter *adapter) Take(request *dispatch.Request, plan placement.Plan) {
	adapter.servers.Assign(request.VM, request.ID, plan, request.Placement)
}
