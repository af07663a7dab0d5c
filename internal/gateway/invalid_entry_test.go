package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInvalidEntryRemovesServer guards against sending requests to a server whose entry in the store has become invalid.
// Another writer overwrites the entry of one of two servers; the fault was that the last valid entry stayed in force.
func TestInvalidEntryRemovesServer(t *testing.T) {
	servers := map[string]backend{"one": responses(http.StatusOK, "one"), "two": responses(http.StatusOK, "two")}
	withHarness(t, nil, servers, func(harness *harness) {
		harness.store.Put("keyed.servers", "plain-one", []byte(`{"service": "plain", "address": 7}`))
		time.Sleep(entryPropagation)
		for range 10 {
			got := harness.query(plainRequest(http.MethodGet, "look"))
			assert.Equal(t, got.body, "two")
		}
		harness.store.Put("keyed.servers", "plain-two", []byte("\x00\x01"))
		time.Sleep(entryPropagation)
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusServiceUnavailable)
	})
}
