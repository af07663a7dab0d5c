// Package dispatch decides which of the requests that want servers get some now, and
// in which order the others wait. It has no clock, lock or goroutine and does no I/O:
// what is believed and the time come in, verdicts go out.
//
// It answers load at which requests of many VMs want the same servers at the same
// moment: bursts of long prompts beyond what the engines read, and bursts of short ones
// that fill them. One queue that knows each decision before it makes the next one needs
// no time for VMs to hear of each other; where each VM looks in turn after the others
// heard of the one before it, that time bounds the long prompts a second, however many
// engines there are.
package dispatch

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/placement"
)

// Servers is what is believed of the servers.
type Servers interface {
	// Open returns the servers of a service that may get requests.
	Open(service string) []placement.Server
	// Resting returns the servers that want nothing from a VM now.
	Resting(vm string) []string
	// TakesPerSecond returns how many requests a second of all VMs those servers take that may get a request and want some from its
	// VM, and reports whether all of these named limits.
	TakesPerSecond(request *Request) (float64, bool)
	// AllEvacuated reports whether the operator evacuates all servers that may get a request.
	AllEvacuated(request *Request) bool
	// Take notes that a request got the servers of a plan.
	Take(request *Request, plan placement.Plan)
}

// Queue has the requests that wait. It is not for use by several goroutines.
type Queue struct {
	policy placement.Policy
	// waiting has each request once, in the order of the last pass.
	waiting []*Request
	// late has what was learnt of late requests by their services.
	late map[string]*latePlaces
	// returns has when the last refused caller of each service with limited servers was told to return.
	returns map[string]time.Time
}

// New returns an empty queue whose requests get servers by a policy.
func New(policy placement.Policy) *Queue {
	return &Queue{policy: policy, late: make(map[string]*latePlaces), returns: make(map[string]time.Time)}
}

// Len returns how many requests wait.
func (queue *Queue) Len() int {
	return len(queue.waiting)
}

// Offer gives servers to a new request, or lets it wait. All that wait already found no
// place when something changed last, so it passes nobody who could have gone; but limited servers
// take another request by time alone, so behind others that wait for them it waits for the next pass.
func (queue *Queue) Offer(request *Request, servers Servers, now time.Time) (Verdict, bool) {
	queue.Remove(request.Key)
	queue.waiting = append(queue.waiting, request)
	if queue.count(request.Service) > 1 {
		if _, limited := servers.TakesPerSecond(request); limited {
			return Verdict{}, false
		}
	}
	plan, placed := queue.look(request, servers, servers.Open(request.Service), now)
	if !placed {
		return Verdict{}, false
	}
	queue.waiting = queue.waiting[:len(queue.waiting)-1]
	servers.Take(request, plan)
	return Verdict{Key: request.Key, Plan: plan}, true
}

// Pass gives servers to those that wait, in their order, and returns what was given. A
// request that fits nowhere lets others go before it. Of those that still wait then it
// drops the ones that are not expected to be served, and returns them too.
func (queue *Queue) Pass(servers Servers, now time.Time) ([]Verdict, []Refusal) {
	queue.watch(now)
	slices.SortFunc(queue.waiting, compareAt(now, queue.overloaded))
	views := make(map[string][]placement.Server)
	var verdicts []Verdict
	queue.waiting = slices.DeleteFunc(queue.waiting, func(request *Request) bool {
		view, known := views[request.Service]
		if !known {
			view = servers.Open(request.Service)
			views[request.Service] = view
		}
		plan, placed := queue.look(request, servers, view, now)
		if !placed {
			return false
		}
		servers.Take(request, plan)
		if request.Tight && request.late(now) {
			queue.latePlaces(request.Service).give(now)
		}
		delete(views, request.Service) // it shows the servers as they were before
		verdicts = append(verdicts, Verdict{Key: request.Key, Plan: plan})
		return true
	})
	return verdicts, queue.refuse(servers, now)
}

// Find returns a request that waits, or nil.
func (queue *Queue) Find(key Key) *Request {
	at := slices.IndexFunc(queue.waiting, func(request *Request) bool { return request.Key == key })
	if at < 0 {
		return nil
	}
	return queue.waiting[at]
}

// Remove drops a request that wants no servers any more.
func (queue *Queue) Remove(key Key) {
	queue.DropWhere(func(request *Request) bool { return request.Key == key })
}

// DropWhere drops the requests that match.
func (queue *Queue) DropWhere(match func(*Request) bool) {
	queue.waiting = slices.DeleteFunc(queue.waiting, match)
}

// look asks the policy for one request, by a view of the servers. Only those that it may get, and that its VM may use, count.
func (queue *Queue) look(request *Request, servers Servers, view []placement.Server, now time.Time) (placement.Plan, bool) {
	view = placement.In(view, request.KeptTo)
	view = placement.Without(view, servers.Resting(request.VM))
	open := placement.Without(view, request.Tried)
	if len(open) == 0 {
		open = view // all failed once: any may do better now
	}
	return queue.policy.Place(open, request.at(now, queue.waitingWork(request.Service)))
}

// waitingWork is the reading of all long prompts that wait for a service.
func (queue *Queue) waitingWork(service string) time.Duration {
	var work time.Duration
	for _, request := range queue.waiting {
		if request.Service == service && !request.Tight {
			work += request.Work
		}
	}
	return work
}
