package network_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/network"
)

// TestSilentSecondKeepsConnections guards against requests that are cut since a sound server says nothing for a second or so,
// which may be half as long again.
func TestSilentSecondKeepsConnections(t *testing.T) {
	const silence = 1500 * time.Millisecond
	closedAfter := network.DefaultSettings().UserTimeout // decides for keep-alive probes too, whatever their number
	assert.Assert(t, closedAfter >= silence, "connections are closed after %s", closedAfter)
}
