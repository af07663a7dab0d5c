package pool_test

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

const memoryTokens = 232_000

// published gathers what a pool tells.
type published struct {
	reports []pool.Report
}

var _ pool.Publisher = (*published)(nil)

func (published *published) Publish(report pool.Report) {
	published.reports = append(published.reports, report)
}

// Share implements pool.Publisher: the VM decides for all.
func (*published) Share() float64 { return 1 }

// world is a pool with a clock of its own.
type world struct {
	*pool.Pool

	now       time.Time
	published *published
}

func newWorld() *world {
	world := &world{now: time.Unix(1000, 0), published: &published{}}
	world.Pool = pool.New(pool.DefaultSettings(), "vm-1", world.published, slog.New(slog.DiscardHandler),
		func() time.Time { return world.now })
	return world
}

// Start notes that a request goes to the servers of a plan.
func (world *world) Start(plan placement.Plan, request placement.Request) *pool.Use {
	return world.StartAs(world.ReserveID(), plan, request)
}

func (world *world) pass(duration time.Duration) {
	world.now = world.now.Add(duration)
}

func listed(id string) follower.Change[directory.Entry] {
	return follower.Change[directory.Entry]{Key: id, Value: &directory.Entry{
		ID: id, Service: "engines", Address: "127.0.0.1:1", DataCentre: "north", Slots: 16,
	}}
}

func leaving() follower.Change[directory.Entry] {
	change := listed("s1")
	change.Value.Leaving = true
	return change
}

func dropped(id string) follower.Change[directory.Entry] {
	return follower.Change[directory.Entry]{Key: id}
}

func listedUpTo(count int) []follower.Change[directory.Entry] {
	var changes []follower.Change[directory.Entry]
	for i := range count {
		changes = append(changes, listed(fmt.Sprintf("s%d", i+1)))
	}
	return changes
}

func engines() *catalog.Service {
	return &catalog.Service{Name: "engines", Engine: &catalog.Engine{
		MemoryTokens: memoryTokens, Stride: 43, Step: time.Millisecond, ReadPerSecond: 206_000,
		PairsPerMillion: 138 * time.Microsecond,
	}}
}

func (world *world) open(tried ...string) []string {
	var ids []string
	for _, server := range world.Open(engines(), tried) {
		ids = append(ids, server.ID)
	}
	slices.Sort(ids)
	return ids
}

func (world *world) server(t *testing.T, id string) placement.Server {
	t.Helper()
	for _, server := range world.Open(engines(), nil) {
		if server.ID == id {
			return server
		}
	}
	t.Fatalf("server %s is not open", id)
	return placement.Server{}
}

func TestOpen(t *testing.T) {
	tests := map[string]struct {
		change func(world *world)
		tried  []string
		want   []string
	}{
		"all listed": {
			change: func(*world) {},
			want:   []string{"s1", "s2", "s3"},
		},
		"tried ones are left out": {
			change: func(*world) {},
			tried:  []string{"s2"},
			want:   []string{"s1", "s3"},
		},
		"a leaving server gets nothing": {
			change: func(world *world) { world.Apply([]follower.Change[directory.Entry]{leaving()}) },
			want:   []string{"s2", "s3"},
		},
		"a server that was leaving stays so, whatever the list says later": {
			change: func(world *world) {
				world.Apply([]follower.Change[directory.Entry]{leaving(), listed("s1")})
			},
			want: []string{"s2", "s3"},
		},
		"a dropped server is gone at once": {
			change: func(world *world) { world.Apply([]follower.Change[directory.Entry]{dropped("s1")}) },
			want:   []string{"s2", "s3"},
		},
		"a server missing from a whole list is gone": {
			change: func(world *world) { world.Replace(listedUpTo(2)) },
			want:   []string{"s1", "s2"},
		},
		"a server that said it is another one is closed": {
			change: func(world *world) { world.Closed("s3") },
			want:   []string{"s1", "s2"},
		},
		"nothing changes while the source is away": {
			change: func(world *world) {
				world.Lost()
				world.pass(time.Minute)
			},
			want: []string{"s1", "s2", "s3"},
		},
		"entries that all lapsed while the source was away still count": {
			change: func(world *world) {
				world.Lost()
				world.Replace(nil)
				world.Regained()
				world.pass(time.Second)
			},
			want: []string{"s1", "s2", "s3"},
		},
		"entries that did not come back in time are gone": {
			change: func(world *world) {
				world.Lost()
				world.Replace(nil)
				world.Regained()
				world.pass(2100 * time.Millisecond)
			},
			want: nil,
		},
		// A VM that was cut off took a server that had left meanwhile for one
		// that lapsed, and used it two seconds longer than it may.
		"one entry missing after the source was away is gone": {
			change: func(world *world) {
				world.Lost()
				world.Replace(listedUpTo(2))
				world.Regained()
			},
			want: []string{"s1", "s2"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(3))
			test.change(world)
			assert.DeepEqual(t, world.open(test.tried...), test.want)
		})
	}
}

