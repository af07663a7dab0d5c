package gateway_test

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// entryPropagation is the time in which a VM applies a changed entry.
const entryPropagation = 1500 * time.Millisecond

// putPlainServer writes the entry of a plain server, with some of its fields replaced, and waits until the VM has applied it.
func (harness *harness) putPlainServer(id, address string, fields map[string]any) {
	entry := map[string]any{
		"service": "plain", "address": address, "zone": "north", "version": "v1", "slots": 16, "state": "ready",
		"cold_left_ms": 0, "call_seq": 0,
	}
	maps.Copy(entry, fields)
	harness.putServerFields(id, entry)
	time.Sleep(entryPropagation)
}

// TestServerRestartsUnderSameID guards against a server that stays excluded after a restart under the same ID. It received
// no requests any more, because an entry of its earlier start had said that it was draining.
func TestServerRestartsUnderSameID(t *testing.T) {
	withHarness(t, nil, map[string]backend{"one": responses(http.StatusOK, "one")}, func(harness *harness) {
		const id, address = "plain-one", "10.0.2.1:80"
		earlierStart, laterStart := time.Now().UnixMilli(), time.Now().Add(9*time.Second).UnixMilli()
		harness.putPlainServer(id, address, map[string]any{"born": earlierStart, "state": "draining"})
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusServiceUnavailable)
		harness.putPlainServer(id, address, map[string]any{"born": laterStart})
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusOK)
		harness.putPlainServer(id, address, map[string]any{"born": earlierStart, "state": "draining"})
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusOK, "a late entry of the earlier start must be ignored")
		received := harness.requests()
		assert.Equal(t, received[len(received)-1].Header.Get("Expect-Instance"), id)
	})
}
