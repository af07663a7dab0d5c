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
	"github.com/mastwinch/mastwinch/internal/placement"
)

// slots is a policy that takes the first server with as many free slots as a request
// has thousands of tokens.
type slots struct{}

var _ placement.Policy = slots{}

func (slots) Place(servers []placement.Server, request placement.Request) (placement.Plan, bool) {
	for _, server := range servers {
		if server.Slots-server.Running >= request.Tokens/1000 {
			return placement.Plan{Server: server}, true
		}
	}
	return placement.Plan{}, false
}

// believed is servers in memory.
type believed struct {
	servers []placement.Server
	// resting has the servers that want nothing from a VM.
	resting map[string][]string
	// perSecond is how many requests a second all of them take, or zero for no limit.
	perSecond float64
	// evacuated says that all are kept from requests.
	evacuated bool
}

var _ dispatch.Servers = (*believed)(nil)

func (believed *believed) Resting(vm string) []string { return believed.resting[vm] }

func (believed *believed) AllEvacuated(*dispatch.Request) bool { return believed.evacuated }

func (believed *believed) TakesPerSecond(*dispatch.Request) (float64, bool) {
	return believed.perSecond, believed.perSecond > 0
}

func (believed *believed) Open(string) []placement.Server {
	return append([]placement.Server(nil), believed.servers...)
}

func (believed *believed) Take(request *dispatch.Request, plan placement.Plan) {
	for i := range believed.servers {
		if believed.servers[i].ID == plan.Server.ID {
			believed.servers[i].Running += request.Placement.Tokens / 1000
		}
	}
}

func (believed *believed) free(id string, count int) {
	for i := range believed.servers {
		if believed.servers[i].ID == id {
			believed.servers[i].Running -= count
		}
	}
}

func newRequest(id uint64, tokens int, due time.Time, tight bool) *dispatch.Request {
	return &dispatch.Request{
		Key: dispatch.Key{VM: "vm", ID: id}, Service: "engines", Due: due, Leaves: due.Add(10 * time.Second), Tight: tight,
		Placement: placement.Request{Engine: &catalog.Engine{}, Tokens: tokens},
	}
}

// withLeast sets the shortest time to its first event.
func withLeast(request *dispatch.Request, least time.Duration) *dispatch.Request {
	request.Least = least
	return request
}

func ids(verdicts []dispatch.Verdict) []uint64 {
	list := make([]uint64, 0, len(verdicts))
	for _, verdict := range verdicts {
		list = append(list, verdict.ID)
	}
	return list
}

// pass returns what a pass gives, and checks that it refuses nobody.
func pass(t assert.TestingT, queue *dispatch.Queue, servers dispatch.Servers, now time.Time) []dispatch.Verdict {
	verdicts, refused := queue.Pass(servers, now)
	assert.Equal(t, len(refused), 0)
	return verdicts
}

// TestOrderOfThoseThatWait fills one server with ten slots, lets requests wait, and frees
// some slots.
func TestOrderOfThoseThatWait(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		waiting []*dispatch.Request
		freed   int
		placed  []uint64
	}{
		"due first goes first": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(3*time.Second), false), newRequest(2, 5000, now.Add(time.Second), false),
			},
			freed: 5, placed: []uint64{2},
		},
		"one that fits nowhere lets others pass": {
			waiting: []*dispatch.Request{
				newRequest(1, 8000, now.Add(time.Second), false), newRequest(2, 5000, now.Add(3*time.Second), false),
			},
			freed: 5, placed: []uint64{2},
		},
		"one that is late already goes last": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(-time.Second), false), newRequest(2, 5000, now.Add(3*time.Second), false),
			},
			freed: 5, placed: []uint64{2},
		},
		"a long one that can be in time goes before a late tight one": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(-time.Second), true), newRequest(2, 5000, now.Add(3*time.Second), false),
			},
			freed: 5, placed: []uint64{2},
		},
		"one that would be late whatever server it got goes last": {
			waiting: []*dispatch.Request{
				withLeast(newRequest(1, 5000, now.Add(50*time.Millisecond), true), 80*time.Millisecond),
				newRequest(2, 5000, now.Add(time.Second), true),
			},
			freed: 5, placed: []uint64{2},
		},
		"tight ones go before long ones": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(time.Second), false), newRequest(2, 5000, now.Add(3*time.Second), true),
			},
			freed: 5, placed: []uint64{2},
		},
		"all that fit go at once": {
			waiting: []*dispatch.Request{
				newRequest(1, 5000, now.Add(time.Second), false), newRequest(2, 5000, now.Add(2*time.Second), false),
			},
			freed: 10, placed: []uint64{1, 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			servers := &believed{servers: []placement.Server{{ID: "a", Slots: 10, Running: 10}}}
			queue := dispatch.New(slots{})
			for _, request := range test.waiting {
				_, placed := queue.Offer(request, servers, now)
				assert.Assert(t, !placed)
			}
			assert.Equal(t, len(pass(t, queue, servers, now)), 0)
			servers.free("a", test.freed)
			assert.DeepEqual(t, ids(pass(t, queue, servers, now)), test.placed)
			assert.Equal(t, queue.Len(), len(test.waiting)-len(test.placed))
		})
	}
}

