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

// splitPlan returns a plan that splits the prefill over two servers and reserves memory at both.
func splitPlan() (placement.Plan, placement.Request) {
	plan := placement.Plan{
		Server: placement.Server{ID: "a"}, Helpers: []placement.Server{{ID: "b"}},
		PrefillPerServer: 200 * time.Millisecond, MemoryShares: []int{100_000, 50_000},
	}
	return plan, placement.Request{Engine: engines().Engine, Memory: 150_000, InterTokenObjective: time.Second}
}

// freeMemory returns the free memory of both servers.
func (fixture *fixture) freeMemory() (a, b int) {
	for _, server := range fixture.Eligible(engines(), nil) {
		switch server.ID {
		case "a":
			a = server.MemoryFree
		case "b":
			b = server.MemoryFree
		}
	}
	return a, b
}

// TestRemoteAssignment guards against counting a request of another VM twice or not at all, when
// its assignment, its VM's reports, its withdrawal or its expiry follow each other.
func TestRemoteAssignment(t *testing.T) {
	const id = 700
	plan, request := splitPlan()
	// The other VM's reports when it has sent the request, and when the request has ended.
	reports := []pool.Report{
		{ID: id + 1, Server: "a", Phase: pool.PhasePrefill, PrefillTime: plan.PrefillPerServer, Memory: 100_000},
		{ID: id + 2, Server: "b", Phase: pool.PhasePrefill, PrefillTime: plan.PrefillPerServer, Memory: 50_000, PrefillOnly: true},
	}
	ended := []pool.Report{{ID: id + 1, Server: "a", Phase: pool.PhaseEnded}, {ID: id + 2, Server: "b", Phase: pool.PhaseEnded}}
	tests := map[string]struct {
		action       func(fixture *fixture)
		wantA, wantB int
	}{
		"counted at once": {action: func(*fixture) {}, wantA: 100_000, wantB: 50_000},
		"reported by its VM": {
			action: func(fixture *fixture) { fixture.HandleReports("vm-2", reports) }, wantA: 100_000, wantB: 50_000,
		},
		"ended by its VM": {action: func(fixture *fixture) {
			fixture.HandleReports("vm-2", reports)
			fixture.HandleReports("vm-2", ended)
		}},
		"withdrawn":                       {action: func(fixture *fixture) { fixture.Withdraw("vm-2", id) }},
		"another request withdrawn":       {action: func(fixture *fixture) { fixture.Withdraw("vm-2", id+100) }, wantA: 100_000, wantB: 50_000},
		"same ID of another VM withdrawn": {action: func(fixture *fixture) { fixture.Withdraw("vm-3", id) }, wantA: 100_000, wantB: 50_000},
		"never reported by its VM":        {action: func(fixture *fixture) { fixture.advance(1700 * time.Millisecond) }},
		"reported repeatedly by its VM": {
			action: func(fixture *fixture) {
				for range 4 {
					fixture.advance(500 * time.Millisecond)
					fixture.HandleReports("vm-2", reports)
				}
			}, wantA: 100_000, wantB: 50_000,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace([]follower.Change[directory.Entry]{listedEntry("a"), listedEntry("b")})
			fixture.Assign("vm-2", id, plan, request)
			test.action(fixture)
			a, b := fixture.freeMemory()
			assert.Equal(t, memoryTokens-a, test.wantA)
			assert.Equal(t, memoryTokens-b, test.wantB)
		})
	}
}

// TestOwnRequestIsAssignedOnce guards against counting a request twice at a VM that assigns servers
// to a request of its own.
func TestOwnRequestIsAssignedOnce(t *testing.T) {
	fixture := newFixture()
	fixture.Replace([]follower.Change[directory.Entry]{listedEntry("a"), listedEntry("b")})
	plan, request := splitPlan()
	id := fixture.ReserveID()
	fixture.Assign("vm-1", id, plan, request)
	activeRequest := fixture.StartWithID(id, plan, request)
	a, b := fixture.freeMemory()
	assert.Equal(t, memoryTokens-a, 100_000)
	assert.Equal(t, memoryTokens-b, 50_000)
	assert.Assert(t, fixture.ReserveID() > id+placement.MaxParts, "the IDs of two requests overlap")
	activeRequest.Finish()
	a, b = fixture.freeMemory()
	assert.Equal(t, a, memoryTokens)
	assert.Equal(t, b, memoryTokens)
}

// TestRemoteHealthReports guards against a VM that ignores the failures observed by others:
// together they make a server suspect, although each VM saw fewer failures than that takes.
func TestRemoteHealthReports(t *testing.T) {
	failed := pool.Report{Server: "a", Phase: pool.PhaseEnded, Health: pool.HealthFailed}
	succeeded := pool.Report{Server: "a", Phase: pool.PhaseEnded, Health: pool.HealthSucceeded}
	closed := pool.Report{Server: "a", Phase: pool.PhaseEnded, Health: pool.HealthClosed}
	tests := map[string]struct {
		reports         []pool.Report
		wantSuspect     bool
		wantUnavailable bool
	}{
		"one failure":                    {reports: []pool.Report{failed}},
		"two failures":                   {reports: []pool.Report{failed, failed}, wantSuspect: true},
		"a success between two failures": {reports: []pool.Report{failed, succeeded, failed}},
		"closed":                         {reports: []pool.Report{closed}, wantUnavailable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace([]follower.Change[directory.Entry]{listedEntry("a"), listedEntry("b")})
			for _, report := range test.reports {
				fixture.HandleReports("vm-2", []pool.Report{report})
			}
			found := false
			for _, server := range fixture.Eligible(engines(), nil) {
				if server.ID == "a" {
					found = true
					assert.Equal(t, server.Suspect, test.wantSuspect)
				}
			}
			assert.Equal(t, found, !test.wantUnavailable)
			usable, unavailable := fixture.Find("engines", nil, []string{"a", "b"})
			assert.Equal(t, len(unavailable) == 1, test.wantUnavailable)
			assert.Equal(t, len(usable)+len(unavailable), 2)
		})
	}
}
