package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// echo starts a TCP echo server and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// echoes reports whether a byte comes back on a connection within a time.
func echoes(t *testing.T, conn net.Conn, within time.Duration) bool {
	t.Helper()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(within)))
	_, err := conn.Write([]byte("a"))
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	assert.NilError(t, err, "the connection fails otherwise than by a timeout")
	return true
}

// A silenced connection that carries data again after a mode change would not simulate a stale connection.
func TestSilencedConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	proxy, err := newProxy("127.0.0.1:0", echo(t))
	assert.NilError(t, err)
	defer proxy.close()
	dial := func() net.Conn {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", proxy.address())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	open := dial()
	assert.Assert(t, echoes(t, open, 5*time.Second))
	proxy.silenceOpen()
	assert.Assert(t, !echoes(t, open, 100*time.Millisecond))
	assert.Assert(t, echoes(t, dial(), 5*time.Second))
	proxy.setMode(modePass)
	assert.Assert(t, !echoes(t, open, 100*time.Millisecond), "a mode change must not revive a silenced connection")
}
