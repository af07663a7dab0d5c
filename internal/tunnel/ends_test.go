package tunnel_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/tcptest"
	"github.com/mastwinch/mastwinch/internal/tunnel"
)

const sentByServer = "bytes of the server"

// copiedBytes is more than a tunnel copies at once.
const copiedBytes = 64 << 10

// listenTCP serves each connection to a loopback address with a script.
func listenTCP(t *testing.T, script func(conn *net.TCPConn)) (address string) {
	t.Helper()
	return tcptest.NewServer(t, func(conn *net.TCPConn, _ int64) { script(conn) }).Address()
}

// anyServer is a tunnel.Servers that knows all addresses.
type anyServer struct{}

func (anyServer) HasAddress(string) bool { return true }

// onePeer is a tunnel.Peers with one VM.
type onePeer string

func (onePeer onePeer) TunnelPeers() (live, others []tunnel.Peer) {
	return []tunnel.Peer{{Address: string(onePeer)}}, nil
}

// servePeer starts a VM that serves tunnels with a handler.
func servePeer(t *testing.T, handler http.Handler) onePeer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return onePeer(listener.Addr().String())
}

// newPeer starts a VM that serves tunnels as this version does.
func newPeer(t *testing.T, dial func(ctx context.Context, address string) (net.Conn, error)) onePeer {
	t.Helper()
	return servePeer(t, tunnel.NewServer(tunnel.DefaultSettings(), newLinks(), anyServer{}, dial, discard()))
}

// endingPeer starts a VM that accepts a request for a tunnel, sends some bytes after it received one, and then dies: the system ends
// its connections.
func endingPeer(t *testing.T, acceptance, sent string) onePeer {
	t.Helper()
	return servePeer(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, acceptance)
		_, _ = buffered.ReadByte()
		_, _ = io.WriteString(conn, sent)
		_ = conn.Close()
	}))
}

// dialThrough opens a tunnel to a server through a VM. It takes as long as a busy machine needs.
func dialThrough(t *testing.T, peer onePeer, address string) tunnel.Connection {
	t.Helper()
	links := newLinks()
	links.Failed("10.0.2.2:80")
	links.Failed("10.0.2.3:80")
	links.TakeProbe()
	settings := tunnel.DefaultSettings()
	settings.OpenTimeout, settings.Stagger = time.Minute, time.Minute
	dialer := tunnel.NewDialer(settings, links, network.New(network.DefaultSettings()), peer, discard(), time.Now)
	connection, err := dialer.Dial(t.Context(), address, tunnel.Requirements{}, refuse)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// TestTunnelTellsHowTheServersSideEnded guards against a reset by the server, a failed link, or the death of the VM that serves the
// tunnel being taken for the server's regular end: part of an answer without a length then counts as the whole.
func TestTunnelTellsHowTheServersSideEnded(t *testing.T) {
	dial := network.New(network.DefaultSettings()).Dial
	awaitRequest := func(conn *net.TCPConn) { _, _ = conn.Read(make([]byte, 1)) }
	regular := func(conn *net.TCPConn) {
		awaitRequest(conn)
		_, _ = io.WriteString(conn, sentByServer)
		_ = conn.Close()
	}
	reset := func(conn *net.TCPConn) {
		awaitRequest(conn)
		_, _ = io.WriteString(conn, sentByServer)
		time.Sleep(50 * time.Millisecond) // until the bytes were read
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	const oldAcceptance, newAcceptance = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTunnel-Frames: 1\r\n\r\n"
	const frame = "\x15\x0a\x13" + sentByServer
	for name, test := range map[string]struct {
		server func(conn *net.TCPConn)
		peer   func(t *testing.T) onePeer
		// wantRest are the bytes that come after sentByServer.
		wantRest string
		// wantErr is the error after the bytes; nil stands for a *tunnel.BrokenError.
		wantErr error
	}{
		"server ends":   {server: regular, peer: func(t *testing.T) onePeer { t.Helper(); return newPeer(t, dial) }, wantErr: io.EOF},
		"server resets": {server: reset, peer: func(t *testing.T) onePeer { t.Helper(); return newPeer(t, dial) }, wantErr: tunnel.ErrServerReset},
		"link to the server times out": {
			server: func(conn *net.TCPConn) {
				awaitRequest(conn)
				_, _ = io.WriteString(conn, sentByServer)
				awaitRequest(conn)
			},
			peer: func(t *testing.T) onePeer {
				t.Helper()
				return newPeer(t, func(ctx context.Context, address string) (net.Conn, error) {
					conn, err := dial(ctx, address)
					if err == nil {
						err = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
					}
					return conn, err
				})
			},
		},
		"VM dies": {peer: func(t *testing.T) onePeer { t.Helper(); return endingPeer(t, newAcceptance, frame) }},
		"VM dies within a frame": {peer: func(t *testing.T) onePeer {
			t.Helper()
			return endingPeer(t, newAcceptance, frame+frame[:5])
		}, wantRest: sentByServer[:2]},
		"VM of the old version passes on an end": {peer: func(t *testing.T) onePeer { t.Helper(); return endingPeer(t, oldAcceptance, sentByServer) }},
		"frame is malformed": {peer: func(t *testing.T) onePeer {
			t.Helper()
			return endingPeer(t, newAcceptance, frame+"\xff\xff\xff\xff\xff\xff")
		}},
		"unknown end": {peer: func(t *testing.T) onePeer { t.Helper(); return endingPeer(t, newAcceptance, frame+"\x02\x10\x09") }},
	} {
		t.Run(name, func(t *testing.T) {
			address := "127.0.0.1:9"
			if test.server != nil {
				address = listenTCP(t, test.server)
			}
			connection := dialThrough(t, test.peer(t), address)
			_, err := io.WriteString(connection, "x")
			assert.NilError(t, err)
			got := make([]byte, len(sentByServer))
			_, err = io.ReadFull(connection, got)
			assert.NilError(t, err)
			assert.Equal(t, string(got), sentByServer)
			rest, err := io.ReadAll(connection)
			assert.Equal(t, string(rest), test.wantRest)
			if err == nil {
				err = io.EOF
			}
			if test.wantErr != nil {
				assert.ErrorIs(t, err, test.wantErr)
				return
			}
			var broken *tunnel.BrokenError
			assert.Assert(t, errors.As(err, &broken), "%v", err)
		})
	}
}

// writeUntilError writes to a connection until that fails.
func writeUntilError(conn net.Conn) {
	for err := error(nil); err == nil; {
		_, err = conn.Write(make([]byte, copiedBytes))
	}
}

// TestTunnelTellsOfAResetWhileTheBodyIsSent guards against a reset by the server being taken for its regular end by the VM that serves
// the tunnel, since it was the copy of the request that came upon it.
func TestTunnelTellsOfAResetWhileTheBodyIsSent(t *testing.T) {
	for range 30 {
		address := listenTCP(t, func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1))
			_, _ = io.WriteString(conn, sentByServer)
			time.Sleep(5 * time.Millisecond) // until the bytes were read
			_ = conn.SetLinger(0)
			_ = conn.Close()
		})
		connection := dialThrough(t, newPeer(t, network.New(network.DefaultSettings()).Dial), address)
		go writeUntilError(connection)
		got, err := io.ReadAll(connection)
		assert.Equal(t, string(got), sentByServer)
		assert.ErrorIs(t, err, tunnel.ErrServerReset)
	}
}

