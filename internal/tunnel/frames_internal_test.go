package tunnel

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// pieces is a connection that returns what it received in pieces of random sizes.
type pieces struct {
	net.Conn

	t        *rapid.T
	received *bytes.Reader
}

func (pieces pieces) Read(buffer []byte) (int, error) {
	size := rapid.IntRange(1, 2*copyBufferSize).Draw(pieces.t, "piece")
	return pieces.received.Read(buffer[:min(size, len(buffer))]) //nolint:wrapcheck // callers of io.Reader compare with io.EOF
}

// drawFrames returns the encoding of frames that end with an end, as the generated code writes it, and the data in them. Some have fields that
// are not known here.
func drawFrames(t *rapid.T, end wire.TunnelEnd) (encoded, data []byte) {
	buffer := &bytes.Buffer{}
	for range rapid.IntRange(0, 6).Draw(t, "frames") {
		size := rapid.SampledFrom([]int{0, 1, 127, 128, copyBufferSize - 1, copyBufferSize}).Draw(t, "size")
		part := bytes.Repeat([]byte{byte(len(data))}, size)
		frame := &wire.TunnelFrame{Data: part}
		if rapid.Bool().Draw(t, "unknown") && size < copyBufferSize {
			frame.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 9, protowire.VarintType), 300))
		}
		data = append(data, part...)
		_, err := protodelim.MarshalTo(buffer, frame)
		assert.NilError(t, err)
	}
	_, err := protodelim.MarshalTo(buffer, &wire.TunnelFrame{End: end})
	assert.NilError(t, err)
	return buffer.Bytes(), data
}

// TestFramesAreReadAsTheGeneratedCodeWritesThem guards against bytes that are lost, doubled or taken for others, and against an end that is
// taken for another one, whatever the pieces in which frames arrive.
func TestFramesAreReadAsTheGeneratedCodeWritesThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]wire.TunnelEnd{1, 2, 3, 9}).Draw(t, "end")
		encoded, data := drawFrames(t, end)
		cut := rapid.IntRange(0, len(encoded)).Draw(t, "cut")
		conn := newFramedConn(nil, bufio.NewReader(pieces{t: t, received: bytes.NewReader(encoded[:cut])}))
		got, err := io.ReadAll(conn)
		assert.Assert(t, bytes.HasPrefix(data, got))
		var broken *BrokenError
		if cut < len(encoded) {
			assert.Assert(t, errors.As(err, &broken), "%v", err)
			return
		}
		assert.Equal(t, len(got), len(data))
		assert.Equal(t, err == nil, end == wire.TunnelEnd_TUNNEL_END_REGULAR)
		assert.Equal(t, errors.Is(err, ErrServerReset), end == wire.TunnelEnd_TUNNEL_END_RESET)
		assert.Equal(t, conn.Buffered(), 0)
	})
}

// TestFramesAreWrittenAsTheGeneratedCodeReadsThem guards against frames that a VM of another version can't read.
func TestFramesAreWrittenAsTheGeneratedCodeReadsThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOf(rapid.IntRange(1, copyBufferSize)).Draw(t, "sizes")
		end := rapid.SampledFrom([]wire.TunnelEnd{1, 2, 3}).Draw(t, "end")
		buffer := &bytes.Buffer{}
		writer := newFrameWriter(buffer)
		for number, size := range sizes {
			assert.NilError(t, writer.writeData(bytes.Repeat([]byte{byte(number)}, size)))
		}
		assert.NilError(t, writer.writeEnd(end))
		reader := bufio.NewReader(buffer)
		for number, size := range sizes {
			frame := &wire.TunnelFrame{}
			assert.NilError(t, protodelim.UnmarshalFrom(reader, frame))
			assert.DeepEqual(t, frame.GetData(), bytes.Repeat([]byte{byte(number)}, size))
		}
		frame := &wire.TunnelFrame{}
		assert.NilError(t, protodelim.UnmarshalFrom(reader, frame))
		assert.Equal(t, frame.GetEnd(), end)
	})
}

// TestMalformedFramesBreakTheTunnel guards against memory or time that another VM can take, and against an end that it did not send.
func TestMalformedFramesBreakTheTunnel(t *testing.T) {
	for name, encoded := range map[string]string{
		"longer than a frame may be":  "\x90\x80\x01",
		"number without an end":       "\x0b\x10\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
		"data longer than the frame":  "\x03\x0a\x05a",
		"number beyond the frame":     "\x01\x10\x01",
		"field of an unknown type":    "\x01\x0f",
		"unknown field too long":      "\x02\x4a\x09",
		"fixed field beyond a frame":  "\x02\x4d\x00",
		"nothing":                     "",
		"size alone":                  "\x02",
		"end after a malformed field": "\x03\x0f\x10\x01",
	} {
		t.Run(name, func(t *testing.T) {
			conn := newFramedConn(nil, bufio.NewReader(bytes.NewReader([]byte(encoded))))
			got, err := io.ReadAll(conn)
			var broken *BrokenError
			assert.Assert(t, errors.As(err, &broken), "%q, %v", got, err)
			_, again := conn.Read(make([]byte, 1))
			assert.Equal(t, again, err)
		})
	}
}

// endless is a server that sends a number of bytes.
type endless struct{ left int }

func (endless *endless) Read(buffer []byte) (int, error) {
	if endless.left == 0 {
		return 0, io.EOF
	}
	count := min(len(buffer), endless.left)
	endless.left -= count
	return count, nil
}

// BenchmarkTunnel copies a megabyte from a server to a VM over a socket, in events of the given size, with frames and without.
func BenchmarkTunnel(b *testing.B) {
	const megabyte = 1 << 20
	for name, benchmark := range map[string]struct {
		copy func(to net.Conn, from io.Reader)
		open func(conn net.Conn) net.Conn
	}{
		"frames": {copy: copyFrames, open: func(conn net.Conn) net.Conn { return newFramedConn(conn, bufio.NewReader(conn)) }},
		"bytes": {
			copy: func(to net.Conn, from io.Reader) { _ = copyAll(to, from) },
			open: func(conn net.Conn) net.Conn { return unframedConn{Conn: conn} },
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(megabyte)
			for range b.N {
				listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp4", "127.0.0.1:0")
				assert.NilError(b, err)
				go func() {
					conn, err := listener.Accept()
					if err == nil {
						benchmark.copy(conn, &endless{left: megabyte})
						_ = conn.Close()
					}
				}()
				conn, err := (&net.Dialer{}).DialContext(b.Context(), "tcp4", listener.Addr().String())
				assert.NilError(b, err)
				count, _ := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{benchmark.open(conn)}, make([]byte, 4<<10))
				assert.Equal(b, count, int64(megabyte))
				_, _ = conn.Close(), listener.Close()
			}
		})
	}
}