func TestSendingIsCountedUntilItIsOver(t *testing.T) {
	world := newWorld()
	world.Replace(listedUpTo(2))
	request := placement.Request{Tokens: 100_000, Memory: 101_000, Gap: time.Second}
	plan := placement.Plan{
		Server: world.server(t, "s1"), Helpers: []placement.Server{world.server(t, "s2")}, Part: 400 * time.Millisecond,
	}
	use := world.Start(plan, request)
	world.pass(100 * time.Millisecond)
	first := world.server(t, "s1")
	assert.Equal(t, first.Running, 1)
	assert.Equal(t, first.Backlog, 300*time.Millisecond)
	assert.Equal(t, first.MemoryFree, memoryTokens-101_000)
	assert.Equal(t, first.MinGap, time.Second)
	helper := world.server(t, "s2")
	assert.Equal(t, helper.Running, 0)
	assert.Equal(t, helper.Backlog, 300*time.Millisecond)
	use.Read()
	assert.Equal(t, world.server(t, "s1").Backlog, time.Duration(0))
	assert.Equal(t, world.server(t, "s1").Running, 1)
	assert.Equal(t, world.server(t, "s2").Backlog, time.Duration(0))
	use.Over()
	use.Over()
	assert.Equal(t, world.server(t, "s1").Running, 0)
	assert.Equal(t, world.server(t, "s1").MemoryFree, memoryTokens)
	assert.Equal(t, len(world.Own()), 0)
}

func TestToldSendings(t *testing.T) {
	report := pool.Report{ID: 7, Server: "s1", Work: time.Second, Memory: 1000, Tight: true}
	with := func(phase pool.Phase) []pool.Report {
		changed := report
		changed.Phase = phase
		return []pool.Report{changed}
	}
	tests := map[string]struct {
		told        func(world *world)
		wantRunning int
		wantBacklog time.Duration
	}{
		"reading": {
			told:        func(world *world) { world.Told("vm-2", with(pool.PhaseReading)) },
			wantRunning: 1, wantBacklog: time.Second,
		},
		"told twice counts once": {
			told: func(world *world) {
				world.Told("vm-2", with(pool.PhaseReading))
				world.Told("vm-2", with(pool.PhaseReading))
			},
			wantRunning: 1, wantBacklog: time.Second,
		},
		"two VMs may use the same ID": {
			told: func(world *world) {
				world.Told("vm-2", with(pool.PhaseWriting))
				world.Told("vm-3", with(pool.PhaseWriting))
			},
			wantRunning: 2,
		},
		"a late report does not go back": {
			told: func(world *world) {
				world.Told("vm-2", with(pool.PhaseWriting))
				world.Told("vm-2", with(pool.PhaseReading))
			},
			wantRunning: 1,
		},
		"over": {
			told: func(world *world) {
				world.Told("vm-2", with(pool.PhaseReading))
				world.Told("vm-2", with(pool.PhaseOver))
			},
		},
		"an end that was lost is made up for by silence": {
			told: func(world *world) {
				world.Told("vm-2", with(pool.PhaseWriting))
				world.pass(2 * time.Second)
			},
		},
		"telling again keeps it": {
			told: func(world *world) {
				world.Told("vm-2", with(pool.PhaseWriting))
				world.pass(time.Second)
				world.Told("vm-2", with(pool.PhaseWriting))
				world.pass(time.Second)
			},
			wantRunning: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(1))
			test.told(world)
			server := world.server(t, "s1")
			assert.Equal(t, server.Running, test.wantRunning)
			assert.Equal(t, server.Backlog, test.wantBacklog)
		})
	}
}

