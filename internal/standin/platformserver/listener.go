package platformserver

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Listener accepts connections on which a server can send a response once more, late, or which it can reset.
type Listener struct {
	net.Listener

	mu sync.Mutex
	// conns has the connections that were accepted and not closed.
	conns map[*serverConn]bool
}

// NewListener returns a listener that accepts what inner does.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: make(map[*serverConn]bool)}
}

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	accepted := &serverConn{Conn: conn, listener: listener}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.conns[accepted] = true
	return accepted, nil
}

// Reset resets all open connections.
func (listener *Listener) Reset() {
	listener.mu.Lock()
	open := listener.conns
	listener.conns = make(map[*serverConn]bool)
	listener.mu.Unlock()
	for conn := range open {
		conn.reset()
	}
}

// serverConn is a connection to a client.
type serverConn struct {
	net.Conn

	listener *Listener
	mu       sync.Mutex
	// due is sent before the next bytes.
	due []byte
	// forgotten is whether the connection is reset when the next bytes arrive.
	forgotten bool
}

// Read implements net.Conn.
func (serverconn *serverConn) Read(buffer []byte) (int, error) {
	count, err := serverconn.Conn.Read(buffer)
	serverconn.mu.Lock()
	forgotten := serverconn.forgotten
	serverconn.mu.Unlock()
	if count > 0 && forgotten {
		serverconn.reset()
		return 0, net.ErrClosed
	}
	return count, err //nolint:wrapcheck // the error is that of the connection
}

// forgetConnection makes the server reset the connection of a request when the next one comes.
func forgetConnection(request *http.Request) {
	conn, ok := request.Context().Value(connKey{}).(*serverConn)
	if !ok {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.forgotten = true
}

// Write implements net.Conn.
func (serverconn *serverConn) Write(data []byte) (int, error) {
	serverconn.mu.Lock()
	defer serverconn.mu.Unlock()
	if _, err := serverconn.Conn.Write(serverconn.due); err != nil {
		return 0, err //nolint:wrapcheck // the error is that of the connection
	}
	serverconn.due = nil
	return serverconn.Conn.Write(data) //nolint:wrapcheck // the error is that of the connection
}

// sendLater sends bytes before the next response.
func (serverconn *serverConn) sendLater(data []byte) {
	serverconn.mu.Lock()
	defer serverconn.mu.Unlock()
	serverconn.due = data
}

// Close implements net.Conn.
func (serverconn *serverConn) Close() error {
	serverconn.listener.mu.Lock()
	delete(serverconn.listener.conns, serverconn)
	serverconn.listener.mu.Unlock()
	return serverconn.Conn.Close() //nolint:wrapcheck // the error is that of the connection
}

// reset closes the connection so that the client sees a reset.
func (serverconn *serverConn) reset() {
	if tcp, ok := serverconn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error the connection ends regularly
	}
	_ = serverconn.Close() // it may be closed already
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext is the http.Server.ConnContext of servers with a Listener.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// sendAgainLater sends a refusal once more before the next response on the connection of the request.
func sendAgainLater(writer http.ResponseWriter, request *http.Request, status string) {
	conn, ok := request.Context().Value(connKey{}).(*serverConn)
	if !ok || http.NewResponseController(writer).Flush() != nil {
		return
	}
	conn.sendLater([]byte("HTTP/1.1 " + status + "\r\n" + headerID + ": " + request.Header.Get(headerID) + "\r\n" +
		headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"))
}

// resetIfAborted is deferred by handlers of responses that end with their connection. When the handler aborts, it resets the
// connection, since a regular end would complete the response.
func resetIfAborted(request *http.Request) {
	aborted := recover()
	if aborted == nil {
		return
	}
	if conn, ok := request.Context().Value(connKey{}).(*serverConn); ok {
		conn.reset()
	}
	panic(aborted)
}
