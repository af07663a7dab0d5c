package pool_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// TestDrainingServerStaysExcluded guards against using a draining server again after an older list
// entry, a list without its draining, or a success reported by another VM. Only a later start of
// the server accepts requests.
func TestDrainingServerStaysExcluded(t *testing.T) {
	later := listedEntry("s1")
	later.Value.ID = "s1#later"
	later.Value.Started = later.Value.Started.AddDate(1, 0, 0)
	for name, test := range map[string]struct {
		action func(fixture *fixture)
		want   []string
	}{
		"no action":           {action: func(*fixture) {}, want: []string{"s2"}},
		"entry written again": {action: func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{listedEntry("s1")}) }, want: []string{"s2"}},
		"list reloaded":       {action: func(fixture *fixture) { fixture.Replace(listedServers(2)) }, want: []string{"s2"}},
		"list source unavailable for a while": {action: func(fixture *fixture) {
			fixture.Lost()
			fixture.Replace(listedServers(2))
			fixture.Regained()
		}, want: []string{"s2"}},
		"success reported by another VM": {action: func(fixture *fixture) {
			fixture.HandleReports("vm-2", []pool.Report{{Server: "s1", Phase: pool.PhaseEnded, Health: pool.HealthSucceeded}})
		}, want: []string{"s2"}},
		"restarted": {action: func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{later}) }, want: []string{"s1#later", "s2"}},
	} {
		for source, markDraining := range map[string]func(fixture *fixture){
			"by this VM": func(fixture *fixture) { fixture.MarkDraining("s1") },
			"by another VM": func(fixture *fixture) {
				fixture.HandleReports("vm-2", []pool.Report{{Server: "s1", Phase: pool.PhaseEnded, Health: pool.HealthDraining}})
			},
		} {
			t.Run(name+", reported "+source, func(t *testing.T) {
				fixture := newFixture()
				fixture.Replace(listedServers(2))
				markDraining(fixture)
				test.action(fixture)
				assert.DeepEqual(t, fixture.eligible(), test.want)
			})
		}
	}
}

// TestDrainingIsPublishedOnce guards against a report for each response of a draining server, as
// every one of them announces the draining.
func TestDrainingIsPublishedOnce(t *testing.T) {
	fixture := newFixture()
	fixture.Replace(listedServers(2))
	for range 5 {
		fixture.MarkDraining("s1")
	}
	fixture.MarkDraining("unknown")
	assert.DeepEqual(t, fixture.publisher.reports, []pool.Report{{Server: "s1", Phase: pool.PhaseEnded, Health: pool.HealthDraining}})
}
