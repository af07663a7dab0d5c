package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBadEntryNamesNoServer has another writer spoil the entry of one of two servers: it gets nothing until the
// entry is good again. The value before the bad one stayed in force.
func TestBadEntryNamesNoServer(t *testing.T) {
	servers := map[string]backend{"one": answers(http.StatusOK, "one"), "two": answers(http.StatusOK, "two")}
	inWorld(t, nil, servers, func(world *world) {
		world.store.Put("keyed.servers", "plain-one", []byte(`{"service": "plain", "address": 7}`))
		time.Sleep(knownTimeOfEntries)
		for range 10 {
			got := world.ask(plain(http.MethodGet, "look"))
			assert.Equal(t, got.body, "two")
		}
		world.store.Put("keyed.servers", "plain-two", []byte("\x00\x01"))
		time.Sleep(knownTimeOfEntries)
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusServiceUnavailable)
	})
}
