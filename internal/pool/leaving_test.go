package pool_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// TestServerThatSaysThatItLeavesStaysOut has what is heard after a server said so: an older entry, the list without
// the server or read anew, another VM that still uses it. Only a later start is another server.
func TestServerThatSaysThatItLeavesStaysOut(t *testing.T) {
	later := listed("s1")
	later.Value.ID = "s1#later"
	later.Value.Started = later.Value.Started.AddDate(1, 0, 0)
	for name, test := range map[string]struct {
		then func(world *world)
		want []string
	}{
		"nothing":                    {then: func(*world) {}, want: []string{"s2"}},
		"its entry is written again": {then: func(world *world) { world.Apply([]follower.Change[directory.Entry]{listed("s1")}) }, want: []string{"s2"}},
		"the list is read anew":      {then: func(world *world) { world.Replace(listedUpTo(2)) }, want: []string{"s2"}},
		"the source was away": {then: func(world *world) {
			world.Lost()
			world.Replace(listedUpTo(2))
			world.Regained()
		}, want: []string{"s2"}},
		"a good answer to another VM": {then: func(world *world) {
			world.Told("vm-2", []pool.Report{{Server: "s1", Phase: pool.PhaseOver, Health: pool.HealthGood}})
		}, want: []string{"s2"}},
		"a later start": {then: func(world *world) { world.Apply([]follower.Change[directory.Entry]{later}) }, want: []string{"s1#later", "s2"}},
	} {
		for heard, leaves := range map[string]func(world *world){
			"here": func(world *world) { world.Leaves("s1") },
			"by another VM": func(world *world) {
				world.Told("vm-2", []pool.Report{{Server: "s1", Phase: pool.PhaseOver, Health: pool.HealthLeaving}})
			},
		} {
			t.Run(name+", heard "+heard, func(t *testing.T) {
				world := newWorld()
				world.Replace(listedUpTo(2))
				leaves(world)
				test.then(world)
				assert.DeepEqual(t, world.open(), test.want)
			})
		}
	}
}

// TestLeavingIsToldOnce: each answer of a server that leaves says so.
func TestLeavingIsToldOnce(t *testing.T) {
	world := newWorld()
	world.Replace(listedUpTo(2))
	for range 5 {
		world.Leaves("s1")
	}
	world.Leaves("unknown")
	assert.DeepEqual(t, world.published.reports, []pool.Report{{Server: "s1", Phase: pool.PhaseOver, Health: pool.HealthLeaving}})
}
