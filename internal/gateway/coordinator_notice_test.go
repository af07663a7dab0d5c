package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// TestNoticeOverridesCoordinator has a coordinator that keeps assigning an engine which has reported a drain or a Retry-After
// to this VM only. The VM must send the requests to another engine, and all of them must be served.
func TestNoticeOverridesCoordinator(t *testing.T) {
	const assigned, other = "engines-a", "engines-b"
	responseFor := func(request *wire.Ask) *wire.Verdict {
		server := assigned
		if slices.Contains(request.GetTried(), assigned) {
			server = other
		}
		return &wire.Verdict{Id: request.GetId(), Decision: wire.Decision_DECISION_PLACED, Servers: []string{server}}
	}
	for name, notifying := range map[string]backend{
		"Retry-After": refuseWithRetryAfter(),
		"drain":       draining(refuse(http.StatusServiceUnavailable)),
	} {
		t.Run(name, func(t *testing.T) {
			engines := map[string]backend{"a": notifying, "b": streamEvents(3, 0)}
			withCoordinator(t, engines, responseFor, func(harness *harness) {
				for _, got := range harness.queryEvery(streamRequest("chat").with("Token-Counts", "1000,50"), 50*time.Millisecond, backoffTime-backoffNotice) {
					assert.Equal(t, got.status, http.StatusOK, got.body)
					assert.Assert(t, got.complete)
				}
				assert.Equal(t, len(harness.arrivals(assigned)), 1)
			})
		})
	}
}
