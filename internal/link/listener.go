package link

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Listener accepts links from other processes.
type Listener struct {
	transport *quic.Transport
	socket    *net.UDPConn
	listener  *quic.Listener
}

// Listen listens on the UDP address. Links are accepted when Serve is called.
func Listen(address string, credentials Credentials, options Options) (*Listener, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "link: listen %s", address)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, errors.Wrapf(err, "link: listen %s", address)
	}
	transport := &quic.Transport{Conn: options.wrap(socket)}
	listener, err := transport.Listen(credentials.config(), options.config())
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrapf(err, "link: listen %s", address)
	}
	return &Listener{transport: transport, socket: socket, listener: listener}, nil
}

// Address returns the local address, with the port that was assigned if the
// requested one was 0.
func (listener *Listener) Address() string {
	return listener.socket.LocalAddr().String()
}

// Serve accepts links until ctx is done, and calls handle for each in a goroutine of
// its own. A link is closed when handle returns or ctx is done. Serve closes the
// listener when it returns.
func (listener *Listener) Serve(ctx context.Context, handle func(context.Context, *Peer)) error {
	defer listener.close()
	for {
		conn, err := listener.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "link: accept")
		}
		go listener.serve(ctx, conn, handle)
	}
}

// serve waits for the link's stream and calls handle.
func (listener *Listener) serve(ctx context.Context, conn *quic.Conn, handle func(context.Context, *Peer)) {
	acceptCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(acceptCtx)
	if err != nil {
		_ = conn.CloseWithError(0, "no stream")
		return
	}
	peer := newPeer(conn, stream, func() {})
	defer peer.Close()
	stop := context.AfterFunc(ctx, peer.Close)
	defer stop()
	handle(ctx, peer)
}

func (listener *Listener) close() {
	_ = listener.listener.Close()
	_ = listener.transport.Close()
	_ = listener.socket.Close()
}
