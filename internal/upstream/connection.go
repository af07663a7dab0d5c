package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/tunnel"
)

// maxSkipped is how many responses to earlier requests are skipped before the one to the current request.
const maxSkipped = 2

// maxInformational is how many informational responses (1xx) may precede a response.
const maxInformational = 10

// maxSkippedBytes bounds the body of a response that is skipped.
const maxSkippedBytes = 1 << 20

// errHeadTooLong is returned for a response whose head exceeds network.MaxHeadBytes, give or take what is buffered.
var errHeadTooLong = errors.New("head of the response is too long")

// maxInlineBytes is the size up to which a write to a socket does not block. A larger
// request is written in a goroutine of its own while the response is read, since a
// server may respond before it has read the request.
const maxInlineBytes = 2 << 10

// errSkipped is returned if maxSkipped responses were skipped and the next one does not match the request either.
var errSkipped = errors.New("no response matches the request")

// buffering is a connection that reads from another one and buffers what it received.
type buffering interface {
	Buffered() int
	NetConn() net.Conn
}

// connection is a connection to a server. It is used by one request at a time.
type connection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// pooled says that it came from the idle connections, so that an earlier request was sent on it.
	pooled bool
	// carried has the IDs of the requests that were sent on it, no ID twice.
	carried carried
	// expiresAt is when it expires while it is idle.
	expiresAt time.Time
	// stop unregisters close from the context of the current request. It reports false if close was called.
	stop func() bool
	once sync.Once
	// written is closed when the write of the request has ended; writeErr is set before.
	written  chan struct{}
	writeErr error
	// via is the VM that the connection leads through, or its zero value for a direct one.
	via tunnel.Peer
	// reusableUntil is until when a connection through a VM may take further requests.
	reusableUntil time.Time
	// endUntold says that it leads through a VM that does not tell how the server's side ended.
	endUntold bool
	// links records the bytes that arrive on a direct connection.
	links *reachability.Monitor
	// abandoned is set when the connection was closed since the VM's own links are cut.
	abandoned atomic.Bool
	// inHead says that the head of a response is being read, and headBytes how much was received since.
	inHead    bool
	headBytes int
	// outstanding says that a request was sent on it whose response has not ended.
	outstanding bool
	// heard says that a byte arrived on it.
	heard bool
	// skipped is how many responses were skipped. After the first one the connection must not be reused.
	skipped int
}

var _ io.Reader = (*connection)(nil)

// Read implements io.Reader. It reads from the network.
func (connection *connection) Read(buffer []byte) (int, error) {
	if connection.inHead && connection.headBytes >= network.MaxHeadBytes {
		return 0, errHeadTooLong
	}
	count, err := connection.conn.Read(buffer)
	if count > 0 && !connection.isTunnelled() {
		connection.heard = true
		connection.links.Heard()
	}
	connection.headBytes += count
	return count, err //nolint:wrapcheck // callers of io.Reader compare with io.EOF
}

// isTunnelled reports whether the connection leads through another VM.
func (connection *connection) isTunnelled() bool {
	return connection.via != (tunnel.Peer{})
}

// explain returns the error of a connection that failed, with what is known of the reason.
func (connection *connection) explain(err error) error {
	switch {
	case connection.abandoned.Load():
		return &PathError{Address: connection.address, Err: err}
	case connection.isTunnelled():
		return &PathError{Address: connection.address, Via: connection.via.Address, Err: err}
	default:
		return err
	}
}

func (connection *connection) close() {
	connection.once.Do(func() {
		_ = connection.conn.Close() // the connection is not used any more
	})
}

// isQuiet reports whether the connection is open and has no bytes to read.
func (connection *connection) isQuiet() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	socket := connection.conn
	if inner, ok := socket.(buffering); ok {
		if inner.Buffered() > 0 {
			return false
		}
		socket = inner.NetConn()
	}
	system, ok := socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && isQuiet
}

// roundTrip writes a request and reads responses up to the header of the one that matches.
func (connection *connection) roundTrip(request Request, matches func(http.Header) bool) (*Response, error) {
	connection.write(encode(request))
	for range maxSkipped + 1 {
		//nolint:bodyclose // Response.Close closes or reuses the connection
		httpResponse, err := connection.readFinalResponse(request.Method)
		if err != nil {
			return nil, err
		}
		if matches(httpResponse.Header) {
			return &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, httpResponse: httpResponse, connection: connection}, nil
		}
		connection.skipped++
		count, err := io.CopyN(io.Discard, httpResponse.Body, maxSkippedBytes)
		if !errors.Is(err, io.EOF) {
			return nil, errors.Newf("could not skip response of %s to an earlier request after %d bytes: %v", connection.address, count, err)
		}
	}
	return nil, errors.Wrapf(errSkipped, "%s", connection.address)
}

// readFinalResponse reads the next response to a request with the given method, and the informational
// ones (1xx) before it.
func (connection *connection) readFinalResponse(method string) (*http.Response, error) {
	for range maxInformational + 1 {
		response, err := connection.readHead(method)
		if err != nil {
			return nil, errors.Wrapf(err, "read response of %s", connection.address)
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.Newf("more than %d informational responses of %s", maxInformational, connection.address)
}

// readHead reads the head of the next response. The body is read through the response.
func (connection *connection) readHead(method string) (*http.Response, error) {
	connection.inHead, connection.headBytes = true, 0
	defer func() { connection.inHead = false }()
	return network.ReadResponse(connection.reader, &http.Request{Method: method}) //nolint:wrapcheck // the caller has the address
}

// write writes the request, in a goroutine of its own if it is larger than maxInlineBytes.
func (connection *connection) write(data []byte) {
	connection.written = make(chan struct{})
	write := func() {
		defer close(connection.written)
		_, connection.writeErr = connection.conn.Write(data)
	}
	if len(data) <= maxInlineBytes {
		write()
		return
	}
	go write()
}

// isWritten reports whether the whole request has been written.
func (connection *connection) isWritten() bool {
	select {
	case <-connection.written:
		return connection.writeErr == nil
	default:
		return false
	}
}
