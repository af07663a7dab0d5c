package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNoticeInReplyToReservationIsObserved has an engine that reports a drain or a Retry-After in its reply to a reservation,
// while memory is reserved at several engines for one prompt. The prompt must be assigned to other engines before it is sent,
// and the engine may receive no other order than the one that releases the memory.
func TestNoticeInReplyToReservationIsObserved(t *testing.T) {
	for name, reply := range map[string]func(writer http.ResponseWriter){
		"reserves and drains": func(writer http.ResponseWriter) {
			writer.Header().Set("Server-Leaving", "1")
			_, _ = io.WriteString(writer, `{"free": 100000}`)
		},
		"refuses and drains": func(writer http.ResponseWriter) {
			writer.Header().Set("Server-Leaving", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		},
		"refuses with Retry-After": func(writer http.ResponseWriter) {
			writer.Header().Set("Retry-After", "3")
			writer.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			engines := &reservingEngines{reply: reply}
			backends := map[string]backend{"a": engines.serve, "b": engines.serve, "c": engines.serve, "d": engines.serve}
			withHarness(t, backends, nil, func(harness *harness) {
				harness.configure(2, auditRoute(4000))
				time.Sleep(2 * time.Second)
				for range 3 {
					got := harness.query(streamRequest("audit").with("Token-Counts", "300000,500").with("Deadline-Ms", "15000"))
					assert.Equal(t, got.status, http.StatusOK)
					assert.Assert(t, got.complete)
				}
				engines.mu.Lock()
				defer engines.mu.Unlock()
				assert.Equal(t, engines.reservations, 1)
				for _, received := range harness.requests() {
					if received.Target != "/order" {
						assert.Assert(t, received.Header.Get("Expect-Instance") != engines.fullID)
						assert.Assert(t, !strings.Contains(received.Header.Get("Helper-Nodes"), harness.addresses[engines.fullID]))
					}
				}
			})
		})
	}
}
