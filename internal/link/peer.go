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

// Bounds on a link.
const (
	maxFrameBytes    = 64 << 20
	sendTimeout      = 5 * time.Second
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 5 * time.Second
	keepAlive        = time.Second
)

// Options say how datagrams are sent.
type Options struct {
	// PlainDatagrams avoids segmentation offload, ECN and path MTU probing.
	PlainDatagrams bool
}

// Peer is the other end of a link.
type Peer struct {
	conn   *quic.Conn
	stream *quic.Stream
	reader *bufio.Reader

	// mu makes frames whole on the stream.
	mu     sync.Mutex
	writer *bufio.Writer
	// closeSocket ends what only this link uses.
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

// Send writes one frame. It fails if the other end does not read.
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

// ReceiveWithin is Receive, but fails if no frame comes in that time.
func (peer *Peer) ReceiveWithin(limit time.Duration, message proto.Message) error {
	err := peer.stream.SetReadDeadline(time.Now().Add(limit))
	if err != nil {
		return errors.Wrap(err, "link: receive")
	}
	return peer.Receive(message)
}

// Receive reads the next frame into message.
func (peer *Peer) Receive(message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	return errors.Wrap(options.UnmarshalFrom(peer.reader, message), "link: receive")
}

// Close ends the link.
func (peer *Peer) Close() {
	_ = peer.conn.CloseWithError(0, "")
	peer.closeSocket()
}

// Dial opens a link to address.
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

func (options Options) config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlive,
		DisablePathMTUDiscovery: options.PlainDatagrams,
	}
}

// wrap hides what a UDP socket can do beyond plain datagrams.
func (options Options) wrap(socket *net.UDPConn) net.PacketConn {
	if !options.PlainDatagrams {
		return socket
	}
	return plainConn{PacketConn: socket, socket: socket}
}

// plainConn has the methods of net.PacketConn only, and those that size its
// buffers.
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
