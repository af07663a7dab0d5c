package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const id = "e1"

// clock is a clock that the test moves.
type clock struct {
	now time.Time
}

func newFleet(clock *clock) *fleet.Fleet {
	tested := fleet.New(fleet.DefaultSettings(), func() time.Time { return clock.now })
	tested.SetFleet(listed(false))
	return tested
}

func listed(leaving bool) *wire.Fleet {
	return &wire.Fleet{Servers: []*wire.Server{{Id: id, Kind: infra.KindEngine, MemoryTokens: 1000, Leaving: leaving}}}
}

func loads(load *wire.Load) *wire.Loads {
	load.ServerId = id
	return &wire.Loads{Loads: []*wire.Load{load}}
}

func view(tested *fleet.Fleet) routing.Server {
	return tested.Snapshot(infra.KindEngine, func(string) bool { return false }).Servers[0]
}

func decision(long bool) routing.Decision {
	return routing.Decision{Servers: []routing.Server{{ID: id}}, Long: long}
}

func TestQueued(t *testing.T) {
	request := routing.Request{Tokens: 100, MaxTokens: 20}
	cases := map[string]struct {
		act       func(tested *fleet.Fleet, clock *clock)
		wantShort int
		wantLong  int
		wantFree  int
	}{
		"nothing sent": {
			act:      func(*fleet.Fleet, *clock) {},
			wantFree: 1000,
		},
		"a short prompt until its first token": {
			act:       func(tested *fleet.Fleet, _ *clock) { tested.Sent(decision(false), request) },
			wantShort: 100, wantFree: 880,
		},
		"a long prompt until its first token": {
			act:      func(tested *fleet.Fleet, _ *clock) { tested.Sent(decision(true), request) },
			wantLong: 100, wantFree: 880,
		},
		"none after its first token, but its memory": {
			act:      func(tested *fleet.Fleet, _ *clock) { tested.Sent(decision(false), request).Computed() },
			wantFree: 880,
		},
		"counted down once": {
			act: func(tested *fleet.Fleet, _ *clock) {
				tested.Sent(decision(false), request)
				second := tested.Sent(decision(false), request)
				second.Computed()
				second.Over()
				second.Over()
			},
			wantShort: 100, wantFree: 760,
		},
		"a report that shows own prompts does not count them twice": {
			act: func(tested *fleet.Fleet, _ *clock) {
				tested.Sent(decision(false), request)
				tested.SetLoads(loads(&wire.Load{QueuedPrefillTokens: 130, FreeTokens: 1000}))
			},
			wantShort: 130, wantFree: 880,
		},
		"memory as reported once reports show it": {
			act: func(tested *fleet.Fleet, clock *clock) {
				tested.Sent(decision(false), request).Computed()
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
			c.act(tested, clock)
			got := view(tested)
			assert.Equal(t, got.QueuedShort, c.wantShort)
			assert.Equal(t, got.QueuedLong, c.wantLong)
			assert.Equal(t, got.Free, c.wantFree)
		})
	}
}

func TestLeaving(t *testing.T) {
	cases := map[string]func(tested *fleet.Fleet){
		"by the VM list": func(tested *fleet.Fleet) { tested.SetFleet(listed(true)) },
		"by its report":  func(tested *fleet.Fleet) { tested.SetLoads(loads(&wire.Load{Leaving: true})) },
		"by its answer":  func(tested *fleet.Fleet) { tested.Leaving(id) },
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			tested := newFleet(&clock{now: time.Unix(1000, 0)})
			assert.Assert(t, !view(tested).Leaving)
			act(tested)
			assert.Assert(t, view(tested).Leaving)
		})
	}
}

func TestEjection(t *testing.T) {
	clock := &clock{now: time.Unix(1000, 0)}
	tested := newFleet(clock)
	assert.Assert(t, !tested.Failed(id))
	assert.Assert(t, !tested.Failed(id))
	assert.Assert(t, !view(tested).Ejected)
	assert.Assert(t, tested.Failed(id))
	assert.Assert(t, view(tested).Ejected)

	// After the time one request goes there on trial, and no other meanwhile.
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, !view(tested).Ejected)
	trial := tested.Sent(decision(false), routing.Request{})
	assert.Assert(t, view(tested).Ejected)

	// It fails: twice the time.
	tested.Failed(id)
	trial.Over()
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, view(tested).Ejected)
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, !view(tested).Ejected)

	// It succeeds: back for good.
	tested.Sent(decision(false), routing.Request{})
	tested.Succeeded(id)
	assert.Assert(t, !view(tested).Ejected)
	assert.Assert(t, !tested.Failed(id))
}

func TestPrefillRate(t *testing.T) {
	cases := map[string]struct {
		decision routing.Decision
		tokens   int
		want     float64
	}{
		"from a short prompt with what was queued": {
			decision: routing.Decision{Servers: []routing.Server{{ID: id, QueuedShort: 6000}}}, tokens: 4000, want: 5000,
		},
		"not from little work": {decision: decision(false), tokens: 1000},
		"not from long work":   {decision: decision(true), tokens: 100_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &clock{now: time.Unix(1000, 0)}
			tested := newFleet(clock)
			sending := tested.Sent(c.decision, routing.Request{Tokens: c.tokens})
			clock.now = clock.now.Add(2 * time.Second)
			sending.Computed()
			sending.Over()
			assert.Equal(t, view(tested).PrefillRate, c.want)
		})
	}
}
