package tunnel

import (
	"bufio"
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// ErrServerReset is returned by reads from a tunnel whose server reset the connection.
var ErrServerReset = errors.New("server reset the connection")

// BrokenError is returned by reads from a tunnel that ended without evidence of how the server's side ended. The server may
// have more to send.
type BrokenError struct {
	// Cause is what is known of the reason.
	Cause string
}

// Error implements error.
func (e *BrokenError) Error() string {
	return "tunnel broke: " + e.Cause
}

// framedConn is the connection to a server through a VM that sends frames. Reads return io.EOF only if the server ended the
// connection regularly.
type framedConn struct {
	net.Conn

	frames *frameReader
	// end is the error of all further reads, or nil.
	end error
}

var _ net.Conn = (*framedConn)(nil)

func newFramedConn(conn net.Conn, reader *bufio.Reader) *framedConn {
	return &framedConn{Conn: conn, frames: &frameReader{reader: reader}}
}

// Read implements net.Conn.
func (framedconn *framedConn) Read(buffer []byte) (int, error) {
	if framedconn.end != nil || len(buffer) == 0 {
		return 0, framedconn.end
	}
	count, end, err := framedconn.frames.read(buffer)
	switch {
	case count > 0:
	case err != nil:
		framedconn.end = &BrokenError{Cause: err.Error()}
	case end != wire.TunnelEnd_TUNNEL_END_NONE:
		framedconn.end = errorOf(end)
	}
	return count, framedconn.end
}

// errorOf returns the error of reads after the server's side ended.
func errorOf(end wire.TunnelEnd) error {
	switch end {
	case wire.TunnelEnd_TUNNEL_END_REGULAR:
		return io.EOF
	case wire.TunnelEnd_TUNNEL_END_RESET:
		return ErrServerReset
	case wire.TunnelEnd_TUNNEL_END_FAILED:
		return &BrokenError{Cause: "the other VM lost the server"}
	default:
		return &BrokenError{Cause: "end " + end.String()}
	}
}

// Buffered returns how many bytes were received and not yet read, and how many the frame that was begun has left.
func (framedconn *framedConn) Buffered() int {
	return framedconn.frames.frameLeft + framedconn.frames.reader.Buffered()
}

// NetConn returns the connection to the other VM.
func (framedconn *framedConn) NetConn() net.Conn { return framedconn.Conn }

// unframedConn is the connection to a server through a VM that sends no frames. No read returns io.EOF, since the end of the
// connection may be that of the other VM.
type unframedConn struct {
	net.Conn
}

var _ net.Conn = unframedConn{}

// Read implements net.Conn.
func (unframedconn unframedConn) Read(buffer []byte) (int, error) {
	count, err := unframedconn.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = &BrokenError{Cause: "the other VM does not tell how the server's side ended"}
	}
	return count, err //nolint:wrapcheck // the error is that of the connection
}

// Buffered returns zero: nothing is buffered.
func (unframedconn unframedConn) Buffered() int { return 0 }

// NetConn returns the connection to the other VM.
func (unframedconn unframedConn) NetConn() net.Conn { return unframedconn.Conn }
