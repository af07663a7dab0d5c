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

// publisher collects the published reports.
type publisher struct {
	reports []pool.Report
}

var _ pool.Publisher = (*publisher)(nil)

func (publisher *publisher) Publish(report pool.Report) {
	publisher.reports = append(publisher.reports, report)
}

// Share implements pool.Publisher: the VM assigns all requests.
func (*publisher) Share() float64 { return 1 }

// fixture is a pool with a manual clock.
type fixture struct {
	*pool.Pool

	now       time.Time
	publisher *publisher
}

func newFixture() *fixture {
	fixture := &fixture{now: time.Unix(1000, 0), publisher: &publisher{}}
	fixture.Pool = pool.New(pool.DefaultSettings(), "vm-1", fixture.publisher, slog.New(slog.DiscardHandler),
		func() time.Time { return fixture.now })
	return fixture
}

// Start records that a request is sent to the servers of a plan.
func (fixture *fixture) Start(plan placement.Plan, request placement.Request) *pool.ActiveRequest {
	return fixture.StartWithID(fixture.ReserveID(), plan, request)
}

func (fixture *fixture) advance(duration time.Duration) {
	fixture.now = fixture.now.Add(duration)
}

func listedEntry(id string) follower.Change[directory.Entry] {
	return follower.Change[directory.Entry]{Key: id, Value: &directory.Entry{
		ID: id, Service: "engines", Address: "127.0.0.1:1", DataCentre: "north", Slots: 16,
	}}
}

func drainingEntry() follower.Change[directory.Entry] {
	change := listedEntry("s1")
	change.Value.Draining = true
	return change
}

func removedEntry(id string) follower.Change[directory.Entry] {
	return follower.Change[directory.Entry]{Key: id}
}

func listedServers(count int) []follower.Change[directory.Entry] {
	var changes []follower.Change[directory.Entry]
	for i := range count {
		changes = append(changes, listedEntry(fmt.Sprintf("s%d", i+1)))
	}
	return changes
}

func engines() *catalog.Service {
	return &catalog.Service{Name: "engines", Engine: &catalog.Engine{
		MemoryTokens: memoryTokens, StepsPerPass: 43, StepTime: time.Millisecond, PrefillTokensPerSecond: 206_000,
		TimePerMillionPairs: 138 * time.Microsecond,
	}}
}

func (fixture *fixture) eligible(tried ...string) []string {
	var ids []string
	for _, server := range fixture.Eligible(engines(), tried) {
		ids = append(ids, server.ID)
	}
	slices.Sort(ids)
	return ids
}

func (fixture *fixture) server(t *testing.T, id string) placement.Server {
	t.Helper()
	for _, server := range fixture.Eligible(engines(), nil) {
		if server.ID == id {
			return server
		}
	}
	t.Fatalf("server %s is not eligible", id)
	return placement.Server{}
}

// TestEligible guards against using removed, draining or closed servers, and against losing all servers
// while the source of the list is unavailable.
func TestEligible(t *testing.T) {
	tests := map[string]struct {
		change func(fixture *fixture)
		tried  []string
		want   []string
	}{
		"all listed": {
			change: func(*fixture) {},
			want:   []string{"s1", "s2", "s3"},
		},
		"tried servers excluded": {
			change: func(*fixture) {},
			tried:  []string{"s2"},
			want:   []string{"s1", "s3"},
		},
		"draining server excluded": {
			change: func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{drainingEntry()}) },
			want:   []string{"s2", "s3"},
		},
		"draining server stays excluded after an entry without draining": {
			change: func(fixture *fixture) {
				fixture.Apply([]follower.Change[directory.Entry]{drainingEntry(), listedEntry("s1")})
			},
			want: []string{"s2", "s3"},
		},
		"entry removed": {
			change: func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{removedEntry("s1")}) },
			want:   []string{"s2", "s3"},
		},
		"missing from the whole list": {
			change: func(fixture *fixture) { fixture.Replace(listedServers(2)) },
			want:   []string{"s1", "s2"},
		},
		"closed": {
			change: func(fixture *fixture) { fixture.MarkClosed("s3") },
			want:   []string{"s1", "s2"},
		},
		"list source unavailable": {
			change: func(fixture *fixture) {
				fixture.Lost()
				fixture.advance(time.Minute)
			},
			want: []string{"s1", "s2", "s3"},
		},
		"all entries expired while the list source was unavailable": {
			change: func(fixture *fixture) {
				fixture.Lost()
				fixture.Replace(nil)
				fixture.Regained()
				fixture.advance(time.Second)
			},
			want: []string{"s1", "s2", "s3"},
		},
		"all entries still missing after the return time": {
			change: func(fixture *fixture) {
				fixture.Lost()
				fixture.Replace(nil)
				fixture.Regained()
				fixture.advance(2100 * time.Millisecond)
			},
			want: nil,
		},
		// A partitioned VM mistook a server that had been removed meanwhile for one whose entry had
		// expired, and used it for two seconds longer than allowed.
		"one entry missing after the list source was unavailable": {
			change: func(fixture *fixture) {
				fixture.Lost()
				fixture.Replace(listedServers(2))
				fixture.Regained()
			},
			want: []string{"s1", "s2"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(3))
			test.change(fixture)
			assert.DeepEqual(t, fixture.eligible(test.tried...), test.want)
		})
	}
}

