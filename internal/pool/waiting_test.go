package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// TestContested has two VMs that take servers for long prompts at the same
// moment, each without knowing of the other.
func TestContested(t *testing.T) {
	other := pool.Report{ID: 7, Server: "s2", Phase: pool.PhaseReading, Work: time.Second}
	tests := map[string]struct {
		vm     string
		change func(report *pool.Report)
		// before says that the other VM's was known before.
		before bool
		want   bool
	}{
		"the other goes first":     {vm: "vm-0", want: true},
		"this one goes first":      {vm: "vm-2"},
		"it was known before":      {vm: "vm-0", before: true},
		"another server":           {vm: "vm-0", change: func(report *pool.Report) { report.Server = "s3" }},
		"a short prompt":           {vm: "vm-0", change: func(report *pool.Report) { report.Tight = true }},
		"a prompt that was read":   {vm: "vm-0", change: func(report *pool.Report) { report.Phase = pool.PhaseWriting }},
		"a helper of another plan": {vm: "vm-0", change: func(report *pool.Report) { report.Helps = true }, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(3))
			report := other
			if test.change != nil {
				test.change(&report)
			}
			if test.before {
				world.Told(test.vm, []pool.Report{report})
				world.pass(time.Millisecond)
			}
			plan := placement.Plan{
				Server: world.server(t, "s1"), Helpers: []placement.Server{world.server(t, "s2")}, Part: time.Second,
			}
			use := world.Start(plan, placement.Request{Gap: time.Second})
			world.pass(time.Millisecond)
			if !test.before {
				world.Told(test.vm, []pool.Report{report})
			}
			assert.Equal(t, use.Contested(), test.want)
		})
	}
}

// TestRank has a request of this VM behind one of another VM.
func TestRank(t *testing.T) {
	ahead := pool.Report{ID: 7, Server: "engines", Phase: pool.PhaseWaiting, Due: time.Second}
	tests := map[string]struct {
		told     func(world *world)
		wantRank int
		wantNext bool
	}{
		"nobody is ahead": {told: func(*world) {}, wantNext: true},
		"one that may fit goes first": {
			told: func(world *world) { world.Told("vm-2", []pool.Report{ahead}) }, wantRank: 1,
		},
		"one that fits nowhere lets others go": {
			told: func(world *world) {
				blocked := ahead
				blocked.Helps = true
				world.Told("vm-2", []pool.Report{blocked})
			}, wantRank: 1, wantNext: true,
		},
		"one for another service": {
			told: func(world *world) {
				other := ahead
				other.Server = "others"
				world.Told("vm-2", []pool.Report{other})
			}, wantNext: true,
		},
		"a late one does not go first": {
			told: func(world *world) {
				late := ahead
				late.Due = -time.Second
				world.Told("vm-2", []pool.Report{late})
			}, wantNext: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			turn := world.Wait("engines", time.Second, world.now.Add(2*time.Second))
			test.told(world)
			rank, next := turn.Rank()
			assert.Equal(t, rank, test.wantRank)
			assert.Equal(t, next, test.wantNext)
		})
	}
}

// TestVMThatDoesNotTakeItsTurnIsPassedOver has VMs that were cut off while their
// requests were the first: all others waited until they were forgotten.
func TestVMThatDoesNotTakeItsTurnIsPassedOver(t *testing.T) {
	world := newWorld()
	turn := world.Wait("engines", time.Second, world.now.Add(2*time.Second))
	for id, vm := range []string{"vm-2", "vm-3"} {
		due := time.Duration(id+1) * 100 * time.Millisecond
		world.Told(vm, []pool.Report{{ID: 7, Server: "engines", Phase: pool.PhaseWaiting, Due: due}})
	}
	next := func() bool {
		_, next := turn.Rank()
		return next
	}
	assert.Assert(t, !next())
	world.pass(50 * time.Millisecond)
	assert.Assert(t, !next(), "the first may take a moment")
	world.pass(20 * time.Millisecond)
	assert.Assert(t, !next(), "the second has its turn only now")
	assert.Assert(t, !next())
	world.pass(70 * time.Millisecond)
	assert.Assert(t, next())
}

// TestWaiting adds up the reading that waits at all VMs, as each of them sees it.
func TestWaiting(t *testing.T) {
	world := newWorld()
	due := world.now.Add(2 * time.Second)
	turn := world.Wait("engines", time.Second, due)
	world.Wait("others", 8*time.Second, due)
	told := pool.Report{ID: 7, Server: "engines", Phase: pool.PhaseWaiting, Work: 3 * time.Second, Due: time.Second}
	world.Told("vm-2", []pool.Report{told})
	assert.Equal(t, world.Waiting("engines"), 4*time.Second)
	turn.End()
	assert.Equal(t, world.Waiting("engines"), 3*time.Second)
	world.pass(2 * time.Second)
	assert.Equal(t, world.Waiting("engines"), time.Duration(0), "a VM that says nothing is forgotten")
}
