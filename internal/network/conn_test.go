package network_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/tcptest"
)

const sentByPeer = "bytes of the peer"

// dialScript opens a connection to a peer on loopback that runs a script.
func dialScript(t *testing.T, script func(conn *net.TCPConn)) net.Conn {
	t.Helper()
	address := tcptest.NewServer(t, func(conn *net.TCPConn, _ int64) { script(conn) }).Address()
	conn, err := network.New(network.DefaultSettings()).Dial(t.Context(), address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// writeUntilError writes to a connection until that fails.
func writeUntilError(conn net.Conn) error {
	for {
		if _, err := conn.Write(make([]byte, 100)); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// TestResetThatAWriteReportedIsNoRegularEnd guards against a reset that looks like the peer's regular end to reads, since the system
// reports it once, to whichever of a write and a read comes first.
func TestResetThatAWriteReportedIsNoRegularEnd(t *testing.T) {
	for name, test := range map[string]struct {
		script  func(conn *net.TCPConn)
		wantErr error
	}{
		"reset": {script: func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1))
			_, _ = io.WriteString(conn, sentByPeer)
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}, wantErr: syscall.ECONNRESET},
		"regular end, and a reset of what was written after it": {script: func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1))
			_, _ = io.WriteString(conn, sentByPeer)
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = conn.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dialScript(t, test.script)
			assert.Assert(t, writeUntilError(conn) != nil)
			got, err := io.ReadAll(conn)
			assert.Equal(t, string(got), sentByPeer)
			assert.ErrorIs(t, err, test.wantErr)
		})
	}
}

// TestResetDuringWritesIsNoRegularEnd is the same with writes while a read waits for the end.
func TestResetDuringWritesIsNoRegularEnd(t *testing.T) {
	for range 30 {
		conn := dialScript(t, func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1)) // of the writes: the connection was dialled
			_, _ = io.WriteString(conn, sentByPeer)
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
			_ = conn.Close()
		})
		go func() { _ = writeUntilError(conn) }()
		got, err := io.ReadAll(conn)
		assert.Equal(t, string(got), sentByPeer)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
}
