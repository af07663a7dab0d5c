package network

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// dialledConn is a TCP connection whose reads return io.EOF only if the peer ended the connection regularly.
//
// The system reports a reset or a time-out of a connection once, to the first system call that comes after it. If that is a
// write, reads return the end of the stream from then on, as after a regular end.
type dialledConn struct {
	net.Conn

	socket *net.TCPConn
	// mu is held during writes.
	mu sync.Mutex
	// failure is the first error of the connection that a write returned, or nil. An error of the write alone, such as its
	// deadline, is none.
	failure error
}

var (
	_ net.Conn     = (*dialledConn)(nil)
	_ syscall.Conn = (*dialledConn)(nil)
)

// Write implements net.Conn.
func (dialledconn *dialledConn) Write(buffer []byte) (int, error) {
	dialledconn.mu.Lock()
	defer dialledconn.mu.Unlock()
	count, err := dialledconn.Conn.Write(buffer)
	if dialledconn.failure == nil && isFailure(err) {
		dialledconn.failure = err
	}
	return count, err //nolint:wrapcheck // the error is that of the connection
}

// isFailure reports whether the error of a write is that of a connection that did not end regularly. The system returns EPIPE
// for a peer that had ended its side before it reset the connection, and after it has reported the failure.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements net.Conn.
func (dialledconn *dialledConn) Read(buffer []byte) (int, error) {
	count, err := dialledconn.Conn.Read(buffer)
	if errors.Is(err, io.EOF) && dialledconn.isClosed() {
		return count, dialledconn.end()
	}
	return count, err //nolint:wrapcheck // callers of io.Reader compare with io.EOF
}

// end returns the failure of a connection that is closed in both directions, or io.EOF. It waits for the write in progress, which
// such a connection ends at once.
func (dialledconn *dialledConn) end() error {
	dialledconn.mu.Lock()
	defer dialledconn.mu.Unlock()
	if dialledconn.failure != nil {
		return dialledconn.failure
	}
	return io.EOF
}

// isClosed reports whether the connection is closed in both directions, as after a reset. After a regular end of the peer alone it
// is not.
func (dialledconn *dialledConn) isClosed() bool {
	raw, err := dialledconn.socket.SyscallConn()
	if err != nil {
		return true
	}
	isClosed := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || isClosed
}

// SyscallConn implements syscall.Conn.
func (dialledconn *dialledConn) SyscallConn() (syscall.RawConn, error) {
	return dialledconn.socket.SyscallConn() //nolint:wrapcheck // the error is that of the connection
}
