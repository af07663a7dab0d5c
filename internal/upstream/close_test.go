package upstream_test

import (
	"bufio"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestClosedClientKeepsNoConnection guards against connections that outlive the VM that opened them, and hold tunnels of others open.
func TestClosedClientKeepsNoConnection(t *testing.T) {
	ended := make(chan struct{}, 2)
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, nth int64) {
		echoUnlessSilent(conn, requests, nth) // until the connection ends
		ended <- struct{}{}
	})
	client := newClient()
	_, err := send(t.Context(), client, server.Address(), "id-0", "")
	assert.NilError(t, err)
	assert.Assert(t, client.HasIdle(server.Address()))
	client.Close()
	<-ended
	_, err = send(t.Context(), client, server.Address(), "id-1", "")
	assert.NilError(t, err)
	<-ended
	assert.Assert(t, !client.HasIdle(server.Address()))
}
