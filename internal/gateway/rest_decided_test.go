package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// TestVMThatDecidesHasNotHeard has a VM that decides and names the same engine whenever it was not tried, though it
// leaves or rests from this VM: the request goes elsewhere, and its caller notices nothing.
func TestVMThatDecidesHasNotHeard(t *testing.T) {
	const named, other = "engines-a", "engines-b"
	answer := func(ask *wire.Ask) *wire.Verdict {
		server := named
		if slices.Contains(ask.GetTried(), named) {
			server = other
		}
		return &wire.Verdict{Id: ask.GetId(), Decision: wire.Decision_DECISION_PLACED, Servers: []string{server}}
	}
	for name, speaks := range map[string]backend{
		"of a rest":  rests(),
		"of leaving": leaves(refuses(http.StatusServiceUnavailable)),
	} {
		t.Run(name, func(t *testing.T) {
			engines := map[string]backend{"a": speaks, "b": streams(3, 0)}
			inWorldDecidedBy(t, engines, answer, func(world *world) {
				for _, got := range world.askFor(stream("chat").with("Token-Counts", "1000,50"), 50*time.Millisecond, restTime-restNotice) {
					assert.Equal(t, got.status, http.StatusOK, got.body)
					assert.Assert(t, got.whole)
				}
				assert.Equal(t, len(world.reached(named)), 1)
			})
		})
	}
}
