// Package dispatch queues requests that need backend servers, and decides which of them get servers
// now and in which order the others wait. It has no clock, lock or goroutine and does no I/O: the
// state of the servers and the time are passed in, assignments are returned.
//
// One queue for all VMs handles bursts in which requests of many VMs compete for the same servers:
// long prompts beyond what the engines can prefill, or short ones that fill them. Each decision
// takes all earlier ones into account at once, without first having to reach other VMs. If each VM
// decided by itself, and only after the last decision had reached all VMs, that delay would limit
// the rate of long prompts, however many engines there are.
package dispatch

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// Servers gives access to the known state of the servers.
type Servers interface {
	// Eligible returns the servers of a service that may get requests.
	Eligible(service string) []placement.Server
	// Usage returns the servers of a service that get requests, and what organisations use of them.
	Usage(service string) fairshare.Usage
	// BackoffServers returns the IDs of the servers that are in backoff for a VM.
	BackoffServers(vm string) []string
	// AcceptedRate returns the combined rate limit, in requests a second over all VMs, of the servers
	// that the request may go to and that accept requests of its VM now. It reports whether all of
	// these servers advertise limits.
	AcceptedRate(request *Request) (float64, bool)
	// AllEvacuated reports whether the operator has evacuated all servers that the request may go
	// to.
	AllEvacuated(request *Request) bool
	// InPrefill reports whether a request that got servers may still be without an event of its response.
	InPrefill(key Key) bool
	// RecordAssignment records that the servers of a plan are assigned to a request.
	RecordAssignment(request *Request, plan placement.Plan)
}

// Queue holds the requests that wait for servers. It is not safe for concurrent use.
type Queue struct {
	policy placement.Policy
	// requests has each queued request once, in the order of the last pass.
	requests []*Request
	// late has the throughput of late requests by service.
	late map[string]*lateThroughput
	// retryTimes has, by service, the retry time given to the last caller refused for rate limits.
	retryTimes map[string]time.Time
	shares     *shares
	// containment holds back requests under which servers may crash.
	containment *containment
}

// New returns an empty queue that places requests by the given policy, and divides servers among
// organisations by the given settings.
func New(policy placement.Policy, settings fairshare.Settings) *Queue {
	return &Queue{
		policy: policy, late: make(map[string]*lateThroughput), retryTimes: make(map[string]time.Time), shares: newShares(settings),
		containment: newContainment(),
	}
}

// Len returns the number of queued requests.
func (queue *Queue) Len() int {
	return len(queue.requests)
}

// Offer assigns servers to a new request, or queues it, and reports whether it assigned any. A
// request of the same key is replaced. Requests already queued found no servers when the state last
// changed, so the new request overtakes none that could have been placed. But rate-limited servers
// accept another request by the passing of time alone, so a request behind others for such servers
// waits for the next pass.
func (queue *Queue) Offer(request *Request, servers Servers, now time.Time) (Assignment, bool) {
	queue.Remove(request.Key)
	queue.requests = append(queue.requests, request)
	queue.shares.recordArrival(request, now)
	if queue.count(request.Service) > 1 {
		if _, limited := servers.AcceptedRate(request); limited {
			return Assignment{}, false
		}
		queue.divide(request, servers, now)
		if queue.shares.heldBack(request, now) {
			return Assignment{}, false
		}
	}
	plan, placed := queue.tryPlace(request, servers, servers.Eligible(request.Service), now)
	if !placed {
		return Assignment{}, false
	}
	queue.requests = queue.requests[:len(queue.requests)-1]
	queue.recordAssignment(request, plan, servers, now)
	return Assignment{Key: request.Key, Plan: plan}, true
}

// Dispatch assigns servers to queued requests, in order of priority, and returns the assignments. A
// request that fits on no server does not block those behind it. Dispatch then refuses and returns
// the remaining requests that are not expected to be served in time.
func (queue *Queue) Dispatch(servers Servers, now time.Time) ([]Assignment, []Refusal) {
	queue.containment.forgetFinished(servers)
	queue.updateLateThroughput(now)
	queue.divideAll(servers, now)
	queue.shares.startPass()
	slices.SortFunc(queue.requests, queue.compareAt(now))
	available := make(map[string][]placement.Server)
	var assignments []Assignment
	queue.requests = slices.DeleteFunc(queue.requests, func(request *Request) bool {
		if queue.shares.heldBack(request, now) {
			return false
		}
		serviceServers, found := available[request.Service]
		if !found {
			serviceServers = servers.Eligible(request.Service)
			available[request.Service] = serviceServers
		}
		plan, placed := queue.tryPlace(request, servers, serviceServers, now)
		if !placed {
			queue.shares.recordWaiting(request, now)
			return false
		}
		queue.recordAssignment(request, plan, servers, now)
		if request.Packable && request.late(now) {
			queue.lateThroughput(request.Service).recordAssignment(now)
		}
		delete(available, request.Service) // the assignment has changed their state
		assignments = append(assignments, Assignment{Key: request.Key, Plan: plan})
		return true
	})
	return assignments, queue.refuse(servers, now)
}

// recordAssignment records that a request got the servers of a plan.
func (queue *Queue) recordAssignment(request *Request, plan placement.Plan, servers Servers, now time.Time) {
	servers.RecordAssignment(request, plan)
	queue.containment.recordAssignment(request)
	queue.shares.recordPlacement(request, now)
}

// Find returns the queued request of a key, or nil.
func (queue *Queue) Find(key Key) *Request {
	index := slices.IndexFunc(queue.requests, func(request *Request) bool { return request.Key == key })
	if index < 0 {
		return nil
	}
	return queue.requests[index]
}

// Remove drops a request that no longer needs servers. It does nothing if the request is not
// queued.
func (queue *Queue) Remove(key Key) {
	queue.DropWhere(func(request *Request) bool { return request.Key == key })
}

// DropWhere drops the queued requests for which match returns true.
func (queue *Queue) DropWhere(match func(*Request) bool) {
	queue.requests = slices.DeleteFunc(queue.requests, match)
}

// tryPlace applies the policy to one request unless it is held back. It considers only servers that the
// request may go to and that accept requests of its VM.
func (queue *Queue) tryPlace(request *Request, servers Servers, serviceServers []placement.Server, now time.Time) (placement.Plan, bool) {
	if queue.containment.holdsBack(request, servers) {
		return placement.Plan{}, false
	}
	serviceServers = placement.InDataCentres(serviceServers, request.AllowedDataCentres)
	serviceServers = placement.WithoutIDs(serviceServers, servers.BackoffServers(request.VM))
	untried := placement.WithoutIDs(serviceServers, request.Tried)
	if len(untried) == 0 {
		untried = serviceServers // all have failed the request once, so any may be tried again
	}
	return queue.policy.Place(untried, request.placementAt(now, queue.queuedPrefill(request.Service)))
}

// queuedPrefill returns the total prefill time of the long prompts queued for a service.
func (queue *Queue) queuedPrefill(service string) time.Duration {
	var prefill time.Duration
	for _, request := range queue.requests {
		if request.Service == service && !request.Packable {
			prefill += request.Prefill
		}
	}
	return prefill
}
