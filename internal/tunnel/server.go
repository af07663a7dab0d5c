package tunnel

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/reachability"
)

// copyBufferSize is the size of the buffer for each direction of a tunnel, in bytes.
const copyBufferSize = 8 << 10

// closeWait is how long after the end of a server's response the other VM may take to read it and to close the tunnel.
const closeWait = 5 * time.Second

// Responses that open a tunnel.
const (
	acceptance       = "HTTP/1.1 200 OK\r\n\r\n"
	framedAcceptance = "HTTP/1.1 200 OK\r\n" + headerFrames + ": " + framesVersion + "\r\n\r\n"
)

// Servers is what a VM that serves tunnels knows of the servers.
type Servers interface {
	// HasAddress reports whether a known server has the address.
	HasAddress(address string) bool
}

// Server serves tunnels of other VMs. It is safe for concurrent use.
type Server struct {
	settings Settings
	links    *reachability.Monitor
	servers  Servers
	// dial opens a connection over the VM's own links.
	dial   func(ctx context.Context, address string) (net.Conn, error)
	logger *slog.Logger

	stopping atomic.Bool
	open     atomic.Int64

	mu sync.Mutex
	// served counts requests for tunnels by the HTTP status of the response.
	served map[int]int
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a server of tunnels to known servers.
func NewServer(
	settings Settings, links *reachability.Monitor, servers Servers,
	dial func(ctx context.Context, address string) (net.Conn, error), logger *slog.Logger,
) *Server {
	return &Server{settings: settings, links: links, servers: servers, dial: dial, logger: logger, served: make(map[int]int)}
}

// Open returns how many tunnels are open.
func (server *Server) Open() int64 { return server.open.Load() }

// Stop refuses new tunnels from now on. Those that are open stay.
func (server *Server) Stop() { server.stopping.Store(true) }

// Statuses are the HTTP statuses with which requests for tunnels are answered.
func Statuses() []int {
	return []int{http.StatusOK, http.StatusForbidden, http.StatusBadGateway, http.StatusServiceUnavailable}
}

// Served returns how many requests for tunnels were answered with a status.
func (server *Server) Served(status int) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.served[status]
}

// ServeHTTP implements http.Handler for CONNECT requests. It returns when the tunnel has ended.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	defer server.open.Add(-1)
	mayOpen := server.open.Add(1) <= int64(server.settings.MaxOpen) && server.accepts()
	conn, status, err := server.connect(request, mayOpen)
	server.count(status)
	if conn != nil {
		server.serve(writer, conn, server.settings.Frames && request.Header.Get(headerFrames) == framesVersion)
		return
	}
	writer.Header().Set("Connection", "close")
	if network.IsRefused(err) {
		writer.Header().Set(headerByServer, "1")
	}
	writer.WriteHeader(status)
}

// accepts reports whether this VM serves tunnels now.
func (server *Server) accepts() bool {
	return server.settings.Enabled && !server.stopping.Load() && server.links.Verdict() != reachability.Unreachable
}

// connect opens the connection to the server of a tunnel. The connection is nil unless the status is 200. The error is that of the
// attempt to open it.
func (server *Server) connect(request *http.Request, mayOpen bool) (net.Conn, int, error) {
	address := request.Host
	if !mayOpen {
		return nil, http.StatusServiceUnavailable, nil
	}
	if !server.servers.HasAddress(address) {
		return nil, http.StatusForbidden, nil
	}
	conn, err := server.dial(request.Context(), address)
	if err != nil {
		server.logger.Info("no connection for a tunnel", "address", address, "peer", request.RemoteAddr, "error", err)
		return nil, http.StatusBadGateway, err
	}
	return conn, http.StatusOK, nil
}

func (server *Server) count(status int) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.served[status]++
}

// serve copies bytes between the connection of the request and that to the server until either ends. It sends those of the
// server in frames if the other VM asked for them.
func (server *Server) serve(writer http.ResponseWriter, toServer net.Conn, framed bool) {
	defer func() { _ = toServer.Close() }()
	toPeer, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		server.logger.Error("could not take over the connection for a tunnel", "error", err)
		return
	}
	defer func() { _ = toPeer.Close() }()
	_ = toPeer.SetDeadline(time.Time{}) // net/http may have set one; on a closed connection the copies fail
	accepted, copyToPeer := acceptance, copyUnframed
	if framed {
		accepted, copyToPeer = framedAcceptance, copyFrames
	}
	if _, err := io.WriteString(toPeer, accepted); err != nil {
		return
	}
	peerDone := make(chan struct{})
	go func() {
		defer close(peerDone)
		copyToServer(toServer, buffered)
	}()
	copyToPeer(toPeer, toServer)
	closeWrite(toPeer)
	select {
	case <-peerDone:
	case <-time.After(closeWait):
	}
}

// copyToServer copies what the other VM sends until its side ends, and closes the connection to the server then: the other VM has no
// use for the response any more. A server may respond and read no more of the request, so what it does not take is discarded and
// its response is read on.
func copyToServer(toServer io.WriteCloser, fromPeer io.Reader) {
	_ = copyAll(toServer, fromPeer)
	_, _ = io.Copy(io.Discard, fromPeer) // ends with the connection
	_ = toServer.Close()
}

// copyAll copies until the source ends regularly or either side fails. It returns the failure.
func copyAll(to io.Writer, from io.Reader) error {
	buffer := make([]byte, copyBufferSize)
	// The wrappers keep io.CopyBuffer from using a buffer of its own.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, buffer)
	return errors.WithStack(err)
}

// closeWrite ends what the other VM reads. It closes the connection where that cannot be done for one direction, since bytes
// that the other VM has sent and nobody reads would otherwise discard the end of the response.
func closeWrite(conn net.Conn) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || errors.Is(halfCloser.CloseWrite(), net.ErrClosed) {
		_ = conn.Close() // it may be closed already
	}
}
