package network_test

import (
	"cmp"
	"net"
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

// TestConnectionsComeFromSourceAddress guards against connections from another address of the VM than the one in the settings.
func TestConnectionsComeFromSourceAddress(t *testing.T) {
	for name, source := range map[string]string{"system's choice": "", "another address": "127.0.0.7"} {
		t.Run(name, func(t *testing.T) {
			settings := network.DefaultSettings()
			settings.SourceAddress = source
			system := network.New(settings)
			listener, err := system.Listen(t.Context(), "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			conn, err := system.Dial(t.Context(), listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			accepted, err := listener.Accept()
			assert.NilError(t, err)
			defer func() { _ = accepted.Close() }()
			host, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
			assert.NilError(t, err)
			assert.Equal(t, host, cmp.Or(source, "127.0.0.1"))
		})
	}
}