// TestAttemptCountsUntilItEnds guards against load of a request that is missing at its servers,
// or stays after the prefill or the request has ended.
func TestAttemptCountsUntilItEnds(t *testing.T) {
	fixture := newFixture()
	fixture.Replace(listedServers(2))
	request := placement.Request{Tokens: 100_000, Memory: 101_000, InterTokenObjective: time.Second}
	plan := placement.Plan{
		Server: fixture.server(t, "s1"), Helpers: []placement.Server{fixture.server(t, "s2")}, PrefillPerServer: 400 * time.Millisecond,
	}
	activeRequest := fixture.Start(plan, request)
	fixture.advance(100 * time.Millisecond)
	first := fixture.server(t, "s1")
	assert.Equal(t, first.Running, 1)
	assert.Equal(t, first.Backlog, 300*time.Millisecond)
	assert.Equal(t, first.MemoryFree, memoryTokens-101_000)
	assert.Equal(t, first.MinInterTokenObjective, time.Second)
	helper := fixture.server(t, "s2")
	assert.Equal(t, helper.Running, 0)
	assert.Equal(t, helper.Backlog, 300*time.Millisecond)
	activeRequest.FinishPrefill()
	assert.Equal(t, fixture.server(t, "s1").Backlog, time.Duration(0))
	assert.Equal(t, fixture.server(t, "s1").Running, 1)
	assert.Equal(t, fixture.server(t, "s2").Backlog, time.Duration(0))
	activeRequest.Finish()
	activeRequest.Finish()
	assert.Equal(t, fixture.server(t, "s1").Running, 0)
	assert.Equal(t, fixture.server(t, "s1").MemoryFree, memoryTokens)
	assert.Equal(t, len(fixture.OwnReports()), 0)
}

// TestRemoteAttempts guards against counting other VMs' requests wrongly when their reports are
// repeated, delayed or lost.
func TestRemoteAttempts(t *testing.T) {
	report := pool.Report{ID: 7, Server: "s1", PrefillTime: time.Second, Memory: 1000, Packable: true}
	with := func(phase pool.Phase) []pool.Report {
		changed := report
		changed.Phase = phase
		return []pool.Report{changed}
	}
	tests := map[string]struct {
		action      func(fixture *fixture)
		wantRunning int
		wantBacklog time.Duration
	}{
		"prefill": {
			action:      func(fixture *fixture) { fixture.HandleReports("vm-2", with(pool.PhasePrefill)) },
			wantRunning: 1, wantBacklog: time.Second,
		},
		"repeated report": {
			action: func(fixture *fixture) {
				fixture.HandleReports("vm-2", with(pool.PhasePrefill))
				fixture.HandleReports("vm-2", with(pool.PhasePrefill))
			},
			wantRunning: 1, wantBacklog: time.Second,
		},
		"same ID of two VMs": {
			action: func(fixture *fixture) {
				fixture.HandleReports("vm-2", with(pool.PhaseDecode))
				fixture.HandleReports("vm-3", with(pool.PhaseDecode))
			},
			wantRunning: 2,
		},
		"delayed report of an earlier phase": {
			action: func(fixture *fixture) {
				fixture.HandleReports("vm-2", with(pool.PhaseDecode))
				fixture.HandleReports("vm-2", with(pool.PhasePrefill))
			},
			wantRunning: 1,
		},
		"ended": {
			action: func(fixture *fixture) {
				fixture.HandleReports("vm-2", with(pool.PhasePrefill))
				fixture.HandleReports("vm-2", with(pool.PhaseEnded))
			},
		},
		"expired after a lost end report": {
			action: func(fixture *fixture) {
				fixture.HandleReports("vm-2", with(pool.PhaseDecode))
				fixture.advance(2 * time.Second)
			},
		},
		"kept by repeated reports": {
			action: func(fixture *fixture) {
				fixture.HandleReports("vm-2", with(pool.PhaseDecode))
				fixture.advance(time.Second)
				fixture.HandleReports("vm-2", with(pool.PhaseDecode))
				fixture.advance(time.Second)
			},
			wantRunning: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(1))
			test.action(fixture)
			server := fixture.server(t, "s1")
			assert.Equal(t, server.Running, test.wantRunning)
			assert.Equal(t, server.Backlog, test.wantBacklog)
		})
	}
}

