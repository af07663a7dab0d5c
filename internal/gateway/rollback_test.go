package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoreRollback has a store that is restored from a copy: later writes are lost and their offsets are used again. What the
// VM has read before must stay in force until the writers have written it again.
func TestStoreRollback(t *testing.T) {
	open := plainRequest(http.MethodGet, "open").with("Authorization", "")
	assertAllServed := func(harness *harness, callerRequest callerRequest, duration time.Duration) {
		harness.t.Helper()
		for _, got := range harness.queryEvery(callerRequest, 50*time.Millisecond, duration) {
			assert.Equal(harness.t, got.status, http.StatusOK, got.body)
		}
	}
	for name, test := range map[string]func(harness *harness){
		"record before a reused offset": func(harness *harness) {
			snapshot := harness.store.Snapshot()
			harness.putReady("plain-one")
			time.Sleep(time.Second)
			harness.store.Restore(snapshot)
			harness.putReady("plain-late")
			harness.putReady("plain-one")
			time.Sleep(3 * time.Second)
			before := len(harness.arrivals("plain-late"))
			assertAllServed(harness, open, 2*time.Second)
			assert.Assert(harness.t, len(harness.arrivals("plain-late")) > before)
		},
		"entries of servers not written again yet": func(harness *harness) {
			snapshot := harness.store.Snapshot()
			harness.putReady("plain-late")
			time.Sleep(time.Second)
			harness.deleteEntry("plain-one")
			harness.deleteEntry("plain-two")
			time.Sleep(time.Second)
			harness.store.Restore(snapshot)
			harness.deleteEntry("plain-one") // these two had left before the rollback
			harness.deleteEntry("plain-two")
			assertAllServed(harness, open, 1500*time.Millisecond)
			harness.putReady("plain-late")
			assertAllServed(harness, open, 6*time.Second)
		},
		"server whose entry was deleted": func(harness *harness) {
			harness.putReady("plain-late")
			time.Sleep(time.Second)
			snapshot := harness.store.Snapshot()
			harness.deleteEntry("plain-one")
			time.Sleep(time.Second)
			before := len(harness.arrivals("plain-one"))
			harness.store.Restore(snapshot)
			time.AfterFunc(3*time.Second, func() { harness.deleteEntry("plain-one") }) // its entry expires
			assertAllServed(harness, open, 6*time.Second)
			assert.Equal(harness.t, len(harness.arrivals("plain-one")), before)
		},
		"server that drains": func(harness *harness) {
			harness.putReady("plain-late")
			time.Sleep(time.Second)
			snapshot := harness.store.Snapshot()
			harness.putServer("plain-one", "plain", harness.addresses["plain-one"], "draining")
			time.Sleep(time.Second)
			before := len(harness.arrivals("plain-one"))
			harness.store.Restore(snapshot)
			assertAllServed(harness, open, 6*time.Second)
			assert.Equal(harness.t, len(harness.arrivals("plain-one")), before)
		},
		"revoked key": func(harness *harness) {
			snapshot := harness.store.Snapshot()
			harness.configure(2, revokeKey)
			time.Sleep(time.Second)
			harness.store.Restore(snapshot)
			time.AfterFunc(time.Second, func() { harness.configure(2, revokeKey) })
			for _, got := range harness.queryEvery(plainRequest(http.MethodGet, "look"), 50*time.Millisecond, 6*time.Second) {
				assert.Assert(harness.t, got.status != http.StatusOK)
			}
		},
		"keys are refused until the configuration is written again": func(harness *harness) {
			snapshot := harness.store.Snapshot()
			harness.configure(2, nil)
			time.Sleep(time.Second)
			harness.store.Restore(snapshot)
			time.Sleep(5 * time.Second)
			for _, got := range harness.queryEvery(plainRequest(http.MethodGet, "look"), 50*time.Millisecond, time.Second) {
				assert.Assert(harness.t, got.status == http.StatusServiceUnavailable, got.status)
			}
			harness.configure(2, nil)
			time.Sleep(200 * time.Millisecond)
			assertAllServed(harness, plainRequest(http.MethodGet, "look"), time.Second)
		},
		"entry of the VM itself": func(harness *harness) {
			members := harness.store.Keys("keyed.members")
			assert.Equal(harness.t, len(members), 1)
			harness.store.Restore(harness.beforeStart)
			assert.Equal(harness.t, len(harness.store.Keys("keyed.members")), 0)
			time.Sleep(15 * time.Second)
			assert.DeepEqual(harness.t, harness.store.Keys("keyed.members"), members)
		},
		"two rollbacks in a row": func(harness *harness) {
			snapshot := harness.store.Snapshot()
			for range 2 {
				harness.putReady("plain-late")
				time.Sleep(500 * time.Millisecond)
				harness.store.Restore(snapshot)
				assertAllServed(harness, open, 300*time.Millisecond)
			}
			harness.putReady("plain-late")
			time.Sleep(3 * time.Second)
			before := len(harness.arrivals("plain-late"))
			assertAllServed(harness, open, 6*time.Second)
			assert.Assert(harness.t, len(harness.arrivals("plain-late")) > before)
		},
	} {
		t.Run(name, func(t *testing.T) {
			fine := delayed(100*time.Millisecond, responses(http.StatusOK, "fine"))
			withHarness(t, nil, map[string]backend{"one": fine, "two": fine, "late": fine}, func(harness *harness) {
				harness.deleteEntry("plain-late")
				time.Sleep(4 * time.Second)
				assert.Assert(t, !slices.Contains(harness.store.Keys("keyed.servers"), "plain-late"))
				test(harness)
			})
		})
	}
}

// revokeKey removes the API key of the test callers from a configuration.
func revokeKey(configuration map[string]any) {
	configuration["tenants"] = []any{map[string]any{"name": "register", "api_keys": []string{"another"}}}
}

// putReady writes the entry of a plain server as ready.
func (harness *harness) putReady(id string) {
	harness.putServer(id, "plain", harness.addresses[id], "ready")
}

// deleteEntry deletes the entry of a server.
func (harness *harness) deleteEntry(id string) {
	harness.store.Put("keyed.servers", id, nil)
}
