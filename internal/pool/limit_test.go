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

// rateLimitReport is the report of a rate limit that was received the given time ago.
func rateLimitReport(age time.Duration) pool.Report {
	return pool.Report{Server: "s1", Phase: pool.PhaseEnded, Health: pool.HealthRateLimited, PerSecond: 2, Age: age}
}

// noRateLimitReport is the report of a response without a limit, requested the given time ago.
func noRateLimitReport(age time.Duration) pool.Report {
	return pool.Report{Server: "s1", Phase: pool.PhaseEnded, Health: pool.HealthNoRateLimit, Age: age}
}

// attemptReport is the report of another VM's request at server s1, sent the given time ago.
func attemptReport(number uint64, age time.Duration) pool.Report {
	return pool.Report{ID: number, Server: "s1", Phase: pool.PhasePrefill, Age: age}
}

// TestRateLimitCountsAllVMs guards against exceeding a server's limit by requests of other VMs. The
// limit is one request per second. The server is eligible as long as the requests of all VMs
// together are within it.
func TestRateLimitCountsAllVMs(t *testing.T) {
	for name, test := range map[string]struct {
		action func(fixture *fixture)
		// eligible is set if the server accepts a request half a second later.
		eligible bool
	}{
		"no request": {action: func(*fixture) {}, eligible: true},
		"request of this VM": {action: func(fixture *fixture) {
			fixture.Start(placement.Plan{Server: placement.Server{ID: "s1"}}, placement.Request{})
		}},
		"prefill for another server": {action: func(fixture *fixture) {
			fixture.Start(placement.Plan{
				Server: placement.Server{ID: "s2"}, Helpers: []placement.Server{{ID: "s1"}},
			}, placement.Request{})
		}},
		"request of another VM":       {action: func(fixture *fixture) { fixture.HandleReports("vm-2", []pool.Report{attemptReport(1, 0)}) }},
		"old request":                 {action: func(fixture *fixture) { fixture.HandleReports("vm-2", []pool.Report{attemptReport(1, 3*time.Second)}) }, eligible: true},
		"request assigned by this VM": {action: assign},
		"request assigned by this VM and reported": {action: func(fixture *fixture) {
			assign(fixture)
			fixture.HandleReports("vm-2", []pool.Report{attemptReport(101, 0)})
		}},
		"assigned request withdrawn": {action: func(fixture *fixture) {
			assign(fixture)
			fixture.Withdraw("vm-2", 100)
		}, eligible: true},
		"restarted": {action: func(fixture *fixture) {
			assign(fixture)
			later := listedEntry("s1")
			later.Value.ID, later.Value.Started = "s1#later", fixture.now
			fixture.Apply([]follower.Change[directory.Entry]{later})
		}, eligible: true},
		"list reloaded": {action: func(fixture *fixture) {
			assign(fixture)
			fixture.Replace(listedServers(2))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(2))
			fixture.RecordRateLimit("s1", 1)
			test.action(fixture)
			fixture.advance(500 * time.Millisecond)
			want := []string{"s2"}
			if test.eligible {
				want = []string{fixture.currentID("s1"), "s2"}
			}
			assert.DeepEqual(t, fixture.eligible(), want)
			fixture.advance(600 * time.Millisecond)
			assert.DeepEqual(t, fixture.eligible(), []string{fixture.currentID("s1"), "s2"})
		})
	}
}

// assign assigns server s1 to a request of another VM.
func assign(fixture *fixture) {
	assignWithID(fixture, 100)
}

func assignWithID(fixture *fixture, id uint64) {
	fixture.Assign("vm-2", id, placement.Plan{Server: placement.Server{ID: "s1"}}, placement.Request{})
}

// currentID returns the ID of the server's later start if that is eligible, else the given ID.
func (fixture *fixture) currentID(id string) string {
	for _, eligible := range fixture.eligible() {
		if eligible == id+"#later" {
			return eligible
		}
	}
	return id
}

