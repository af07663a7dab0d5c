package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxSurplus is how many answers to earlier requests are skipped.
const maxSurplus = 2

// maxSurplusBytes bounds the body of an answer that is skipped.
const maxSurplusBytes = 1 << 20

// inlineBytes is what any socket takes at once; larger requests are written
// beside reading, since a server may answer before it has read them.
const inlineBytes = 2 << 10

// errSurplus says that too many answers to other requests came.
var errSurplus = errors.New("answers to other requests only")

// connection is one connection to a server, used by one request at a time.
type connection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// kept says that an earlier request used it.
	kept bool
	// goodUntil is until when it may be taken while it is kept.
	goodUntil time.Time
	// stop ends the watch over the context of the request in progress.
	stop func() bool
	once sync.Once
	// written is closed when the whole request has been written.
	written  chan struct{}
	writeErr error
	// odd says that something was out of the ordinary.
	odd bool
}

func (connection *connection) close() {
	connection.once.Do(func() {
		_ = connection.conn.Close() // nothing is left to do with it
	})
}

// quiet reports whether the connection is open and has no bytes to read.
func (connection *connection) quiet() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	system, ok := connection.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// roundTrip writes a request and reads the head of its answer.
func (connection *connection) roundTrip(request Request, fits func(http.Header) bool) (*Response, error) {
	connection.write(encode(request))
	for range maxSurplus + 1 {
		//nolint:bodyclose // the connection is closed, or kept once the body was read
		answer, err := http.ReadResponse(connection.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, errors.Wrapf(err, "answer of %s", connection.address)
		}
		if answer.StatusCode >= http.StatusContinue && answer.StatusCode < http.StatusOK {
			continue
		}
		if fits(answer.Header) {
			return &Response{Status: answer.StatusCode, Header: answer.Header, answer: answer, connection: connection}, nil
		}
		connection.odd = true
		skipped, err := io.CopyN(io.Discard, answer.Body, maxSurplusBytes)
		if !errors.Is(err, io.EOF) {
			return nil, errors.Newf("surplus answer of %s not skipped after %d bytes: %v", connection.address, skipped, err)
		}
	}
	return nil, errors.Wrapf(errSurplus, "%s", connection.address)
}

// write writes the request, beside reading when it is long.
func (connection *connection) write(data []byte) {
	connection.written = make(chan struct{})
	write := func() {
		defer close(connection.written)
		_, connection.writeErr = connection.conn.Write(data)
	}
	if len(data) <= inlineBytes {
		write()
		return
	}
	go write()
}

// wroteAll reports whether the whole request has been written by now.
func (connection *connection) wroteAll() bool {
	select {
	case <-connection.written:
		return connection.writeErr == nil
	default:
		return false
	}
}