// TestServerThatOwesFirstEventsIsHeldUp has a server whose memory is held by
// what is not known here, so that it reads nothing: by what was sent it looked
// idle, and VMs sent it all they had.
func TestServerThatOwesFirstEventsIsHeldUp(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		read  bool
		want  time.Duration
	}{
		"while it reads":            {after: 10 * time.Millisecond, want: 20 * time.Millisecond},
		"a pass later":              {after: 130 * time.Millisecond, want: 0},
		"long after":                {after: 1039 * time.Millisecond, want: 800 * time.Millisecond},
		"once the first event came": {after: 1039 * time.Millisecond, read: true, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(1))
			plan := placement.Plan{Server: world.server(t, "s1"), Part: 30 * time.Millisecond, Tight: true}
			use := world.Start(plan, placement.Request{Gap: 250 * time.Millisecond})
			world.pass(test.after)
			if test.read {
				use.Read()
			}
			assert.Equal(t, world.server(t, "s1").Backlog, test.want)
		})
	}
}

func TestFailuresMakeAServerSuspectForATime(t *testing.T) {
	world := newWorld()
	world.Replace(listedUpTo(1))
	assert.Assert(t, !world.Failed("s1"))
	assert.Assert(t, !world.server(t, "s1").Suspect)
	assert.Assert(t, world.Failed("s1"))
	assert.Assert(t, world.server(t, "s1").Suspect)
	world.pass(1100 * time.Millisecond)
	assert.Assert(t, !world.server(t, "s1").Suspect)
	assert.Assert(t, world.Failed("s1"))
	world.pass(1100 * time.Millisecond)
	assert.Assert(t, world.server(t, "s1").Suspect, "each further failure doubles the time")
	world.Succeeded("s1", fingerprint.None)
	assert.Assert(t, !world.server(t, "s1").Suspect)
}

// TestSlowServerIsSuspect has events that take four times as long at one server.
func TestSlowServerIsSuspect(t *testing.T) {
	tests := map[string]struct {
		// times is how much longer than expected events take at each server.
		times map[string]float64
		want  map[string]bool
	}{
		"one is slow":          {times: map[string]float64{"s1": 4, "s2": 1, "s3": 1}, want: map[string]bool{"s1": true}},
		"all are slow":         {times: map[string]float64{"s1": 4, "s2": 4, "s3": 4}, want: map[string]bool{}},
		"one is a bit slow":    {times: map[string]float64{"s1": 1.5, "s2": 1, "s3": 1}, want: map[string]bool{}},
		"fast ones are no aim": {times: map[string]float64{"s1": 0.2, "s2": 0.2, "s3": 0.5}, want: map[string]bool{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Replace(listedUpTo(3))
			for id, times := range test.times {
				use := world.Start(placement.Plan{Server: world.server(t, id)}, placement.Request{Engine: engines().Engine})
				use.Read()
				for range 20 {
					use.Event()
					world.pass(time.Duration(times * float64(73*time.Millisecond)))
				}
				use.Over()
				world.now = time.Unix(1000, 0).Add(time.Millisecond)
			}
			for id := range test.times {
				assert.Equal(t, world.server(t, id).Suspect, test.want[id], id)
			}
			world.pass(20 * time.Second)
			for id := range test.times {
				assert.Assert(t, !world.server(t, id).Suspect, "%s is tried again", id)
			}
		})
	}
}

func TestPaceIsToldToOtherVMs(t *testing.T) {
	world := newWorld()
	world.Replace(listedUpTo(3))
	for range 30 {
		report := pool.Report{ID: 7, Server: "s1", Phase: pool.PhaseWriting}
		world.Told("vm-2", []pool.Report{report})
		report.Phase, report.Pace = pool.PhaseOver, 5
		world.Told("vm-2", []pool.Report{report})
	}
	assert.Assert(t, world.server(t, "s1").Suspect)
}

// TestViewHasTheShortestPauses has two tight streams and a loose one at a server.
func TestViewHasTheShortestPauses(t *testing.T) {
	world := newWorld()
	world.Replace(listedUpTo(1))
	assert.Equal(t, world.server(t, "s1").TightGap, time.Duration(0))
	start := func(gap time.Duration, tight bool) {
		plan := placement.Plan{Server: placement.Server{ID: "s1"}, Tight: tight}
		world.Start(plan, placement.Request{Gap: gap, Memory: 5000})
	}
	start(300*time.Millisecond, true)
	start(120*time.Millisecond, true)
	start(100*time.Millisecond, false)
	view := world.server(t, "s1")
	assert.Equal(t, view.TightGap, 120*time.Millisecond)
	assert.Equal(t, view.LooseGap, 100*time.Millisecond)
	assert.Equal(t, view.MinGap, 100*time.Millisecond)
}
