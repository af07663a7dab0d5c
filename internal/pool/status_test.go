package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// TestStatus has what operators see of a server after something was heard of it.
func TestStatus(t *testing.T) {
	for name, test := range map[string]struct {
		heard func(world *world)
		want  func(status *pool.ServerStatus)
	}{
		"nothing":             {heard: func(*world) {}, want: func(*pool.ServerStatus) {}},
		"it leaves, heard":    {heard: func(world *world) { world.Leaves("s1") }, want: func(status *pool.ServerStatus) { status.LeavingToldBy = "vm-1" }},
		"it leaves, was told": {heard: toldLeaving, want: func(status *pool.ServerStatus) { status.LeavingToldBy = "vm-2" }},
		"it leaves, listed": {
			heard: func(world *world) { world.Apply([]follower.Change[directory.Entry]{leaving()}) },
			want:  func(status *pool.ServerStatus) { status.LeavingToldBy = "list" },
		},
		"it leaves, and is listed so later": {heard: func(world *world) {
			toldLeaving(world)
			world.Apply([]follower.Change[directory.Entry]{leaving()})
		}, want: func(status *pool.ServerStatus) { status.LeavingToldBy = "vm-2" }},
		"it rests": {heard: func(world *world) {
			world.Rests("s1", 3*time.Second)
			rested("s1", 2*time.Second)(world)
		}, want: func(status *pool.ServerStatus) {
			status.Rests = []pool.RestStatus{{VM: "vm-1", Seconds: 2}, {VM: "vm-2", Seconds: 1}}
		}},
		"it is limited": {heard: func(world *world) { world.Limits("s1", 2) }, want: func(status *pool.ServerStatus) {
			status.Limit = &pool.LimitStatus{PerSecond: 2, SaidSeconds: 1, Available: 1.5}
		}},
		"it was": {heard: func(world *world) {
			world.Limits("s1", 2)
			world.pass(time.Second)
			world.LiftsLimit("s1", world.now)
		}, want: func(status *pool.ServerStatus) {
			status.Limit = &pool.LimitStatus{PerSecond: 2, SaidSeconds: 1, Lifted: true, Available: 17}
		}},
		"its address is another's": {
			heard: func(world *world) { world.Closed("s1") },
			want:  func(status *pool.ServerStatus) { status.Listing = pool.ListingClosed },
		},
		"its entry is bad": {
			heard: func(world *world) { world.Apply([]follower.Change[directory.Entry]{{Key: "s1", Bad: true}}) },
			want:  func(status *pool.ServerStatus) { status.Listing = pool.ListingSpoilt },
		},
		"it is not listed": {heard: func(world *world) {
			world.Lost()
			world.Replace(nil)
		}, want: func(status *pool.ServerStatus) { status.Listing = pool.ListingMissing }},
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(1))
			test.heard(world)
			world.pass(time.Second)
			want := pool.ServerStatus{
				ID: "s1", Service: "engines", Address: "127.0.0.1:1", DataCentre: "north", Listing: pool.ListingListed,
			}
			test.want(&want)
			assert.DeepEqual(t, world.Status(), []pool.ServerStatus{want})
		})
	}
}

func toldLeaving(world *world) {
	world.Told("vm-2", []pool.Report{{Server: "s1", Phase: pool.PhaseOver, Health: pool.HealthLeaving}})
}
