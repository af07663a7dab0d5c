package tunnel

import (
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// headerFrames is the field of the request for a tunnel, and of the response, that says that frames are read and sent.
const headerFrames = "Tunnel-Frames"

// framesVersion is the value of headerFrames.
const framesVersion = "1"

// Fields of wire.TunnelFrame. Frames are written and read here, each after its size, since the generated code would allocate and copy
// each of them.
const (
	fieldData protowire.Number = 1
	fieldEnd  protowire.Number = 2
)

// frameOverheadBytes is the maximum size of a frame beyond its data.
const frameOverheadBytes = 16

// frameWriter writes frames to another VM.
type frameWriter struct {
	to     io.Writer
	header []byte
	// parts are the header and the data of a frame, and buffers what of them was not sent yet. They are sent with one system call.
	parts   [2][]byte
	buffers net.Buffers
}

func newFrameWriter(to io.Writer) *frameWriter {
	return &frameWriter{to: to, header: make([]byte, 0, frameOverheadBytes)}
}

// writeData writes a frame with bytes of the server.
func (framewriter *frameWriter) writeData(data []byte) error {
	dataHeaderBytes := protowire.SizeTag(fieldData) + protowire.SizeVarint(uint64(len(data)))
	framewriter.header = protowire.AppendVarint(framewriter.header[:0], uint64(dataHeaderBytes+len(data))) //nolint:gosec // at most copyBufferSize
	framewriter.header = protowire.AppendTag(framewriter.header, fieldData, protowire.BytesType)
	framewriter.header = protowire.AppendVarint(framewriter.header, uint64(len(data)))
	framewriter.parts = [2][]byte{framewriter.header, data}
	framewriter.buffers = framewriter.parts[:]
	_, err := framewriter.buffers.WriteTo(framewriter.to)
	return errors.WithStack(err)
}

// writeEnd writes the frame that says how the server's side ended.
func (framewriter *frameWriter) writeEnd(end wire.TunnelEnd) error {
	value := uint64(end.Number()) //nolint:gosec // not negative
	size := protowire.SizeTag(fieldEnd) + protowire.SizeVarint(value)
	framewriter.header = protowire.AppendVarint(framewriter.header[:0], uint64(size)) //nolint:gosec // not negative
	framewriter.header = protowire.AppendTag(framewriter.header, fieldEnd, protowire.VarintType)
	framewriter.header = protowire.AppendVarint(framewriter.header, value)
	_, err := framewriter.to.Write(framewriter.header)
	return errors.WithStack(err)
}

// copyFrames sends what it reads from a server in frames until the server's side ends, and then how it ended. It returns when
// either side has failed.
func copyFrames(to net.Conn, from io.Reader) {
	writer := newFrameWriter(to)
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := from.Read(buffer)
		if count > 0 && writer.writeData(buffer[:count]) != nil {
			return
		}
		if err != nil {
			_ = writer.writeEnd(endOf(err)) // the other VM may be gone
			return
		}
	}
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
