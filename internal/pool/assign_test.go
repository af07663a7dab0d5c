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

// parted is a plan over two servers, with memory set aside at both.
func parted() (placement.Plan, placement.Request) {
	plan := placement.Plan{
		Server: placement.Server{ID: "a"}, Helpers: []placement.Server{{ID: "b"}},
		Part: 200 * time.Millisecond, Shares: []int{100_000, 50_000},
	}
	return plan, placement.Request{Engine: engines().Engine, Memory: 150_000, Gap: time.Second}
}

// free returns the free memory at both servers.
func (world *world) free() (a, b int) {
	for _, server := range world.Open(engines(), nil) {
		switch server.ID {
		case "a":
			a = server.MemoryFree
		case "b":
			b = server.MemoryFree
		}
	}
	return a, b
}

// TestAssigned follows a request that another VM got servers for.
func TestAssigned(t *testing.T) {
	const id = 700
	plan, request := parted()
	// What the other VM tells of the request once it was sent, and once it is over.
	reports := []pool.Report{
		{ID: id + 1, Server: "a", Phase: pool.PhaseReading, Work: plan.Part, Memory: 100_000},
		{ID: id + 2, Server: "b", Phase: pool.PhaseReading, Work: plan.Part, Memory: 50_000, Helps: true},
	}
	over := []pool.Report{{ID: id + 1, Server: "a", Phase: pool.PhaseOver}, {ID: id + 2, Server: "b", Phase: pool.PhaseOver}}
	tests := map[string]struct {
		then         func(world *world)
		wantA, wantB int
	}{
		"it is known at once": {then: func(*world) {}, wantA: 100_000, wantB: 50_000},
		"what its VM tells is the same request": {
			then: func(world *world) { world.Told("vm-2", reports) }, wantA: 100_000, wantB: 50_000,
		},
		"its VM ends it": {then: func(world *world) {
			world.Told("vm-2", reports)
			world.Told("vm-2", over)
		}},
		"it is withdrawn":                {then: func(world *world) { world.Withdraw("vm-2", id) }},
		"another request is withdrawn":   {then: func(world *world) { world.Withdraw("vm-2", id+100) }, wantA: 100_000, wantB: 50_000},
		"one of another VM is withdrawn": {then: func(world *world) { world.Withdraw("vm-3", id) }, wantA: 100_000, wantB: 50_000},
		"its VM never tells of it":       {then: func(world *world) { world.pass(1700 * time.Millisecond) }},
		"its VM tells of it now and again": {
			then: func(world *world) {
				for range 4 {
					world.pass(500 * time.Millisecond)
					world.Told("vm-2", reports)
				}
			}, wantA: 100_000, wantB: 50_000,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace([]follower.Change[directory.Entry]{listed("a"), listed("b")})
			world.Assign("vm-2", id, plan, request)
			test.then(world)
			a, b := world.free()
			assert.Equal(t, memoryTokens-a, test.wantA)
			assert.Equal(t, memoryTokens-b, test.wantB)
		})
	}
}

// TestOwnRequestIsAssignedOnce has a VM that decides for a request of its own.
func TestOwnRequestIsAssignedOnce(t *testing.T) {
	world := newWorld()
	world.Replace([]follower.Change[directory.Entry]{listed("a"), listed("b")})
	plan, request := parted()
	id := world.ReserveID()
	world.Assign("vm-1", id, plan, request)
	use := world.StartAs(id, plan, request)
	a, b := world.free()
	assert.Equal(t, memoryTokens-a, 100_000)
	assert.Equal(t, memoryTokens-b, 50_000)
	assert.Assert(t, world.ReserveID() > id+placement.MaxParts, "numbers of other requests differ")
	use.Over()
	a, b = world.free()
	assert.Equal(t, a, memoryTokens)
	assert.Equal(t, b, memoryTokens)
}

// TestHealthIsTold has two VMs that each see a server fail once: it is suspect, where it
// took two failures at each VM.
func TestHealthIsTold(t *testing.T) {
	failed := pool.Report{Server: "a", Phase: pool.PhaseOver, Health: pool.HealthFailed}
	good := pool.Report{Server: "a", Phase: pool.PhaseOver, Health: pool.HealthGood}
	closed := pool.Report{Server: "a", Phase: pool.PhaseOver, Health: pool.HealthClosed}
	tests := map[string]struct {
		told        []pool.Report
		wantSuspect bool
		wantGone    bool
	}{
		"one failure":                {told: []pool.Report{failed}},
		"two failures":               {told: []pool.Report{failed, failed}, wantSuspect: true},
		"a good answer between them": {told: []pool.Report{failed, good, failed}},
		"it takes nothing more":      {told: []pool.Report{closed}, wantGone: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace([]follower.Change[directory.Entry]{listed("a"), listed("b")})
			for _, report := range test.told {
				world.Told("vm-2", []pool.Report{report})
			}
			found := false
			for _, server := range world.Open(engines(), nil) {
				if server.ID == "a" {
					found = true
					assert.Equal(t, server.Suspect, test.wantSuspect)
				}
			}
			assert.Equal(t, found, !test.wantGone)
			usable, missing := world.Find("engines", nil, []string{"a", "b"})
			assert.Equal(t, len(missing) == 1, test.wantGone)
			assert.Equal(t, len(usable)+len(missing), 2)
		})
	}
}
