package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// TestStatus guards against states of a server that are missing from the operator's view or wrong
// in it, one second after each action.
func TestStatus(t *testing.T) {
	for name, test := range map[string]struct {
		action func(fixture *fixture)
		want   func(status *pool.ServerStatus)
	}{
		"no action":                       {action: func(*fixture) {}, want: func(*pool.ServerStatus) {}},
		"draining reported in a response": {action: func(fixture *fixture) { fixture.MarkDraining("s1") }, want: func(status *pool.ServerStatus) { status.DrainingReportedBy = "vm-1" }},
		"draining reported by another VM": {action: reportDraining, want: func(status *pool.ServerStatus) { status.DrainingReportedBy = "vm-2" }},
		"draining by its entry": {
			action: func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{drainingEntry()}) },
			want:   func(status *pool.ServerStatus) { status.DrainingReportedBy = "list" },
		},
		"draining reported by another VM, then by its entry": {action: func(fixture *fixture) {
			reportDraining(fixture)
			fixture.Apply([]follower.Change[directory.Entry]{drainingEntry()})
		}, want: func(status *pool.ServerStatus) { status.DrainingReportedBy = "vm-2" }},
		"in backoff": {action: func(fixture *fixture) {
			fixture.BackOff("s1", 3*time.Second)
			reportBackoff("s1", 2*time.Second)(fixture)
		}, want: func(status *pool.ServerStatus) {
			status.Backoffs = []pool.BackoffStatus{{VM: "vm-1", Seconds: 2}, {VM: "vm-2", Seconds: 1}}
		}},
		"rate limit advertised": {action: func(fixture *fixture) { fixture.RecordRateLimit("s1", 2) }, want: func(status *pool.ServerStatus) {
			status.Limit = &pool.LimitStatus{PerSecond: 2, AdvertisedSeconds: 1, Available: 1.5}
		}},
		"rate limit lifted": {action: func(fixture *fixture) {
			fixture.RecordRateLimit("s1", 2)
			fixture.advance(time.Second)
			fixture.RecordNoRateLimit("s1", fixture.now)
		}, want: func(status *pool.ServerStatus) {
			status.Limit = &pool.LimitStatus{PerSecond: 2, AdvertisedSeconds: 1, Lifted: true, Available: 17}
		}},
		"address of another server": {
			action: func(fixture *fixture) { fixture.MarkClosed("s1") },
			want:   func(status *pool.ServerStatus) { status.Listing = pool.ListingClosed },
		},
		"invalid entry": {
			action: func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{{Key: "s1", Invalid: true}}) },
			want:   func(status *pool.ServerStatus) { status.Listing = pool.ListingInvalid },
		},
		"missing from the list": {action: func(fixture *fixture) {
			fixture.Lost()
			fixture.Replace(nil)
		}, want: func(status *pool.ServerStatus) { status.Listing = pool.ListingMissing }},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(1))
			test.action(fixture)
			fixture.advance(time.Second)
			want := pool.ServerStatus{
				ID: "s1", Service: "engines", Address: "127.0.0.1:1", DataCentre: "north", Listing: pool.ListingListed,
			}
			test.want(&want)
			assert.DeepEqual(t, fixture.Status(), []pool.ServerStatus{want})
		})
	}
}

func reportDraining(fixture *fixture) {
	fixture.HandleReports("vm-2", []pool.Report{{Server: "s1", Phase: pool.PhaseEnded, Health: pool.HealthDraining}})
}
