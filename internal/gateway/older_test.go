package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoreComesBackOlder: the store comes back from a copy, so what was written since is gone and offsets are given
// out again. What the VM knows holds until the others have written again.
func TestStoreComesBackOlder(t *testing.T) {
	open := plain(http.MethodGet, "open").with("Authorization", "")
	served := func(world *world, caller caller, long time.Duration) {
		world.t.Helper()
		for _, got := range world.askFor(caller, 50*time.Millisecond, long) {
			assert.Equal(world.t, got.status, http.StatusOK, got.body)
		}
	}
	for name, test := range map[string]func(world *world){
		"a record before the offset that was given out again": func(world *world) {
			older := world.store.Copy()
			world.relist("plain-one")
			time.Sleep(time.Second)
			world.store.Return(older)
			world.relist("plain-late")
			world.relist("plain-one")
			time.Sleep(3 * time.Second)
			before := len(world.reached("plain-late"))
			served(world, open, 2*time.Second)
			assert.Assert(world.t, len(world.reached("plain-late")) > before)
		},
		"servers that are not written again yet": func(world *world) {
			older := world.store.Copy()
			world.relist("plain-late")
			time.Sleep(time.Second)
			world.drop("plain-one")
			world.drop("plain-two")
			time.Sleep(time.Second)
			world.store.Return(older)
			world.drop("plain-one") // these two left before
			world.drop("plain-two")
			served(world, open, 1500*time.Millisecond)
			world.relist("plain-late")
			served(world, open, 6*time.Second)
		},
		"a server that had gone": func(world *world) {
			world.relist("plain-late")
			time.Sleep(time.Second)
			older := world.store.Copy()
			world.drop("plain-one")
			time.Sleep(time.Second)
			before := len(world.reached("plain-one"))
			world.store.Return(older)
			time.AfterFunc(3*time.Second, func() { world.drop("plain-one") }) // its entry lapses
			served(world, open, 6*time.Second)
			assert.Equal(world.t, len(world.reached("plain-one")), before)
		},
		"a server that left": func(world *world) {
			world.relist("plain-late")
			time.Sleep(time.Second)
			older := world.store.Copy()
			world.list("plain-one", "plain", world.addresses["plain-one"], "draining")
			time.Sleep(time.Second)
			before := len(world.reached("plain-one"))
			world.store.Return(older)
			served(world, open, 6*time.Second)
			assert.Equal(world.t, len(world.reached("plain-one")), before)
		},
		"a key that was removed": func(world *world) {
			older := world.store.Copy()
			world.configure(2, withoutKeys)
			time.Sleep(time.Second)
			world.store.Return(older)
			time.AfterFunc(time.Second, func() { world.configure(2, withoutKeys) })
			for _, got := range world.askFor(plain(http.MethodGet, "look"), 50*time.Millisecond, 6*time.Second) {
				assert.Assert(world.t, got.status != http.StatusOK)
			}
		},
		"a configuration that is not written again proves nothing": func(world *world) {
			older := world.store.Copy()
			world.configure(2, nil)
			time.Sleep(time.Second)
			world.store.Return(older)
			time.Sleep(5 * time.Second)
			for _, got := range world.askFor(plain(http.MethodGet, "look"), 50*time.Millisecond, time.Second) {
				assert.Assert(world.t, got.status == http.StatusServiceUnavailable, got.status)
			}
			world.configure(2, nil)
			time.Sleep(200 * time.Millisecond)
			served(world, plain(http.MethodGet, "look"), time.Second)
		},
		"the VM's own entry": func(world *world) {
			entered := world.store.Keys("keyed.members")
			assert.Equal(world.t, len(entered), 1)
			world.store.Return(world.beforeStart)
			assert.Equal(world.t, len(world.store.Keys("keyed.members")), 0)
			time.Sleep(15 * time.Second)
			assert.DeepEqual(world.t, world.store.Keys("keyed.members"), entered)
		},
		"twice in a row": func(world *world) {
			older := world.store.Copy()
			for range 2 {
				world.relist("plain-late")
				time.Sleep(500 * time.Millisecond)
				world.store.Return(older)
				served(world, open, 300*time.Millisecond)
			}
			world.relist("plain-late")
			time.Sleep(3 * time.Second)
			before := len(world.reached("plain-late"))
			served(world, open, 6*time.Second)
			assert.Assert(world.t, len(world.reached("plain-late")) > before)
		},
	} {
		t.Run(name, func(t *testing.T) {
			fine := takes(100*time.Millisecond, answers(http.StatusOK, "fine"))
			inWorld(t, nil, map[string]backend{"one": fine, "two": fine, "late": fine}, func(world *world) {
				world.drop("plain-late")
				time.Sleep(4 * time.Second)
				assert.Assert(t, !slices.Contains(world.store.Keys("keyed.servers"), "plain-late"))
				test(world)
			})
		})
	}
}

// withoutKeys removes the key of the callers from a configuration.
func withoutKeys(configuration map[string]any) {
	configuration["tenants"] = []any{map[string]any{"name": "register", "api_keys": []string{"another"}}}
}

// relist writes the entry of a plain server again.
func (world *world) relist(id string) {
	world.list(id, "plain", world.addresses[id], "ready")
}

// drop lets a server's entry go.
func (world *world) drop(id string) {
	world.store.Put("keyed.servers", id, nil)
}
