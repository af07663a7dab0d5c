package tunnel

import (
	"bufio"
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// headerFrames is the field of the request for a tunnel, and of the response, that says that frames are read and sent.
const headerFrames = "Tunnel-Frames"

// framesVersion is the value of headerFrames.
const framesVersion = "1"

// frameOverheadBytes is the maximum size of a frame beyond its data.
const frameOverheadBytes = 16

// copyFrames sends what it reads from a server in frames until the server's side ends, and then how it ended. It returns when
// either side has failed.
func copyFrames(to net.Conn, from io.Reader) {
	writer := bufio.NewWriterSize(to, copyBufferSize+frameOverheadBytes)
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !writeFrame(writer, &wire.TunnelFrame{Data: buffer[:count]}) {
			return
		}
		if err != nil {
			writeFrame(writer, &wire.TunnelFrame{End: endOf(err)}) // the other VM may be gone
			return
		}
	}
}

func writeFrame(writer *bufio.Writer, frame *wire.TunnelFrame) bool {
	_, err := protodelim.MarshalTo(writer, frame)
	return err == nil && writer.Flush() == nil
}

// endOf returns how the server's side ended by the error of the last read from it.
func endOf(err error) wire.TunnelEnd {
	switch {
	case errors.Is(err, io.EOF):
		return wire.TunnelEnd_TUNNEL_END_REGULAR
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return wire.TunnelEnd_TUNNEL_END_RESET
	default:
		return wire.TunnelEnd_TUNNEL_END_FAILED
	}
}
