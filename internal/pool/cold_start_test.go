package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
)

// coldEntry returns the entry of server s1 with two more seconds of cold start.
func coldEntry() follower.Change[directory.Entry] {
	change := listedEntry("s1")
	change.Value.ColdRemaining = 2 * time.Second
	return change
}

// TestColdServerIsLimited guards against overloading a cold server, and against limiting it after
// its cold start. The server is cold for two seconds, accepts one request per second meanwhile, and
// has just been assigned one. Half a second after the action it is eligible only if the action
// ended the cold start or the limit.
func TestColdServerIsLimited(t *testing.T) {
	for name, test := range map[string]struct {
		action func(fixture *fixture)
		// eligible is set if the server accepts a request.
		eligible bool
	}{
		"no action": {action: func(*fixture) {}},
		"cold start over": {action: func(fixture *fixture) {
			fixture.advance(1600 * time.Millisecond)
			assignWithID(fixture, 200)
		}, eligible: true},
		"list reloaded": {action: func(fixture *fixture) {
			fixture.Replace([]follower.Change[directory.Entry]{coldEntry(), listedEntry("s2")})
		}},
		"list reloaded with the same entry after the cold start": {action: func(fixture *fixture) {
			fixture.advance(1600 * time.Millisecond)
			fixture.Replace([]follower.Change[directory.Entry]{coldEntry(), listedEntry("s2")})
			assignWithID(fixture, 200)
		}, eligible: true},
		"entry without a cold start": {action: func(fixture *fixture) { fixture.Apply([]follower.Change[directory.Entry]{listedEntry("s1")}) }, eligible: true},
		"entry written again with a cold start": {action: func(fixture *fixture) {
			fixture.advance(1600 * time.Millisecond)
			fixture.Apply([]follower.Change[directory.Entry]{coldEntry()})
			assignWithID(fixture, 200)
		}},
		"restarted without a cold start": {action: func(fixture *fixture) {
			later := listedEntry("s1")
			later.Value.ID, later.Value.Started = "s1#later", fixture.now
			fixture.Apply([]follower.Change[directory.Entry]{later})
		}, eligible: true},
		"no limit configured for cold servers": {action: func(fixture *fixture) { fixture.Configure(nil) }, eligible: true},
		"assigned request withdrawn":           {action: func(fixture *fixture) { fixture.Withdraw("vm-2", 100) }, eligible: true},
		"lower rate limit advertised too": {action: func(fixture *fixture) {
			fixture.RecordRateLimit("s1", 0.5)
			fixture.advance(1100 * time.Millisecond)
			assignWithID(fixture, 200)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture()
			fixture.Configure([]catalog.Service{{Name: "engines", ColdPerSecond: 1}, {Name: "plain"}})
			fixture.Replace([]follower.Change[directory.Entry]{coldEntry(), listedEntry("s2")})
			assign(fixture)
			test.action(fixture)
			fixture.advance(500 * time.Millisecond)
			want := []string{"s2"}
			if test.eligible {
				want = []string{fixture.currentID("s1"), "s2"}
			}
			assert.DeepEqual(t, fixture.eligible(), want)
		})
	}
}
