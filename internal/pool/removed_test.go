package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// TestServerRemovedBeforeAnOutageStaysRemoved guards against servers that left the list while its source was available getting
// requests again in a later outage of the source, which they did if they outnumbered the listed ones and still had requests.
func TestServerRemovedBeforeAnOutageStaysRemoved(t *testing.T) {
	removed := []follower.Change[directory.Entry]{removedEntry("s1"), removedEntry("s2"), removedEntry("s3")}
	all := []string{"s1", "s2", "s3", "s4"}
	for name, test := range map[string]struct {
		then func(fixture *fixture)
		want []string
	}{
		"removed, then an outage": {then: func(fixture *fixture) {
			fixture.Apply(removed)
			fixture.advance(10 * time.Second)
			fixture.Lost()
		}, want: []string{"s4"}},
		"removed, then two outages": {then: func(fixture *fixture) {
			fixture.Apply(removed)
			fixture.advance(10 * time.Second)
			fixture.Lost()
			fixture.Regained()
			fixture.Lost()
		}, want: []string{"s4"}},
		"expired in an outage, then another one": {then: func(fixture *fixture) {
			fixture.Lost()
			fixture.Apply(removed)
			fixture.Regained()
			fixture.advance(10 * time.Second)
			fixture.Lost()
		}, want: []string{"s4"}},
		"removed, then listed again, then expired in an outage": {then: func(fixture *fixture) {
			fixture.Apply(removed)
			fixture.advance(10 * time.Second)
			fixture.Lost()
			fixture.Regained()
			fixture.Apply(listedServers(3))
			fixture.Lost()
			fixture.Apply(removed)
		}, want: all},
		"expired as the outage began, before it was noticed": {then: func(fixture *fixture) {
			fixture.Apply(removed)
			fixture.advance(time.Second)
			fixture.Lost()
		}, want: all},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Replace(listedServers(4))
			for _, server := range fixture.Eligible(engines(), nil) {
				fixture.Start(placement.Plan{Server: server}, placement.Request{})
			}
			test.then(fixture)
			assert.DeepEqual(t, fixture.eligible(), test.want)
		})
	}
}