// TestRateLimitReports guards against rate limits that other VMs miss or get reported forever: a
// change is published at once, recent limits are repeated, and a coordinator repeats all limits in
// force.
func TestRateLimitReports(t *testing.T) {
	advertised := rateLimitReport(0)
	for name, test := range map[string]struct {
		action func(fixture *fixture)
		// published has the reports sent at once, own those repeated later, and all those repeated
		// by a coordinator.
		published, own, all []pool.Report
	}{
		"no action":                {action: func(*fixture) {}},
		"unknown server":           {action: func(fixture *fixture) { fixture.RecordRateLimit("s9", 2) }},
		"response without a limit": {action: func(fixture *fixture) { fixture.RecordNoRateLimit("s1", fixture.now) }},
		"advertised": {
			action:    func(fixture *fixture) { fixture.RecordRateLimit("s1", 2) },
			published: []pool.Report{advertised}, own: []pool.Report{rateLimitReport(time.Second)}, all: []pool.Report{rateLimitReport(time.Second)},
		},
		"advertised again": {
			action: func(fixture *fixture) {
				fixture.RecordRateLimit("s1", 2)
				fixture.advance(time.Minute)
				fixture.RecordRateLimit("s1", 2)
			},
			published: []pool.Report{advertised}, own: []pool.Report{rateLimitReport(time.Second)}, all: []pool.Report{rateLimitReport(time.Second)},
		},
		"advertised long ago": {
			action: func(fixture *fixture) {
				fixture.RecordRateLimit("s1", 2)
				fixture.advance(time.Minute)
			},
			published: []pool.Report{advertised}, all: []pool.Report{rateLimitReport(61 * time.Second)},
		},
		"lifted": {
			action: func(fixture *fixture) {
				fixture.RecordRateLimit("s1", 2)
				fixture.advance(time.Second)
				fixture.RecordNoRateLimit("s1", fixture.now)
				fixture.RecordNoRateLimit("s1", fixture.now)
			},
			published: []pool.Report{advertised, noRateLimitReport(0)},
			own:       []pool.Report{noRateLimitReport(time.Second)}, all: []pool.Report{noRateLimitReport(time.Second)},
		},
		"response to a request sent before the limit was received": {
			action: func(fixture *fixture) {
				fixture.RecordRateLimit("s1", 2)
				fixture.RecordNoRateLimit("s1", fixture.now)
			},
			published: []pool.Report{advertised}, own: []pool.Report{rateLimitReport(time.Second)}, all: []pool.Report{rateLimitReport(time.Second)},
		},
		"reported by another VM": {
			action: func(fixture *fixture) { fixture.HandleReports("vm-2", []pool.Report{advertised}) },
			own:    []pool.Report{rateLimitReport(time.Second)}, all: []pool.Report{rateLimitReport(time.Second)},
		},
		"report repeated shortly after": {
			action: func(fixture *fixture) {
				fixture.HandleReports("vm-2", []pool.Report{advertised})
				fixture.advance(50 * time.Millisecond)
				fixture.HandleReports("vm-2", []pool.Report{advertised})
			},
			own: []pool.Report{rateLimitReport(1050 * time.Millisecond)}, all: []pool.Report{rateLimitReport(1050 * time.Millisecond)},
		},
		"only the coordinator has the limit": {
			action: func(fixture *fixture) {
				fixture.WatchRateLimit("s1")
				fixture.RecordNoRateLimit("s1", fixture.now)
				fixture.RecordNoRateLimit("s1", fixture.now)
			},
			published: []pool.Report{noRateLimitReport(0)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(2))
			test.action(fixture)
			assert.DeepEqual(t, fixture.publisher.reports, test.published)
			fixture.advance(time.Second)
			assert.DeepEqual(t, fixture.OwnLimitReports(false), test.own)
			assert.DeepEqual(t, fixture.OwnLimitReports(true), test.all)
		})
	}
}

// TestConcurrentPlansShareRateLimit guards against exceeding a limit by requests that are planned
// concurrently: each plan sees the same remaining capacity, and only one may start.
func TestConcurrentPlansShareRateLimit(t *testing.T) {
	fixture := newFixture()
	fixture.Replace(listedServers(1))
	fixture.RecordRateLimit("s1", 1)
	plan := placement.Plan{Server: fixture.server(t, "s1")}
	_, first := fixture.StartWithinLimits(plan, placement.Request{})
	_, second := fixture.StartWithinLimits(plan, placement.Request{})
	assert.Assert(t, first && !second)
	fixture.advance(1100 * time.Millisecond)
	_, third := fixture.StartWithinLimits(plan, placement.Request{})
	assert.Assert(t, third)
}

// TestRateLimitWithOtherStates guards against a state of a server that hides its rate limit, or the
// other way round: server s1 has both, and the accepted rate is the sum over the usable servers.
func TestRateLimitWithOtherStates(t *testing.T) {
	for name, test := range map[string]struct {
		action   func(fixture *fixture)
		eligible []string
		// acceptedRate is the accepted requests per second of all servers, or zero for no limit.
		acceptedRate float64
	}{
		"no other state":                  {action: func(*fixture) {}, eligible: []string{"s1", "s2"}, acceptedRate: 5},
		"in backoff for this VM":          {action: func(fixture *fixture) { fixture.BackOff("s1", time.Minute) }, eligible: []string{"s1", "s2"}, acceptedRate: 3},
		"in backoff for another VM":       {action: reportBackoff("s1", time.Minute), eligible: []string{"s1", "s2"}, acceptedRate: 5},
		"both servers in backoff":         {action: func(fixture *fixture) { fixture.BackOff("s1", time.Minute); fixture.BackOff("s2", time.Minute) }, eligible: []string{"s1", "s2"}},
		"draining reported in a response": {action: func(fixture *fixture) { fixture.MarkDraining("s1") }, eligible: []string{"s2"}, acceptedRate: 3},
		"draining by its entry":           {action: func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{drainingEntry()}) }, eligible: []string{"s2"}, acceptedRate: 3},
		"address of another server":       {action: func(fixture *fixture) { fixture.MarkClosed("s1") }, eligible: []string{"s2"}, acceptedRate: 3},
		"limit of the other server lifted": {action: func(fixture *fixture) {
			fixture.advance(time.Millisecond)
			fixture.RecordNoRateLimit("s2", fixture.now)
			fixture.advance(3 * time.Second)
		}, eligible: []string{"s1", "s2"}},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(2))
			fixture.RecordRateLimit("s1", 2)
			fixture.RecordRateLimit("s2", 3)
			test.action(fixture)
			assert.DeepEqual(t, fixture.eligible(), test.eligible)
			perSecond, limited := fixture.AcceptedRate("engines", nil, "vm-1")
			assert.Equal(t, perSecond, test.acceptedRate)
			assert.Equal(t, limited, test.acceptedRate > 0)
		})
	}
}
