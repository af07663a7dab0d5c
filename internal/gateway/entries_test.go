package gateway_test

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// knownTimeOfEntries is until when a VM knows of a changed entry.
const knownTimeOfEntries = 1500 * time.Millisecond

// putEntry writes an entry of a plain server with fields of its own.
func (world *world) putEntry(id, address string, fields map[string]any) {
	entry := map[string]any{
		"service": "plain", "address": address, "zone": "north", "version": "v1", "slots": 16, "state": "ready",
		"cold_left_ms": 0, "call_seq": 0,
	}
	maps.Copy(entry, fields)
	world.listWith(id, entry)
	time.Sleep(knownTimeOfEntries)
}

// TestServerThatStartsAgainUnderItsID has a server that leaves, and is there again under its ID with a later
// start. It got nothing any more, since it had been leaving once.
func TestServerThatStartsAgainUnderItsID(t *testing.T) {
	inWorld(t, nil, map[string]backend{"one": answers(http.StatusOK, "one")}, func(world *world) {
		const id, address = "plain-one", "10.0.2.1:80"
		started, later := time.Now().UnixMilli(), time.Now().Add(9*time.Second).UnixMilli()
		world.putEntry(id, address, map[string]any{"born": started, "state": "draining"})
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusServiceUnavailable)
		world.putEntry(id, address, map[string]any{"born": later})
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusOK)
		world.putEntry(id, address, map[string]any{"born": started, "state": "draining"})
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusOK, "told late, of the earlier start")
		seen := world.requests()
		assert.Equal(t, seen[len(seen)-1].Header.Get("Expect-Instance"), id)
	})
}
