package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// TestLimitedServersRefuse has requests that find no place while all servers of their service named limits.
func TestLimitedServersRefuse(t *testing.T) {
	now := time.Unix(1000, 0)
	in := now.Add
	for name, test := range map[string]struct {
		perSecond float64
		free      int
		waiting   []*dispatch.Request
		placed    []uint64
		refused   []uint64
		// returns is when the refused ones are told to return.
		returns []time.Duration
	}{
		"a place is open for one that is late": {
			perSecond: 1, free: 1, waiting: []*dispatch.Request{newRequest(1, 1000, in(-time.Second), true)}, placed: []uint64{1},
		},
		"it may be in time": {perSecond: 10, waiting: []*dispatch.Request{newRequest(1, 1000, in(300*time.Millisecond), true)}},
		"two of which one may be in time": {
			perSecond: 10, waiting: []*dispatch.Request{
				newRequest(1, 1000, in(300*time.Millisecond), true), newRequest(2, 1000, in(350*time.Millisecond), true),
			},
			refused: []uint64{2}, returns: []time.Duration{450 * time.Millisecond},
		},
		"all return in turns": {
			perSecond: 2, waiting: []*dispatch.Request{
				newRequest(1, 1000, in(0), true), newRequest(2, 1000, in(time.Millisecond), true), newRequest(3, 1000, in(2*time.Millisecond), true),
			},
			refused: []uint64{1, 2, 3}, returns: []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond},
		},
		"hardly any": {
			perSecond: 0.001, waiting: []*dispatch.Request{newRequest(1, 1000, in(0), true)},
			refused: []uint64{1}, returns: []time.Duration{30 * time.Second},
		},
		"a long one has until its caller leaves": {perSecond: 1, waiting: []*dispatch.Request{newRequest(1, 1000, in(-time.Second), false)}},
		"no limit":                               {waiting: []*dispatch.Request{newRequest(1, 1000, in(0), true), newRequest(2, 1000, in(0), true)}},
	} {
		t.Run(name, func(t *testing.T) {
			servers := &believed{servers: []placement.Server{{ID: "a", Slots: 10, Running: 10}}, perSecond: test.perSecond}
			queue := dispatch.New(slots{})
			for _, request := range test.waiting {
				_, placed := queue.Offer(request, servers, now)
				assert.Assert(t, !placed)
			}
			servers.free("a", test.free)
			verdicts, refused := queue.Pass(servers, now)
			assert.DeepEqual(t, ids(verdicts), append([]uint64{}, test.placed...))
			var refusedIDs []uint64
			var returns []time.Duration
			for _, refusal := range refused {
				refusedIDs = append(refusedIDs, refusal.ID)
				returns = append(returns, refusal.Return)
			}
			assert.DeepEqual(t, refusedIDs, test.refused)
			assert.DeepEqual(t, returns, test.returns)
		})
	}
}

// TestNewcomersDoNotPass has a request that waits for a limited server, and another one that comes in the moment in which the
// server takes one more.
func TestNewcomersDoNotPass(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := &believed{servers: []placement.Server{{ID: "a", Slots: 10, Running: 10}}, perSecond: 10}
	queue := dispatch.New(slots{})
	queue.Offer(newRequest(1, 1000, now.Add(300*time.Millisecond), true), servers, now)
	servers.free("a", 1)
	_, placed := queue.Offer(newRequest(2, 1000, now.Add(400*time.Millisecond), true), servers, now)
	assert.Assert(t, !placed)
	verdicts, _ := queue.Pass(servers, now)
	assert.DeepEqual(t, ids(verdicts), []uint64{1})
}
