package tunnel

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
)

// connect opens a tunnel through another VM, which with endTold must be one that tells how the server's side ends.
func (dialer *Dialer) connect(ctx context.Context, peer, address string, endTold bool) (net.Conn, error) {
	conn, err := dialer.network.Dial(ctx, peer)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to VM at %s", peer)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks the exchange below
	tunnelled, err := dialer.handshake(ctx, conn, peer, address)
	if !stop() && err == nil {
		err = errors.WithStack(ctx.Err())
	}
	if err == nil {
		dialer.recordFraming(peer, tellsEnd(tunnelled))
		err = checkEndTold(tunnelled, endTold)
	}
	if err != nil {
		_ = conn.Close() // nothing was sent through it
		return nil, err
	}
	return tunnelled, nil
}

// checkEndTold returns an error if a connection has to tell how the server's side ended and does not.
func checkEndTold(conn net.Conn, required bool) error {
	if required && !tellsEnd(conn) {
		return errors.WithStack(errEndUntold)
	}
	return nil
}

// handshake requests a tunnel on a connection to another VM. It returns the connection to the server.
func (dialer *Dialer) handshake(ctx context.Context, conn net.Conn, peer, address string) (net.Conn, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodConnect, "http://"+address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "tunnel request")
	}
	if dialer.settings.Frames {
		request.Header.Set(headerFrames, framesVersion)
	}
	if err := request.Write(conn); err != nil {
		return nil, errors.Wrapf(err, "request tunnel of VM at %s", peer)
	}
	head := &io.LimitedReader{R: conn, N: network.MaxHeadBytes}
	reader := bufio.NewReader(head)
	response, err := network.ReadResponse(reader, request) //nolint:bodyclose // the response to CONNECT has no body; the caller closes conn
	if err != nil {
		return nil, errors.Wrapf(err, "request tunnel of VM at %s", peer)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &RefusedError{Peer: peer, Status: response.StatusCode, ByServer: response.Header.Get(headerByServer) != ""}
	}
	if reader.Buffered() > 0 {
		return nil, errors.Newf("bytes before the request in a tunnel of VM at %s", peer)
	}
	if response.Header.Get(headerFrames) != framesVersion {
		return unframedConn{Conn: conn}, nil
	}
	head.N = math.MaxInt64
	return newFramedConn(conn, reader), nil
}
