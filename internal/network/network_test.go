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
	assert.Assert(t, network.SilenceTime(network.DefaultSettings()) >= silence, "connections are closed after %s", network.SilenceTime(network.DefaultSettings()))
}
