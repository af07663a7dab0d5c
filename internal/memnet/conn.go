package memnet

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is one side of a connection. Each direction is a pipe of its own, so that it can end by itself.
type conn struct {
	// in is read from, and out is written to.
	in, out net.Conn
	// isReset is shared by both sides.
	isReset *atomic.Bool
}

var _ net.Conn = (*conn)(nil)

// newConns returns both sides of a connection.
func newConns() (client, server *conn) {
	clientIn, serverOut := net.Pipe()
	serverIn, clientOut := net.Pipe()
	isReset := &atomic.Bool{}
	return &conn{in: clientIn, out: clientOut, isReset: isReset}, &conn{in: serverIn, out: serverOut, isReset: isReset}
}

// Reset closes the connection so that the other side's reads fail with ECONNRESET.
func (conn *conn) Reset() {
	conn.isReset.Store(true)
	_ = conn.Close() // it may be closed already
}

// CloseWrite ends what the other side reads.
func (conn *conn) CloseWrite() error {
	return conn.out.Close() //nolint:wrapcheck // a pipe has no more to say
}

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.in.Read(buffer)
	if errors.Is(err, io.EOF) && conn.isReset.Load() {
		err = syscall.ECONNRESET
	}
	return count, err //nolint:wrapcheck // callers compare with io.EOF
}

// Write implements net.Conn.
func (conn *conn) Write(data []byte) (int, error) {
	return conn.out.Write(data) //nolint:wrapcheck // a pipe has no more to say
}

// Close implements net.Conn.
func (conn *conn) Close() error {
	return errors.CombineErrors(conn.in.Close(), conn.out.Close())
}

// LocalAddr implements net.Conn.
func (conn *conn) LocalAddr() net.Addr { return conn.in.LocalAddr() }

// RemoteAddr implements net.Conn.
func (conn *conn) RemoteAddr() net.Addr { return conn.in.RemoteAddr() }

// SetDeadline implements net.Conn.
func (conn *conn) SetDeadline(deadline time.Time) error {
	return errors.CombineErrors(conn.in.SetDeadline(deadline), conn.out.SetDeadline(deadline))
}

// SetReadDeadline implements net.Conn.
func (conn *conn) SetReadDeadline(deadline time.Time) error {
	return conn.in.SetReadDeadline(deadline) //nolint:wrapcheck // a pipe has no more to say
}

// SetWriteDeadline implements net.Conn.
func (conn *conn) SetWriteDeadline(deadline time.Time) error {
	return conn.out.SetWriteDeadline(deadline) //nolint:wrapcheck // a pipe has no more to say
}
