package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/pool"
)

func rested(id string, long time.Duration) func(world *world) {
	return func(world *world) {
		world.Told("vm-2", []pool.Report{{Server: id, Phase: pool.PhaseOver, Health: pool.HealthResting, Rest: long}})
	}
}

// TestRestIsOfOneVMAndOneStart has a rest of each kind, and who still rests from whom a second later.
func TestRestIsOfOneVMAndOneStart(t *testing.T) {
	for name, test := range map[string]struct {
		rest func(world *world)
		own  []string
		// other is what rests from another VM.
		other []string
	}{
		"here":             {rest: func(world *world) { world.Rests("s1", 2*time.Second) }, own: []string{"s1"}},
		"from another VM":  {rest: rested("s1", 2*time.Second), other: []string{"s1"}},
		"over":             {rest: func(world *world) { world.Rests("s1", time.Second) }},
		"over elsewhere":   {rest: rested("s1", time.Second)},
		"an unknown one":   {rest: func(world *world) { world.Rests("s9", time.Minute) }},
		"unknown, is told": {rest: rested("s9", time.Minute)},
		"a shorter one after a longer": {rest: func(world *world) {
			world.Rests("s1", 2*time.Second)
			world.Rests("s1", time.Millisecond)
		}, own: []string{"s1"}},
		"the server started again": {rest: func(world *world) {
			world.Rests("s1", time.Minute)
			later := listed("s1")
			later.Value.ID, later.Value.Started = "s1#later", world.now
			world.Apply([]follower.Change[directory.Entry]{later})
		}},
		"the list is read anew": {rest: func(world *world) {
			world.Rests("s1", time.Minute)
			world.Replace(listedUpTo(2))
		}, own: []string{"s1"}},
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(2))
			test.rest(world)
			world.pass(time.Second)
			assert.DeepEqual(t, world.Resting("vm-1"), test.own)
			assert.DeepEqual(t, world.Resting("vm-2"), test.other)
			_, missing := world.Find("engines", nil, []string{"s1", "s2"})
			assert.Equal(t, slices.Contains(missing, "s1"), slices.Contains(test.own, "s1") || slices.Contains(world.open(), "s1#later"))
		})
	}
}

// TestRestIsToldAgain: who names a server that rests has not heard of it.
func TestRestIsToldAgain(t *testing.T) {
	world := newWorld()
	world.Replace(listedUpTo(2))
	world.Rests("s1", 3*time.Second)
	world.pass(time.Second)
	world.Find("engines", nil, []string{"s1"})
	told := pool.Report{Server: "s1", Phase: pool.PhaseOver, Health: pool.HealthResting, Rest: 3 * time.Second}
	again := told
	again.Rest = 2 * time.Second
	assert.DeepEqual(t, world.published.reports, []pool.Report{told, again})
}

// TestRestsAgainstOracle draws rests, and compares who rests with the plain list of all that was asked for.
func TestRestsAgainstOracle(t *testing.T) {
	type asked struct {
		server string
		until  time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld()
		world.Replace(listedUpTo(4))
		var all []asked
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := fmt.Sprintf("s%d", rapid.IntRange(1, 4).Draw(t, "server"))
			long := time.Duration(rapid.IntRange(0, 5000).Draw(t, "long")) * time.Millisecond
			world.Rests(id, long)
			all = append(all, asked{server: id, until: world.now.Add(long)})
			world.pass(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passes")) * time.Millisecond)
			latest := make(map[string]time.Time)
			for _, asked := range all {
				if asked.until.After(world.now) && asked.until.After(latest[asked.server]) {
					latest[asked.server] = asked.until
				}
			}
			assert.Equal(t, len(world.Resting("vm-1")), len(latest))
			first, allRest := world.RestOver(engines(), nil)
			assert.Equal(t, allRest, len(latest) == 4)
			for _, until := range latest {
				assert.Assert(t, !allRest || !until.Before(first))
			}
		}
	})
}
