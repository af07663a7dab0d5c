package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// Errors of frames that can't be read.
var (
	errFrameSize = errors.New("frame is too long")
	errFrame     = errors.New("frame is malformed")
)

// frameReader reads the bytes of the server from frames, without a buffer for a whole frame.
type frameReader struct {
	reader *bufio.Reader
	// frameLeft is how many bytes of the current frame were not read yet, and dataLeft how many of them are data.
	frameLeft int
	dataLeft  int
	end       wire.TunnelEnd
}

// read reads bytes of the server. After the last one it returns how the server's side ended, without an error.
func (framereader *frameReader) read(buffer []byte) (count int, end wire.TunnelEnd, err error) {
	for framereader.dataLeft == 0 {
		if framereader.frameLeft == 0 && framereader.end != wire.TunnelEnd_TUNNEL_END_NONE {
			return 0, framereader.end, nil
		}
		if err := framereader.next(); err != nil {
			return 0, 0, err
		}
	}
	count, err = framereader.reader.Read(buffer[:min(len(buffer), framereader.dataLeft)])
	framereader.dataLeft -= count
	framereader.frameLeft -= count
	return count, 0, err //nolint:wrapcheck // the caller has the context
}

// next reads the size of the next frame, or the next field of the current one up to its data.
func (framereader *frameReader) next() error {
	if framereader.frameLeft > 0 {
		return framereader.nextField()
	}
	size, err := binary.ReadUvarint(framereader.reader)
	if err != nil {
		return err //nolint:wrapcheck // the caller has the context
	}
	if size > copyBufferSize+frameOverheadBytes {
		return errFrameSize
	}
	framereader.frameLeft = int(size)
	return nil
}

func (framereader *frameReader) nextField() error {
	tag, err := framereader.varint()
	if err != nil {
		return err
	}
	number, kind := protowire.DecodeTag(tag)
	switch kind {
	case protowire.VarintType:
		value, err := framereader.varint()
		if number == fieldEnd {
			framereader.end = wire.TunnelEnd(value) //nolint:gosec // values that are unknown count as no regular end
		}
		return err
	case protowire.BytesType:
		return framereader.bytesField(number)
	case protowire.Fixed32Type:
		return framereader.skip(protowire.SizeFixed32())
	case protowire.Fixed64Type:
		return framereader.skip(protowire.SizeFixed64())
	default:
		return errFrame
	}
}

// bytesField reads the size of a field with bytes, and skips them unless they are data.
func (framereader *frameReader) bytesField(number protowire.Number) error {
	size, err := framereader.varint()
	if err != nil {
		return err
	}
	if size > uint64(framereader.frameLeft) { //nolint:gosec // not negative
		return errFrame
	}
	if number != fieldData {
		return framereader.skip(int(size)) //nolint:gosec // at most frameLeft
	}
	framereader.dataLeft = int(size) //nolint:gosec // at most frameLeft
	return nil
}

// varint reads a number of the current frame.
func (framereader *frameReader) varint() (uint64, error) {
	value, err := binary.ReadUvarint(frameBytes{framereader})
	return value, err //nolint:wrapcheck // the caller has the context
}

// skip skips bytes of the current frame.
func (framereader *frameReader) skip(count int) error {
	if count > framereader.frameLeft {
		return errFrame
	}
	discarded, err := framereader.reader.Discard(count)
	framereader.frameLeft -= discarded
	return err //nolint:wrapcheck // the caller has the context
}

// frameBytes reads the current frame byte by byte.
type frameBytes struct {
	*frameReader
}

var _ io.ByteReader = frameBytes{}

// ReadByte implements io.ByteReader.
func (framebytes frameBytes) ReadByte() (byte, error) {
	if framebytes.frameLeft == 0 {
		return 0, errFrame
	}
	framebytes.frameLeft--
	return framebytes.reader.ReadByte() //nolint:wrapcheck // the caller has the context
}