// TestOverdueFirstEventsCountAsBacklog guards against a server that seems idle by the known
// requests while unknown ones use its memory, so that it prefills nothing and its first
// events are overdue. All VMs then sent their requests to it.
func TestOverdueFirstEventsCountAsBacklog(t *testing.T) {
	tests := map[string]struct {
		after     time.Duration
		prefilled bool
		want      time.Duration
	}{
		"during the prefill":    {after: 10 * time.Millisecond, want: 20 * time.Millisecond},
		"one pass later":        {after: 130 * time.Millisecond, want: 0},
		"long overdue":          {after: 1039 * time.Millisecond, want: 800 * time.Millisecond},
		"after the first event": {after: 1039 * time.Millisecond, prefilled: true, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(1))
			plan := placement.Plan{Server: fixture.server(t, "s1"), PrefillPerServer: 30 * time.Millisecond, Packable: true}
			activeRequest := fixture.Start(plan, placement.Request{InterTokenObjective: 250 * time.Millisecond})
			fixture.advance(test.after)
			if test.prefilled {
				activeRequest.FinishPrefill()
			}
			assert.Equal(t, fixture.server(t, "s1").Backlog, test.want)
		})
	}
}

// TestFailuresMakeServerSuspect guards against using a failing server, or never trying it again.
func TestFailuresMakeServerSuspect(t *testing.T) {
	fixture := newFixture()
	fixture.Replace(listedServers(1))
	assert.Assert(t, !fixture.RecordFailure("s1"))
	assert.Assert(t, !fixture.server(t, "s1").Suspect)
	assert.Assert(t, fixture.RecordFailure("s1"))
	assert.Assert(t, fixture.server(t, "s1").Suspect)
	fixture.advance(1100 * time.Millisecond)
	assert.Assert(t, !fixture.server(t, "s1").Suspect)
	assert.Assert(t, fixture.RecordFailure("s1"))
	fixture.advance(1100 * time.Millisecond)
	assert.Assert(t, fixture.server(t, "s1").Suspect, "each further failure doubles the time")
	fixture.RecordSuccess("s1", fingerprint.None)
	assert.Assert(t, !fixture.server(t, "s1").Suspect)
}

// TestSlowServerIsSuspect guards against using a server whose events are much slower than those of
// its service's other servers, and against ejecting all if all are slow.
func TestSlowServerIsSuspect(t *testing.T) {
	tests := map[string]struct {
		// slowdown is the observed divided by the expected event interval, by server.
		slowdown map[string]float64
		want     map[string]bool
	}{
		"one is slow":                  {slowdown: map[string]float64{"s1": 4, "s2": 1, "s3": 1}, want: map[string]bool{"s1": true}},
		"all are slow":                 {slowdown: map[string]float64{"s1": 4, "s2": 4, "s3": 4}, want: map[string]bool{}},
		"one is slightly slow":         {slowdown: map[string]float64{"s1": 1.5, "s2": 1, "s3": 1}, want: map[string]bool{}},
		"two are faster than expected": {slowdown: map[string]float64{"s1": 0.2, "s2": 0.2, "s3": 0.5}, want: map[string]bool{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(3))
			for id, slowdown := range test.slowdown {
				activeRequest := fixture.Start(placement.Plan{Server: fixture.server(t, id)}, placement.Request{Engine: engines().Engine})
				activeRequest.FinishPrefill()
				for range 20 {
					activeRequest.RecordEvent()
					fixture.advance(time.Duration(slowdown * float64(73*time.Millisecond)))
				}
				activeRequest.Finish()
				fixture.now = time.Unix(1000, 0).Add(time.Millisecond)
			}
			for id := range test.slowdown {
				assert.Equal(t, fixture.server(t, id).Suspect, test.want[id], id)
			}
			fixture.advance(20 * time.Second)
			for id := range test.slowdown {
				assert.Assert(t, !fixture.server(t, id).Suspect, "%s is tried again", id)
			}
		})
	}
}

// TestRemotePaceReports guards against ignoring the slow events that other VMs observe at a server.
func TestRemotePaceReports(t *testing.T) {
	fixture := newFixture()
	fixture.Replace(listedServers(3))
	for range 30 {
		report := pool.Report{ID: 7, Server: "s1", Phase: pool.PhaseDecode}
		fixture.HandleReports("vm-2", []pool.Report{report})
		report.Phase, report.Pace = pool.PhaseEnded, 5
		fixture.HandleReports("vm-2", []pool.Report{report})
	}
	assert.Assert(t, fixture.server(t, "s1").Suspect)
}

// TestSnapshotHasShortestInterTokenObjectives guards against a server snapshot without the shortest
// inter-token objective of a class: two requests have short objectives, and one has a longer one.
func TestSnapshotHasShortestInterTokenObjectives(t *testing.T) {
	fixture := newFixture()
	fixture.Replace(listedServers(1))
	assert.Equal(t, fixture.server(t, "s1").PackableInterTokenObjective, time.Duration(0))
	start := func(interTokenObjective time.Duration, packable bool) {
		plan := placement.Plan{Server: placement.Server{ID: "s1"}, Packable: packable}
		fixture.Start(plan, placement.Request{InterTokenObjective: interTokenObjective, Memory: 5000})
	}
	start(300*time.Millisecond, true)
	start(120*time.Millisecond, true)
	start(100*time.Millisecond, false)
	view := fixture.server(t, "s1")
	assert.Equal(t, view.PackableInterTokenObjective, 120*time.Millisecond)
	assert.Equal(t, view.OtherInterTokenObjective, 100*time.Millisecond)
	assert.Equal(t, view.MinInterTokenObjective, 100*time.Millisecond)
}
