package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// startOf returns the entry of the nth start of server s1.
func startOf(nth int) follower.Change[directory.Entry] {
	change := listed("s1")
	change.Value.ID = startID(nth)
	change.Value.Started = time.Unix(int64(nth), 0)
	return change
}

func startID(nth int) string {
	return []string{"", "s1#first", "s1#second"}[nth]
}

// TestNewStartKnowsNothingOfBefore has a server that starts again under its name, after all that can be known of
// the earlier start.
func TestNewStartKnowsNothingOfBefore(t *testing.T) {
	atFirst := func(world *world) placement.Plan {
		return placement.Plan{Server: world.Open(engines(), nil)[0], Part: time.Second}
	}
	for name, before := range map[string]func(world *world){
		"requests under way": func(world *world) {
			world.Start(atFirst(world), placement.Request{Engine: engines().Engine, Memory: 1000})
		},
		"requests of other VMs": func(world *world) {
			world.Told("vm-2", []pool.Report{{ID: 1, Server: startID(1), Phase: pool.PhaseReading, Memory: 1000, Work: time.Second}})
		},
		"failures": func(world *world) {
			for range 9 {
				world.Failed(startID(1))
			}
		},
		"memory in use": func(world *world) { world.NotFree(engines(), startID(1), 0, 100) },
		"taken away":    func(world *world) { world.Closed(startID(1)) },
		"said to leave": func(world *world) { world.Leaves(startID(1)) },
		"planned end": func(world *world) {
			change := startOf(1)
			change.Value.Leaving = true
			world.Apply([]follower.Change[directory.Entry]{change})
		},
		"not listed": func(world *world) { world.Apply([]follower.Change[directory.Entry]{dropped("s1")}) },
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Apply([]follower.Change[directory.Entry]{startOf(1)})
			before(world)
			world.Apply([]follower.Change[directory.Entry]{startOf(2)})
			assert.DeepEqual(t, world.open(), []string{startID(2)})
			server := world.server(t, startID(2))
			assert.Equal(t, server.Running, 0)
			assert.Equal(t, server.MemoryFree, memoryTokens)
			assert.Equal(t, server.Backlog, time.Duration(0))
			assert.Assert(t, !server.Suspect)
		})
	}
}

// TestLateNewsOfAnEarlierStart has what tells of the earlier start come after the later one is there.
func TestLateNewsOfAnEarlierStart(t *testing.T) {
	leavingFirst := startOf(1)
	leavingFirst.Value.Leaving = true
	for name, late := range map[string]func(world *world){
		"its entry":      func(world *world) { world.Apply([]follower.Change[directory.Entry]{startOf(1)}) },
		"its end":        func(world *world) { world.Apply([]follower.Change[directory.Entry]{leavingFirst}) },
		"the whole list": func(world *world) { world.Replace([]follower.Change[directory.Entry]{startOf(1)}) },
		"a datagram": func(world *world) {
			world.Told("vm-2", []pool.Report{
				{ID: 1, Server: startID(1), Phase: pool.PhaseReading, Memory: 1000, Work: time.Second},
				{Server: startID(1), Phase: pool.PhaseOver, Health: pool.HealthClosed},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Apply([]follower.Change[directory.Entry]{startOf(1), startOf(2)})
			late(world)
			assert.DeepEqual(t, world.open(), []string{startID(2)})
			assert.Equal(t, world.server(t, startID(2)).MemoryFree, memoryTokens)
			_, missing := world.Find("engines", nil, []string{startID(1)})
			assert.DeepEqual(t, missing, []string{startID(1)})
		})
	}
}

// TestEntryThatTellsNoStart is taken to be of the start that is there.
func TestEntryThatTellsNoStart(t *testing.T) {
	world := newWorld()
	world.Apply([]follower.Change[directory.Entry]{startOf(1), leaving()})
	assert.Equal(t, len(world.open()), 0)
	world.Apply([]follower.Change[directory.Entry]{startOf(2)})
	assert.DeepEqual(t, world.open(), []string{startID(2)})
}

// TestLossThatIsToldAgainCountsOnce has a VM tell again, for as long as a datagram may have been lost, that a server was
// lost under a request: one broken answer counted as a failure each time, and put a sound server out of use.
func TestLossThatIsToldAgainCountsOnce(t *testing.T) {
	world := newWorld()
	world.Apply(listedUpTo(1))
	for _, age := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond, 1900 * time.Millisecond} {
		world.Told("vm-2", []pool.Report{{
			Server: "s1", Phase: pool.PhaseReading, Health: pool.HealthLost, Fingerprint: 7, Age: age,
		}})
	}
	assert.Assert(t, !world.server(t, "s1").Suspect)
}
