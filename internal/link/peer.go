package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Limits of a link.
const (
	maxFrameBytes    = 64 << 20
	sendTimeout      = 5 * time.Second
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 5 * time.Second
	keepAlive        = time.Second
)

// Options configure how UDP datagrams are sent.
type Options struct {
	// PlainDatagrams disables segmentation offload, ECN and path MTU discovery.
	PlainDatagrams bool
}

// Peer is the remote end of a link. Send may be called concurrently, also with one
// call of Receive or ReceiveWithin at a time.
type Peer struct {
	conn   *quic.Conn
	stream *quic.Stream
	reader *bufio.Reader

	// mu guards writer, so that frames are not interleaved.
	mu     sync.Mutex
	writer *bufio.Writer
	// closeSocket closes the socket if it belongs to this link alone.
	closeSocket func()
}

func newPeer(conn *quic.Conn, stream *quic.Stream, closeSocket func()) *Peer {
	return &Peer{
		conn:        conn,
		stream:      stream,
		reader:      bufio.NewReader(stream),
		writer:      bufio.NewWriter(stream),
		closeSocket: closeSocket,
	}
}

// Send writes one frame. It fails if the remote end does not read within
// sendTimeout.
func (peer *Peer) Send(message proto.Message) error {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	err := peer.stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	if err != nil {
		return errors.Wrap(err, "link: send")
	}
	_, err = protodelim.MarshalTo(peer.writer, message)
	if err != nil {
		return errors.Wrap(err, "link: send")
	}
	return errors.Wrap(peer.writer.Flush(), "link: send")
}

// ReceiveWithin is like Receive, but fails if no whole frame arrives within timeout.
func (peer *Peer) ReceiveWithin(timeout time.Duration, message proto.Message) error {
	err := peer.stream.SetReadDeadline(time.Now().Add(timeout))
	if err != nil {
		return errors.Wrap(err, "link: receive")
	}
	return peer.Receive(message)
}

// Receive reads the next frame into message. It blocks until a frame arrives or the
// link ends.
func (peer *Peer) Receive(message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	return errors.Wrap(options.UnmarshalFrom(peer.reader, message), "link: receive")
}

// Close closes the link, which ends pending calls of Send and Receive with an error.
func (peer *Peer) Close() {
	_ = peer.conn.CloseWithError(0, "")
	peer.closeSocket()
}

// Dial opens a link to the UDP address.
func Dial(ctx context.Context, address string, credentials Credentials, options Options) (*Peer, error) {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", address)
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", address)
	}
	transport := &quic.Transport{Conn: options.wrap(socket)}
	closeSocket := func() {
		_ = transport.Close()
		_ = socket.Close()
	}
	conn, err := transport.Dial(ctx, remote, credentials.config(), options.config())
	if err != nil {
		closeSocket()
		return nil, errors.Wrapf(err, "link: dial %s", address)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		closeSocket()
		return nil, errors.Wrapf(err, "link: dial %s", address)
	}
	return newPeer(conn, stream, closeSocket), nil
}

// config returns the QUIC configuration of both ends.
func (options Options) config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlive,
		DisablePathMTUDiscovery: options.PlainDatagrams,
	}
}

// wrap returns the socket, without the methods that quic-go uses for segmentation
// offload and ECN if PlainDatagrams is set.
func (options Options) wrap(socket *net.UDPConn) net.PacketConn {
	if !options.PlainDatagrams {
		return socket
	}
	return plainConn{PacketConn: socket, socket: socket}
}

// plainConn has only the methods of net.PacketConn and those that set the buffer
// sizes.
type plainConn struct {
	net.PacketConn

	socket *net.UDPConn
}

// SetReadBuffer sets the size of the socket's receive buffer, in bytes.
func (plainconn plainConn) SetReadBuffer(size int) error {
	return plainconn.socket.SetReadBuffer(size)
}

// SetWriteBuffer sets the size of the socket's send buffer, in bytes.
func (plainconn plainConn) SetWriteBuffer(size int) error {
	return plainconn.socket.SetWriteBuffer(size)
}
