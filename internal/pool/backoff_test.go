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

func reportBackoff(id string, duration time.Duration) func(fixture *fixture) {
	return func(fixture *fixture) {
		fixture.HandleReports("vm-2", []pool.Report{{Server: id, Phase: pool.PhaseEnded, Health: pool.HealthBackoff, Backoff: duration}})
	}
}

// TestBackoffIsPerVMAndStart guards against a backoff that applies to the wrong VM, outlasts its
// end, or survives a restart of the server. The backoffs are checked one second after the action.
func TestBackoffIsPerVMAndStart(t *testing.T) {
	for name, test := range map[string]struct {
		action func(fixture *fixture)
		own    []string
		// other has the servers in backoff for another VM.
		other []string
	}{
		"for this VM":              {action: func(fixture *fixture) { fixture.BackOff("s1", 2*time.Second) }, own: []string{"s1"}},
		"for another VM":           {action: reportBackoff("s1", 2*time.Second), other: []string{"s1"}},
		"expired":                  {action: func(fixture *fixture) { fixture.BackOff("s1", time.Second) }},
		"expired for another VM":   {action: reportBackoff("s1", time.Second)},
		"unknown server":           {action: func(fixture *fixture) { fixture.BackOff("s9", time.Minute) }},
		"unknown server, reported": {action: reportBackoff("s9", time.Minute)},
		"shorter backoff after a longer one": {action: func(fixture *fixture) {
			fixture.BackOff("s1", 2*time.Second)
			fixture.BackOff("s1", time.Millisecond)
		}, own: []string{"s1"}},
		"restarted": {action: func(fixture *fixture) {
			fixture.BackOff("s1", time.Minute)
			later := listedEntry("s1")
			later.Value.ID, later.Value.Started = "s1#later", fixture.now
			fixture.Apply([]follower.Change[directory.Entry]{later})
		}},
		"list reloaded": {action: func(fixture *fixture) {
			fixture.BackOff("s1", time.Minute)
			fixture.Replace(listedServers(2))
		}, own: []string{"s1"}},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(2))
			test.action(fixture)
			fixture.advance(time.Second)
			assert.DeepEqual(t, fixture.BackoffServers("vm-1"), test.own)
			assert.DeepEqual(t, fixture.BackoffServers("vm-2"), test.other)
			_, unavailable := fixture.Find("engines", nil, []string{"s1", "s2"})
			assert.Equal(t, slices.Contains(unavailable, "s1"), slices.Contains(test.own, "s1") || slices.Contains(fixture.eligible(), "s1#later"))
		})
	}
}

// TestBackoffIsPublishedAgain guards against a coordinator that assigns a server in backoff again
// and again, as it missed the report: the backoff is published again when such a server is looked
// up.
func TestBackoffIsPublishedAgain(t *testing.T) {
	fixture := newFixture()
	fixture.Replace(listedServers(2))
	fixture.BackOff("s1", 3*time.Second)
	fixture.advance(time.Second)
	fixture.Find("engines", nil, []string{"s1"})
	first := pool.Report{Server: "s1", Phase: pool.PhaseEnded, Health: pool.HealthBackoff, Backoff: 3 * time.Second}
	repeated := first
	repeated.Backoff = 2 * time.Second
	assert.DeepEqual(t, fixture.publisher.reports, []pool.Report{first, repeated})
}

// TestBackoffsAgainstOracle compares the servers in backoff with a plain list of all drawn
// backoffs.
func TestBackoffsAgainstOracle(t *testing.T) {
	type backoff struct {
		server string
		until  time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		fixture := newFixture()
		fixture.Replace(listedServers(4))
		var all []backoff
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := fmt.Sprintf("s%d", rapid.IntRange(1, 4).Draw(t, "server"))
			duration := time.Duration(rapid.IntRange(0, 5000).Draw(t, "long")) * time.Millisecond
			fixture.BackOff(id, duration)
			all = append(all, backoff{server: id, until: fixture.now.Add(duration)})
			fixture.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passes")) * time.Millisecond)
			latest := make(map[string]time.Time)
			for _, backoff := range all {
				if backoff.until.After(fixture.now) && backoff.until.After(latest[backoff.server]) {
					latest[backoff.server] = backoff.until
				}
			}
			assert.Equal(t, len(fixture.BackoffServers("vm-1")), len(latest))
			end, allInBackoff := fixture.BackoffEnd(engines(), nil)
			assert.Equal(t, allInBackoff, len(latest) == 4)
			for _, until := range latest {
				assert.Assert(t, !allInBackoff || !until.Before(end))
			}
		}
	})
}