// TestServersThatFailedAreLeftOut has a request that one server failed.
func TestServersThatFailedAreLeftOut(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := &believed{servers: []placement.Server{{ID: "a", Slots: 10}, {ID: "b", Slots: 10}}}
	request := newRequest(1, 1000, now, true)
	request.Tried = []string{"a"}
	queue := dispatch.New(slots{})
	verdict, placed := queue.Offer(request, servers, now)
	assert.Assert(t, placed)
	assert.Equal(t, verdict.Plan.Server.ID, "b")
	request.Tried = []string{"a", "b"}
	verdict, placed = queue.Offer(request, servers, now)
	assert.Assert(t, placed, "all failed once: any may do better now")
	assert.Equal(t, verdict.Plan.Server.ID, "a")
}

// TestRequestsAreKeptToDataCentres has a request that only servers of some data centres may get. Where these have no room it
// waits, lets others go before it, and goes to no other server, also when those that may get it failed it.
func TestRequestsAreKeptToDataCentres(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := &believed{servers: []placement.Server{
		{ID: "a", DataCentre: "north", Slots: 10}, {ID: "b", DataCentre: "south", Slots: 10, Running: 10},
	}}
	queue := dispatch.New(slots{})
	kept := newRequest(1, 1000, now.Add(time.Second), true)
	kept.KeptTo = []string{"south", "west"}
	kept.Tried = []string{"b"}
	_, placed := queue.Offer(kept, servers, now)
	assert.Assert(t, !placed)
	verdict, placed := queue.Offer(newRequest(2, 1000, now.Add(2*time.Second), true), servers, now)
	assert.Assert(t, placed)
	assert.Equal(t, verdict.Plan.Server.ID, "a")
	assert.Equal(t, len(pass(t, queue, servers, now)), 0)
	servers.free("b", 1)
	verdicts := pass(t, queue, servers, now)
	assert.DeepEqual(t, ids(verdicts), []uint64{1})
	assert.Equal(t, verdicts[0].Plan.Server.ID, "b")
}

// first returns the least key of a map.
func first[V any](values map[uint64]V) (uint64, bool) {
	if len(values) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(values))), true
}

// TestNothingWaitsBesideRoom draws servers, requests and ends: after each step no
// request waits that fits somewhere, no server has more than its slots, and each request
// is placed once at most.
func TestNothingWaitsBesideRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		servers := &believed{}
		for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
			servers.servers = append(servers.servers, placement.Server{ID: fmt.Sprintf("s%d", i), Slots: 10})
		}
		queue := dispatch.New(slots{})
		waiting := make(map[uint64]int)
		running := make(map[uint64]dispatch.Verdict)
		sizes := make(map[uint64]int)
		take := func(verdict dispatch.Verdict) {
			_, twice := running[verdict.ID]
			assert.Assert(t, !twice)
			delete(waiting, verdict.ID)
			running[verdict.ID] = verdict
		}
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				sizes[next] = rapid.IntRange(1, 10).Draw(t, "size")
				due := now.Add(time.Duration(rapid.IntRange(-3, 3).Draw(t, "due")) * time.Second)
				waiting[next] = sizes[next]
				request := newRequest(next, 1000*sizes[next], due, rapid.Bool().Draw(t, "tight"))
				if verdict, placed := queue.Offer(request, servers, now); placed {
					take(verdict)
				}
			},
			"end": func(t *rapid.T) {
				if id, found := first(running); found {
					servers.free(running[id].Plan.Server.ID, sizes[id])
					delete(running, id)
				}
				for _, verdict := range pass(t, queue, servers, now) {
					take(verdict)
				}
			},
			"remove": func(*rapid.T) {
				if id, found := first(waiting); found {
					queue.Remove(dispatch.Key{VM: "vm", ID: id})
					delete(waiting, id)
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, queue.Len(), len(waiting))
				room := 0
				for _, server := range servers.servers {
					assert.Assert(t, server.Running <= server.Slots)
					room = max(room, server.Slots-server.Running)
				}
				for id, size := range waiting {
					assert.Assert(t, size > room, "request %d of %d waits beside room for %d", id, size, room)
				}
			},
		})
	})
}
