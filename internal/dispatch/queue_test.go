package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// slotPolicy is a policy that chooses the first server with at least one free slot per thousand
// tokens of the prompt.
type slotPolicy struct{}

var _ placement.Policy = slotPolicy{}

func (slotPolicy) Place(servers []placement.Server, request placement.Request) (placement.Plan, bool) {
	for _, server := range servers {
		if server.Slots-server.Running >= request.Tokens/1000 {
			return placement.Plan{Server: server}, true
		}
	}
	return placement.Plan{}, false
}

// stub implements dispatch.Servers in memory.
type stub struct {
	servers []placement.Server
	// backedOff lists, by VM, the servers that are in backoff for it.
	backedOff map[string][]string
	// used has what organisations use of the servers.
	used map[fairshare.Organisation]fairshare.Use
	// perSecond is the rate limit of all servers together, or zero for none.
	perSecond float64
	// evacuated reports that the operator has evacuated all servers.
	evacuated bool
	// inPrefill has the requests that got servers and no event so far.
	inPrefill map[dispatch.Key]bool
}

var _ dispatch.Servers = (*stub)(nil)

func (stub *stub) Usage(string) fairshare.Usage {
	usage := fairshare.Usage{Servers: len(stub.servers), Fraction: 1, Used: stub.used}
	for _, server := range stub.servers {
		usage.Slots += server.Slots
	}
	return usage
}

func (stub *stub) BackoffServers(vm string) []string { return stub.backedOff[vm] }

func (stub *stub) InPrefill(key dispatch.Key) bool { return stub.inPrefill[key] }

func (stub *stub) AllEvacuated(*dispatch.Request) bool { return stub.evacuated }

func (stub *stub) AcceptedRate(*dispatch.Request) (float64, bool) {
	return stub.perSecond, stub.perSecond > 0
}

func (stub *stub) Eligible(string) []placement.Server {
	return append([]placement.Server(nil), stub.servers...)
}

func (stub *stub) RecordAssignment(request *dispatch.Request, plan placement.Plan) {
	for i := range stub.servers {
		if stub.servers[i].ID == plan.Server.ID {
			stub.servers[i].Running += request.Placement.Tokens / 1000
		}
	}
}

func (stub *stub) free(id string, count int) {
	for i := range stub.servers {
		if stub.servers[i].ID == id {
			stub.servers[i].Running -= count
		}
	}
}

func newRequest(id uint64, tokens int, due time.Time, packable bool) *dispatch.Request {
	return &dispatch.Request{
		Key: dispatch.Key{VM: "vm", ID: id}, Service: "engines", ObjectiveDeadline: due, CallerDeadline: due.Add(10 * time.Second), Packable: packable,
		Placement: placement.Request{Engine: &catalog.Engine{}, Tokens: tokens},
	}
}

// withMinTTFT sets the shortest possible time to the first event.
func withMinTTFT(request *dispatch.Request, minTTFT time.Duration) *dispatch.Request {
	request.MinTTFT = minTTFT
	return request
}

func ids(assignments []dispatch.Assignment) []uint64 {
	list := make([]uint64, 0, len(assignments))
	for _, assignment := range assignments {
		list = append(list, assignment.ID)
	}
	return list
}

// dispatchAll runs one pass over the queue, checks that it refuses no request, and returns the
// assignments.
func dispatchAll(t assert.TestingT, queue *dispatch.Queue, servers dispatch.Servers, now time.Time) []dispatch.Assignment {
	assignments, refused := queue.Dispatch(servers, now)
	assert.Equal(t, len(refused), 0)
	return assignments
}

// TestQueueOrder queues requests for a full server with ten slots, frees some slots, and checks
// which requests are assigned.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		waiting []*dispatch.Request
		freed   int
		placed  []uint64
	}{
		"earliest objective first": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(3*time.Second), false), newRequest(2, 5000, now.Add(time.Second), false),
			},
			freed: 5, placed: []uint64{2},
		},
		"a request that does not fit does not block others": {
			waiting: []*dispatch.Request{
				newRequest(1, 8000, now.Add(time.Second), false), newRequest(2, 5000, now.Add(3*time.Second), false),
			},
			freed: 5, placed: []uint64{2},
		},
		"a late request goes last": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(-time.Second), false), newRequest(2, 5000, now.Add(3*time.Second), false),
			},
			freed: 5, placed: []uint64{2},
		},
		"a long prompt in time goes before a late packable request": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(-time.Second), true), newRequest(2, 5000, now.Add(3*time.Second), false),
			},
			freed: 5, placed: []uint64{2},
		},
		"a request that would be late on any server goes last": {
			waiting: []*dispatch.Request{
				withMinTTFT(newRequest(1, 5000, now.Add(50*time.Millisecond), true), 80*time.Millisecond),
				newRequest(2, 5000, now.Add(time.Second), true),
			},
			freed: 5, placed: []uint64{2},
		},
		"packable requests go before long prompts": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(time.Second), false), newRequest(2, 5000, now.Add(3*time.Second), true),
			},
			freed: 5, placed: []uint64{2},
		},
		"all requests that fit are assigned in one pass": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(time.Second), false), newRequest(2, 5000, now.Add(2*time.Second), false),
			},
			freed: 10, placed: []uint64{1, 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			servers := &stub{servers: []placement.Server{{ID: "a", Slots: 10, Running: 10}}}
			queue := dispatch.New(slotPolicy{}, fairshare.DefaultSettings())
			for _, request := range test.waiting {
				_, placed := queue.Offer(request, servers, now)
				assert.Assert(t, !placed)
			}
			assert.Equal(t, len(dispatchAll(t, queue, servers, now)), 0)
			servers.free("a", test.freed)
			assert.DeepEqual(t, ids(dispatchAll(t, queue, servers, now)), test.placed)
			assert.Equal(t, queue.Len(), len(test.waiting)-len(test.placed))
		})
	}
}

