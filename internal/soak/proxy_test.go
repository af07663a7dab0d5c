package soak

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/tcptest"
)

// echo starts a TCP echo server and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	return tcptest.NewServer(t, func(conn *net.TCPConn, _ int64) { _, _ = io.Copy(conn, conn) }).Address()
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

// TestProxyPassesOnHowConnectionsEnd guards against a proxy that turns resets of servers into regular ends, which complete responses
// without a length.
func TestProxyPassesOnHowConnectionsEnd(t *testing.T) {
	for name, test := range map[string]struct {
		end     func(conn net.Conn)
		wantErr error
	}{
		"regular end": {end: func(conn net.Conn) { _ = conn.Close() }, wantErr: io.EOF},
		"reset":       {end: reset, wantErr: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err == nil {
					_, _ = conn.Read(make([]byte, 1))
					test.end(conn)
				}
			}()
			proxy, err := newProxy("127.0.0.1:0", listener.Addr().String())
			assert.NilError(t, err)
			defer proxy.close()
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", proxy.address())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("a"))
			assert.NilError(t, err)
			_, err = conn.Read(make([]byte, 1))
			assert.ErrorIs(t, err, test.wantErr)
		})
	}
}
