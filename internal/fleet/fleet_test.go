package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const id = "e1"

// clock is a clock that the test advances.
type clock struct {
	now time.Time
}

func newFleet(clock *clock) *fleet.Fleet {
	tested := fleet.New(fleet.DefaultSettings(), func() time.Time { return clock.now })
	tested.SetFleet(listed(false))
	return tested
}

func listed(draining bool) *wire.Fleet {
	return &wire.Fleet{Servers: []*wire.Server{{Id: id, Kind: platformclient.KindEngine, MemoryTokens: 1000, Leaving: draining}}}
}

func loads(load *wire.Load) *wire.Loads {
	load.ServerId = id
	return &wire.Loads{Loads: []*wire.Load{load}}
}

// snapshot returns the state of the only server.
func snapshot(tested *fleet.Fleet) routing.Server {
	return tested.Snapshot(platformclient.KindEngine, func(string) bool { return false }).Servers[0]
}

func decision(long bool) routing.Decision {
	return routing.Decision{Servers: []routing.Server{{ID: id}}, Long: long}
}

// Queued tokens and free memory must include the requests that were sent after the last
// load report, and must not count those twice that the report includes.
func TestQueued(t *testing.T) {
	request := routing.Request{Tokens: 100, MaxTokens: 20}
	cases := map[string]struct {
		action    func(tested *fleet.Fleet, clock *clock)
		wantShort int
		wantLong  int
		wantFree  int
	}{
		"no request sent": {
			action:   func(*fleet.Fleet, *clock) {},
			wantFree: 1000,
		},
		"short prompt before its first token": {
			action:    func(tested *fleet.Fleet, _ *clock) { tested.RecordDispatch(decision(false), request) },
			wantShort: 100, wantFree: 880,
		},
		"long prompt before its first token": {
			action:   func(tested *fleet.Fleet, _ *clock) { tested.RecordDispatch(decision(true), request) },
			wantLong: 100, wantFree: 880,
		},
		"only memory after the first token": {
			action:   func(tested *fleet.Fleet, _ *clock) { tested.RecordDispatch(decision(false), request).FinishPrefill() },
			wantFree: 880,
		},
		"repeated calls have no effect": {
			action: func(tested *fleet.Fleet, _ *clock) {
				tested.RecordDispatch(decision(false), request)
				second := tested.RecordDispatch(decision(false), request)
				second.FinishPrefill()
				second.Finish()
				second.Finish()
			},
			wantShort: 100, wantFree: 760,
		},
		"reported prompts of this entry process are not counted twice": {
			action: func(tested *fleet.Fleet, _ *clock) {
				tested.RecordDispatch(decision(false), request)
				tested.SetLoads(loads(&wire.Load{QueuedPrefillTokens: 130, FreeTokens: 1000}))
			},
			wantShort: 130, wantFree: 880,
		},
		"reported memory after the report lag": {
			action: func(tested *fleet.Fleet, clock *clock) {
				tested.RecordDispatch(decision(false), request).FinishPrefill()
				clock.now = clock.now.Add(time.Second)
				tested.SetLoads(loads(&wire.Load{FreeTokens: 600}))
			},
			wantFree: 600,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &clock{now: time.Unix(1000, 0)}
			tested := newFleet(clock)
			c.action(tested, clock)
			got := snapshot(tested)
			assert.Equal(t, got.QueuedShort, c.wantShort)
			assert.Equal(t, got.QueuedLong, c.wantLong)
			assert.Equal(t, got.Free, c.wantFree)
		})
	}
}

// A server must be marked as draining whether the VM list, its load report or its response
// says so.
func TestDraining(t *testing.T) {
	cases := map[string]func(tested *fleet.Fleet){
		"by the VM list":     func(tested *fleet.Fleet) { tested.SetFleet(listed(true)) },
		"by its load report": func(tested *fleet.Fleet) { tested.SetLoads(loads(&wire.Load{Leaving: true})) },
		"by its response":    func(tested *fleet.Fleet) { tested.MarkDraining(id) },
	}
	for name, action := range cases {
		t.Run(name, func(t *testing.T) {
			tested := newFleet(&clock{now: time.Unix(1000, 0)})
			assert.Assert(t, !snapshot(tested).Draining)
			action(tested)
			assert.Assert(t, snapshot(tested).Draining)
		})
	}
}

// Consecutive failures eject a server. After the ejection time one probe request is sent;
// its failure doubles the time, its success ends the ejection.
func TestEjection(t *testing.T) {
	clock := &clock{now: time.Unix(1000, 0)}
	tested := newFleet(clock)
	assert.Assert(t, !tested.RecordFailure(id))
	assert.Assert(t, !tested.RecordFailure(id))
	assert.Assert(t, !snapshot(tested).Ejected)
	assert.Assert(t, tested.RecordFailure(id))
	assert.Assert(t, snapshot(tested).Ejected)

	// After the ejection time one probe request is allowed, and no other until it ends.
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, !snapshot(tested).Ejected)
	probe := tested.RecordDispatch(decision(false), routing.Request{})
	assert.Assert(t, snapshot(tested).Ejected)

	// The probe fails, which doubles the ejection time.
	tested.RecordFailure(id)
	probe.Finish()
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, snapshot(tested).Ejected)
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, !snapshot(tested).Ejected)

	// The probe succeeds, which ends the ejection.
	tested.RecordDispatch(decision(false), routing.Request{})
	tested.RecordSuccess(id)
	assert.Assert(t, !snapshot(tested).Ejected)
	assert.Assert(t, !tested.RecordFailure(id))
}

// The prefill rate is measured from short prompts only, with the tokens queued before
// them. Small samples would measure the time of a step instead.
func TestPrefillRate(t *testing.T) {
	cases := map[string]struct {
		decision routing.Decision
		tokens   int
		want     float64
	}{
		"short prompt with queued tokens": {
			decision: routing.Decision{Servers: []routing.Server{{ID: id, QueuedShort: 6000}}}, tokens: 4000, want: 5000,
		},
		"too few tokens": {decision: decision(false), tokens: 1000},
		"long prompt":    {decision: decision(true), tokens: 100_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &clock{now: time.Unix(1000, 0)}
			tested := newFleet(clock)
			request := tested.RecordDispatch(c.decision, routing.Request{Tokens: c.tokens})
			clock.now = clock.now.Add(2 * time.Second)
			request.FinishPrefill()
			request.Finish()
			assert.Equal(t, snapshot(tested).PrefillRate, c.want)
		})
	}
}
