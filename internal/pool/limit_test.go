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

// limitedReport is what a VM tells of the limit of a server that it heard of so long ago.
func limitedReport(age time.Duration) pool.Report {
	return pool.Report{Server: "s1", Phase: pool.PhaseOver, Health: pool.HealthLimited, PerSecond: 2, Age: age}
}

// unlimitedReport is what it tells of an answer without one, which was asked for so long ago.
func unlimitedReport(age time.Duration) pool.Report {
	return pool.Report{Server: "s1", Phase: pool.PhaseOver, Health: pool.HealthUnlimited, Age: age}
}

// sent is a request of another VM at a server.
func sent(number uint64, age time.Duration) pool.Report {
	return pool.Report{ID: number, Server: "s1", Phase: pool.PhaseReading, Age: age}
}

// TestLimitIsOfAllVMs has a limit of one a second and what is heard of requests there: a server is open as long as those
// of all VMs together are within it.
func TestLimitIsOfAllVMs(t *testing.T) {
	for name, test := range map[string]struct {
		then func(world *world)
		// open says that the server takes a request half a second later.
		open bool
	}{
		"nothing is sent": {then: func(*world) {}, open: true},
		"one of this VM": {then: func(world *world) {
			world.Start(placement.Plan{Server: placement.Server{ID: "s1"}}, placement.Request{})
		}},
		"one that helps": {then: func(world *world) {
			world.Start(placement.Plan{
				Server: placement.Server{ID: "s2"}, Helpers: []placement.Server{{ID: "s1"}},
			}, placement.Request{})
		}},
		"one of another VM":        {then: func(world *world) { world.Told("vm-2", []pool.Report{sent(1, 0)}) }},
		"one of long ago":          {then: func(world *world) { world.Told("vm-2", []pool.Report{sent(1, 3*time.Second)}) }, open: true},
		"one that is decided here": {then: assign},
		"one that is decided here and told": {then: func(world *world) {
			assign(world)
			world.Told("vm-2", []pool.Report{sent(101, 0)})
		}},
		"one that is given up": {then: func(world *world) {
			assign(world)
			world.Withdraw("vm-2", 100)
		}, open: true},
		"a later start": {then: func(world *world) {
			assign(world)
			later := listed("s1")
			later.Value.ID, later.Value.Started = "s1#later", world.now
			world.Apply([]follower.Change[directory.Entry]{later})
		}, open: true},
		"the list is read anew": {then: func(world *world) {
			assign(world)
			world.Replace(listedUpTo(2))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(2))
			world.Limits("s1", 1)
			test.then(world)
			world.pass(500 * time.Millisecond)
			want := []string{"s2"}
			if test.open {
				want = []string{world.listedNow("s1"), "s2"}
			}
			assert.DeepEqual(t, world.open(), want)
			world.pass(600 * time.Millisecond)
			assert.DeepEqual(t, world.open(), []string{world.listedNow("s1"), "s2"})
		})
	}
}

// assign gives the first server to a request of another VM.
func assign(world *world) {
	assignAs(world, 100)
}

func assignAs(world *world, id uint64) {
	world.Assign("vm-2", id, placement.Plan{Server: placement.Server{ID: "s1"}}, placement.Request{})
}

// listedNow returns the start of a server that is open now, or its first one.
func (world *world) listedNow(id string) string {
	for _, open := range world.open() {
		if open == id+"#later" {
			return open
		}
	}
	return id
}

