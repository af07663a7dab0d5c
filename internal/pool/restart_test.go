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
	change := listedEntry("s1")
	change.Value.ID = startID(nth)
	change.Value.Started = time.Unix(int64(nth), 0)
	return change
}

func startID(nth int) string {
	return []string{"", "s1#first", "s1#second"}[nth]
}

// TestRestartResetsState guards against state of an earlier start that applies to the server after
// its restart.
func TestRestartResetsState(t *testing.T) {
	firstPlan := func(fixture *fixture) placement.Plan {
		return placement.Plan{Server: fixture.Eligible(engines(), nil)[0], PrefillPerServer: time.Second}
	}
	for name, before := range map[string]func(fixture *fixture){
		"requests in flight": func(fixture *fixture) {
			fixture.Start(firstPlan(fixture), placement.Request{Engine: engines().Engine, Memory: 1000})
		},
		"requests of other VMs": func(fixture *fixture) {
			fixture.HandleReports("vm-2", []pool.Report{{ID: 1, Server: startID(1), Phase: pool.PhasePrefill, Memory: 1000, PrefillTime: time.Second}})
		},
		"failures": func(fixture *fixture) {
			for range 9 {
				fixture.RecordFailure(startID(1))
			}
		},
		"unreported memory in use":        func(fixture *fixture) { fixture.RecordFreeMemory(engines(), startID(1), 0, 100) },
		"closed":                          func(fixture *fixture) { fixture.MarkClosed(startID(1)) },
		"draining reported in a response": func(fixture *fixture) { fixture.MarkDraining(startID(1)) },
		"draining by its entry": func(fixture *fixture) {
			change := startOf(1)
			change.Value.Draining = true
			fixture.Apply([]follower.Change[directory.Entry]{change})
		},
		"removed from the list": func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{removedEntry("s1")}) },
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Apply([]follower.Change[directory.Entry]{startOf(1)})
			before(fixture)
			fixture.Apply([]follower.Change[directory.Entry]{startOf(2)})
			assert.DeepEqual(t, fixture.eligible(), []string{startID(2)})
			server := fixture.server(t, startID(2))
			assert.Equal(t, server.Running, 0)
			assert.Equal(t, server.MemoryFree, memoryTokens)
			assert.Equal(t, server.Backlog, time.Duration(0))
			assert.Assert(t, !server.Suspect)
		})
	}
}

// TestDelayedUpdatesOfEarlierStart guards against list entries and reports of an earlier start that
// arrive after the server restarted, and replace or change the current start.
func TestDelayedUpdatesOfEarlierStart(t *testing.T) {
	drainingFirst := startOf(1)
	drainingFirst.Value.Draining = true
	for name, update := range map[string]func(fixture *fixture){
		"entry":          func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{startOf(1)}) },
		"draining entry": func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{drainingFirst}) },
		"whole list":     func(fixture *fixture) { fixture.Replace([]follower.Change[directory.Entry]{startOf(1)}) },
		"reports": func(fixture *fixture) {
			fixture.HandleReports("vm-2", []pool.Report{
				{ID: 1, Server: startID(1), Phase: pool.PhasePrefill, Memory: 1000, PrefillTime: time.Second},
				{Server: startID(1), Phase: pool.PhaseEnded, Health: pool.HealthClosed},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Apply([]follower.Change[directory.Entry]{startOf(1), startOf(2)})
			update(fixture)
			assert.DeepEqual(t, fixture.eligible(), []string{startID(2)})
			assert.Equal(t, fixture.server(t, startID(2)).MemoryFree, memoryTokens)
			_, unavailable := fixture.Find("engines", nil, []string{startID(1)})
			assert.DeepEqual(t, unavailable, []string{startID(1)})
		})
	}
}

// TestEntryWithoutStartTime guards against losing an entry without a start time: it applies to the
// current start.
func TestEntryWithoutStartTime(t *testing.T) {
	fixture := newFixture()
	fixture.Apply([]follower.Change[directory.Entry]{startOf(1), drainingEntry()})
	assert.Equal(t, len(fixture.eligible()), 0)
	fixture.Apply([]follower.Change[directory.Entry]{startOf(2)})
	assert.DeepEqual(t, fixture.eligible(), []string{startID(2)})
}

// TestRepeatedConnectionLossCountsOnce guards against counting the repeated reports of one lost
// connection as several failures, which ejected a healthy server. VMs repeat such reports since
// datagrams may be lost.
func TestRepeatedConnectionLossCountsOnce(t *testing.T) {
	fixture := newFixture()
	fixture.Apply(listedServers(1))
	for _, age := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond, 1900 * time.Millisecond} {
		fixture.HandleReports("vm-2", []pool.Report{{
			Server: "s1", Phase: pool.PhasePrefill, Health: pool.HealthConnectionLost, Fingerprint: 7, Age: age,
		}})
	}
	assert.Assert(t, !fixture.server(t, "s1").Suspect)
}