// lateReader is a connection that is not read until a write to it has failed.
type lateReader struct {
	net.Conn

	failed chan struct{}
	once   sync.Once
}

func (latereader *lateReader) Write(buffer []byte) (int, error) {
	count, err := latereader.Conn.Write(buffer)
	if err != nil {
		latereader.once.Do(func() { close(latereader.failed) })
	}
	return count, err //nolint:wrapcheck // the error is that of the connection
}

func (latereader *lateReader) Read(buffer []byte) (int, error) {
	<-latereader.failed
	return latereader.Conn.Read(buffer) //nolint:wrapcheck // callers of io.Reader compare with io.EOF
}

// TestAnswerBeforeTheBodyWasReadPassesTheTunnel guards against an answer, or how it ended, being lost at the VM that serves the tunnel: a
// server answers before it has read the whole request, and reads no more of it.
func TestAnswerBeforeTheBodyWasReadPassesTheTunnel(t *testing.T) {
	dial := network.New(network.DefaultSettings()).Dial
	for name, test := range map[string]struct {
		end     func(conn *net.TCPConn) error
		wantErr error
	}{
		"server resets": {end: func(conn *net.TCPConn) error { return conn.SetLinger(0) }, wantErr: tunnel.ErrServerReset},
		"server ends":   {end: (*net.TCPConn).CloseWrite},
	} {
		t.Run(name, func(t *testing.T) {
			address := listenTCP(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, sentByServer)
				_ = test.end(conn)
				_ = conn.Close()
			})
			peer := newPeer(t, func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				return &lateReader{Conn: conn, failed: make(chan struct{})}, err
			})
			connection := dialThrough(t, peer, address)
			go writeUntilError(connection)
			got, err := io.ReadAll(connection)
			assert.Equal(t, string(got), sentByServer)
			assert.ErrorIs(t, err, test.wantErr)
		})
	}
}

// TestVMOfTheOldVersionGetsNoFrames requests a tunnel as the old version did. It guards against a VM of that version taking a reset by the
// server for its regular end, which the old version tells apart by the connection alone.
func TestVMOfTheOldVersionGetsNoFrames(t *testing.T) {
	for name, test := range map[string]struct {
		end     func(conn *net.TCPConn)
		wantErr error
	}{
		"server ends":   {end: func(*net.TCPConn) {}},
		"server resets": {end: func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, wantErr: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			address := listenTCP(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, sentByServer)
				test.end(conn)
				_ = conn.Close()
			})
			network := network.New(network.DefaultSettings())
			conn, err := network.Dial(t.Context(), string(newPeer(t, network.Dial)))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n\r\nx")
			assert.NilError(t, err)
			got, err := io.ReadAll(conn)
			assert.Equal(t, string(got), "HTTP/1.1 200 OK\r\n\r\n"+sentByServer)
			assert.ErrorIs(t, err, test.wantErr)
		})
	}
}
