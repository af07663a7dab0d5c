package memnet

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// conn is one side of a connection.
type conn struct {
	net.Conn

	// isReset is shared by both sides.
	isReset *atomic.Bool
}

var _ net.Conn = (*conn)(nil)

// newConns returns both sides of a connection.
func newConns() (client, server *conn) {
	clientPipe, serverPipe := net.Pipe()
	isReset := &atomic.Bool{}
	return &conn{Conn: clientPipe, isReset: isReset}, &conn{Conn: serverPipe, isReset: isReset}
}

// Reset closes the connection so that the other side's reads fail with ECONNRESET.
func (conn *conn) Reset() {
	conn.isReset.Store(true)
	_ = conn.Close() // it may be closed already
}

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if errors.Is(err, io.EOF) && conn.isReset.Load() {
		err = syscall.ECONNRESET
	}
	return count, err //nolint:wrapcheck // callers compare with io.EOF
}