// TestLimitsAreTold has what is heard of limits at a VM, and what it tells others: a change at once, all that was heard
// lately at intervals, and everything if it decides for others.
func TestLimitsAreTold(t *testing.T) {
	named := limitedReport(0)
	for name, test := range map[string]struct {
		then func(world *world)
		// once is told as it comes, own later, and all by a VM that decides.
		once, own, all []pool.Report
	}{
		"nothing":         {then: func(*world) {}},
		"an unknown one":  {then: func(world *world) { world.Limits("s9", 2) }},
		"without a limit": {then: func(world *world) { world.LiftsLimit("s1", world.now) }},
		"named": {
			then: func(world *world) { world.Limits("s1", 2) },
			once: []pool.Report{named}, own: []pool.Report{limitedReport(time.Second)}, all: []pool.Report{limitedReport(time.Second)},
		},
		"named again": {
			then: func(world *world) {
				world.Limits("s1", 2)
				world.pass(time.Minute)
				world.Limits("s1", 2)
			},
			once: []pool.Report{named}, own: []pool.Report{limitedReport(time.Second)}, all: []pool.Report{limitedReport(time.Second)},
		},
		"named long ago": {
			then: func(world *world) {
				world.Limits("s1", 2)
				world.pass(time.Minute)
			},
			once: []pool.Report{named}, all: []pool.Report{limitedReport(61 * time.Second)},
		},
		"lifted": {
			then: func(world *world) {
				world.Limits("s1", 2)
				world.pass(time.Second)
				world.LiftsLimit("s1", world.now)
				world.LiftsLimit("s1", world.now)
			},
			once: []pool.Report{named, unlimitedReport(0)},
			own:  []pool.Report{unlimitedReport(time.Second)}, all: []pool.Report{unlimitedReport(time.Second)},
		},
		"an answer that was asked for before": {
			then: func(world *world) {
				world.Limits("s1", 2)
				world.LiftsLimit("s1", world.now)
			},
			once: []pool.Report{named}, own: []pool.Report{limitedReport(time.Second)}, all: []pool.Report{limitedReport(time.Second)},
		},
		"another VM told of it": {
			then: func(world *world) { world.Told("vm-2", []pool.Report{named}) },
			own:  []pool.Report{limitedReport(time.Second)}, all: []pool.Report{limitedReport(time.Second)},
		},
		"told again a moment later": {
			then: func(world *world) {
				world.Told("vm-2", []pool.Report{named})
				world.pass(50 * time.Millisecond)
				world.Told("vm-2", []pool.Report{named})
			},
			own: []pool.Report{limitedReport(1050 * time.Millisecond)}, all: []pool.Report{limitedReport(1050 * time.Millisecond)},
		},
		"only who decides knows of it": {
			then: func(world *world) {
				world.WatchLimit("s1")
				world.LiftsLimit("s1", world.now)
				world.LiftsLimit("s1", world.now)
			},
			once: []pool.Report{unlimitedReport(0)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(2))
			test.then(world)
			assert.DeepEqual(t, world.published.reports, test.once)
			world.pass(time.Second)
			assert.DeepEqual(t, world.OwnLimits(false), test.own)
			assert.DeepEqual(t, world.OwnLimits(true), test.all)
		})
	}
}

// TestRequestsThatLookTogether see the same room, and one of them gets it.
func TestRequestsThatLookTogether(t *testing.T) {
	world := newWorld()
	world.Replace(listedUpTo(1))
	world.Limits("s1", 1)
	plan := placement.Plan{Server: world.server(t, "s1")}
	_, first := world.StartWithin(plan, placement.Request{})
	_, second := world.StartWithin(plan, placement.Request{})
	assert.Assert(t, first && !second)
	world.pass(1100 * time.Millisecond)
	_, third := world.StartWithin(plan, placement.Request{})
	assert.Assert(t, third)
}

// TestSeveralAtOnce has a server that is limited and something else besides: it is open to this VM only if all let it be, and
// the service takes what those take that may be used.
func TestSeveralAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		also func(world *world)
		open []string
		// takes is how many requests a second all take, or zero for no limit.
		takes float64
	}{
		"nothing":                  {also: func(*world) {}, open: []string{"s1", "s2"}, takes: 5},
		"it rests":                 {also: func(world *world) { world.Rests("s1", time.Minute) }, open: []string{"s1", "s2"}, takes: 3},
		"it rests from another VM": {also: rested("s1", time.Minute), open: []string{"s1", "s2"}, takes: 5},
		"all rest":                 {also: func(world *world) { world.Rests("s1", time.Minute); world.Rests("s2", time.Minute) }, open: []string{"s1", "s2"}},
		"it leaves":                {also: func(world *world) { world.Leaves("s1") }, open: []string{"s2"}, takes: 3},
		"its entry says it leaves": {also: func(world *world) { world.Apply([]follower.Change[directory.Entry]{leaving()}) }, open: []string{"s2"}, takes: 3},
		"it is another server now": {also: func(world *world) { world.Closed("s1") }, open: []string{"s2"}, takes: 3},
		"the other one is as before": {also: func(world *world) {
			world.pass(time.Millisecond)
			world.LiftsLimit("s2", world.now)
			world.pass(3 * time.Second)
		}, open: []string{"s1", "s2"}},
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(2))
			world.Limits("s1", 2)
			world.Limits("s2", 3)
			test.also(world)
			assert.DeepEqual(t, world.open(), test.open)
			perSecond, limited := world.TakesPerSecond("engines", nil, "vm-1")
			assert.Equal(t, perSecond, test.takes)
			assert.Equal(t, limited, test.takes > 0)
		})
	}
}
