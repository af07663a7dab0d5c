package tunnel

import (
	"bufio"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

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

	reader *bufio.Reader
	// unread are bytes of the last frame.
	unread []byte
	// end is the error of all reads after unread, or nil.
	end error
}

var _ net.Conn = (*framedConn)(nil)

// Read implements net.Conn.
func (framedconn *framedConn) Read(buffer []byte) (int, error) {
	for len(framedconn.unread) == 0 {
		if framedconn.end != nil {
			return 0, framedconn.end
		}
		framedconn.readFrame()
	}
	count := copy(buffer, framedconn.unread)
	framedconn.unread = framedconn.unread[count:]
	return count, nil
}

func (framedconn *framedConn) readFrame() {
	frame := &wire.TunnelFrame{}
	options := protodelim.UnmarshalOptions{MaxSize: copyBufferSize + frameOverheadBytes}
	if err := options.UnmarshalFrom(framedconn.reader, frame); err != nil {
		framedconn.end = &BrokenError{Cause: err.Error()}
		return
	}
	framedconn.unread = frame.GetData()
	switch frame.GetEnd() {
	case wire.TunnelEnd_TUNNEL_END_NONE:
	case wire.TunnelEnd_TUNNEL_END_REGULAR:
		framedconn.end = io.EOF
	case wire.TunnelEnd_TUNNEL_END_RESET:
		framedconn.end = ErrServerReset
	case wire.TunnelEnd_TUNNEL_END_FAILED:
		framedconn.end = &BrokenError{Cause: "the other VM lost the server"}
	default:
		framedconn.end = &BrokenError{Cause: "end " + frame.GetEnd().String()}
	}
}

// Buffered returns how many bytes were received and not yet read.
func (framedconn *framedConn) Buffered() int {
	return len(framedconn.unread) + framedconn.reader.Buffered()
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
