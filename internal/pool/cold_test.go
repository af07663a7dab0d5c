package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
)

// coldListed is the entry of the first server while it is cold for two seconds more.
func coldListed() follower.Change[directory.Entry] {
	change := listed("s1")
	change.Value.ColdLeft = 2 * time.Second
	return change
}

// TestColdServer has a server that is cold for two seconds and bears a request a second, of which it gets one. Half a second
// later it takes another one only if it is warm by what was heard.
func TestColdServer(t *testing.T) {
	for name, test := range map[string]struct {
		then func(world *world)
		// open says that the server takes a request.
		open bool
	}{
		"nothing more": {then: func(*world) {}},
		"its time is over": {then: func(world *world) {
			world.pass(1600 * time.Millisecond)
			assignAs(world, 200)
		}, open: true},
		"the list is read anew": {then: func(world *world) {
			world.Replace([]follower.Change[directory.Entry]{coldListed(), listed("s2")})
		}},
		"its entry, read anew, does not make it cold again": {then: func(world *world) {
			world.pass(1600 * time.Millisecond)
			world.Replace([]follower.Change[directory.Entry]{coldListed(), listed("s2")})
			assignAs(world, 200)
		}, open: true},
		"it is warm": {then: func(world *world) { world.Apply([]follower.Change[directory.Entry]{listed("s1")}) }, open: true},
		"it is cold again": {then: func(world *world) {
			world.pass(1600 * time.Millisecond)
			world.Apply([]follower.Change[directory.Entry]{coldListed()})
			assignAs(world, 200)
		}},
		"a later start of it is warm": {then: func(world *world) {
			later := listed("s1")
			later.Value.ID, later.Value.Started = "s1#later", world.now
			world.Apply([]follower.Change[directory.Entry]{later})
		}, open: true},
		"cold servers take as many as ever": {then: func(world *world) { world.Configure(nil) }, open: true},
		"the request is given up":           {then: func(world *world) { world.Withdraw("vm-2", 100) }, open: true},
		"it names a smaller limit too": {then: func(world *world) {
			world.Limits("s1", 0.5)
			world.pass(1100 * time.Millisecond)
			assignAs(world, 200)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			world.Configure([]catalog.Service{{Name: "engines", ColdPerSecond: 1}, {Name: "plain"}})
			world.Replace([]follower.Change[directory.Entry]{coldListed(), listed("s2")})
			assign(world)
			test.then(world)
			world.pass(500 * time.Millisecond)
			want := []string{"s2"}
			if test.open {
				want = []string{world.listedNow("s1"), "s2"}
			}
			assert.DeepEqual(t, world.open(), want)
		})
	}
}