// TestFailedServersAreExcluded checks that a request does not go to a server that failed it, until
// all servers have failed it.
func TestFailedServersAreExcluded(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := &stub{servers: []placement.Server{{ID: "a", Slots: 10}, {ID: "b", Slots: 10}}}
	request := newRequest(1, 1000, now, true)
	request.Tried = []string{"a"}
	queue := dispatch.New(slotPolicy{}, fairshare.DefaultSettings())
	assignment, placed := queue.Offer(request, servers, now)
	assert.Assert(t, placed)
	assert.Equal(t, assignment.Plan.Server.ID, "b")
	request.Tried = []string{"a", "b"}
	assignment, placed = queue.Offer(request, servers, now)
	assert.Assert(t, placed, "all servers have failed the request, so any may be tried again")
	assert.Equal(t, assignment.Plan.Server.ID, "a")
}

// TestAllowedDataCentres guards against a request that leaves its allowed data centres. When their
// servers have no free slots, or have failed the request, it stays queued, does not block others,
// and goes to no other server.
func TestAllowedDataCentres(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := &stub{servers: []placement.Server{
		{ID: "a", DataCentre: "north", Slots: 10}, {ID: "b", DataCentre: "south", Slots: 10, Running: 10},
	}}
	queue := dispatch.New(slotPolicy{}, fairshare.DefaultSettings())
	restricted := newRequest(1, 1000, now.Add(time.Second), true)
	restricted.AllowedDataCentres = []string{"south", "west"}
	restricted.Tried = []string{"b"}
	_, placed := queue.Offer(restricted, servers, now)
	assert.Assert(t, !placed)
	assignment, placed := queue.Offer(newRequest(2, 1000, now.Add(2*time.Second), true), servers, now)
	assert.Assert(t, placed)
	assert.Equal(t, assignment.Plan.Server.ID, "a")
	assert.Equal(t, len(dispatchAll(t, queue, servers, now)), 0)
	servers.free("b", 1)
	assignments := dispatchAll(t, queue, servers, now)
	assert.DeepEqual(t, ids(assignments), []uint64{1})
	assert.Equal(t, assignments[0].Plan.Server.ID, "b")
}

// lowestKey returns the lowest key of a map, and whether there is one.
func lowestKey[V any](values map[uint64]V) (uint64, bool) {
	if len(values) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(values))), true
}

// TestNoRequestWaitsBesideFreeSlots is a property test over random servers, requests and
// completions. After each step no queued request fits on a server, no server exceeds its slots, and
// each request is assigned at most once.
func TestNoRequestWaitsBesideFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		servers := &stub{}
		for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
			servers.servers = append(servers.servers, placement.Server{ID: fmt.Sprintf("s%d", i), Slots: 10})
		}
		queue := dispatch.New(slotPolicy{}, fairshare.DefaultSettings())
		waiting := make(map[uint64]int)
		running := make(map[uint64]dispatch.Assignment)
		sizes := make(map[uint64]int)
		recordAssignment := func(assignment dispatch.Assignment) {
			_, duplicate := running[assignment.ID]
			assert.Assert(t, !duplicate)
			delete(waiting, assignment.ID)
			running[assignment.ID] = assignment
		}
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				sizes[next] = rapid.IntRange(1, 10).Draw(t, "size")
				due := now.Add(time.Duration(rapid.IntRange(-3, 3).Draw(t, "due")) * time.Second)
				waiting[next] = sizes[next]
				request := newRequest(next, 1000*sizes[next], due, rapid.Bool().Draw(t, "tight"))
				if assignment, placed := queue.Offer(request, servers, now); placed {
					recordAssignment(assignment)
				}
			},
			"end": func(t *rapid.T) {
				if id, found := lowestKey(running); found {
					servers.free(running[id].Plan.Server.ID, sizes[id])
					delete(running, id)
				}
				for _, assignment := range dispatchAll(t, queue, servers, now) {
					recordAssignment(assignment)
				}
			},
			"remove": func(*rapid.T) {
				if id, found := lowestKey(waiting); found {
					queue.Remove(dispatch.Key{VM: "vm", ID: id})
					delete(waiting, id)
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, queue.Len(), len(waiting))
				freeSlots := 0
				for _, server := range servers.servers {
					assert.Assert(t, server.Running <= server.Slots)
					freeSlots = max(freeSlots, server.Slots-server.Running)
				}
				for id, size := range waiting {
					assert.Assert(t, size > freeSlots, "request %d of %d slots is queued beside a server with %d free slots", id, size, freeSlots)
				}
			},
		})
	})
}
