package platformserver

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Plain is a simulated server of a plain service. It refuses requests beyond its
// number of concurrent requests.
type Plain struct {
	*server

	processingTime time.Duration
	slots          chan struct{}
}

var _ http.Handler = (*Plain)(nil)

// NewPlain returns a server with the given number of concurrent requests and
// processing time. The seed determines which requests are affected by faults.
func NewPlain(identity Identity, slots int, processingTime time.Duration, record *Record, seed uint64) *Plain {
	return &Plain{server: newServer(identity, record, seed), processingTime: processingTime, slots: make(chan struct{}, slots)}
}

// PlainBody returns the response body for the request with the given ID.
func PlainBody(id string) string {
	return "answer to " + id
}

// ServeHTTP implements http.Handler.
func (plain *Plain) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body := readBody(writer, request)
	drawnFaults, ok := plain.checkRequest(writer, request)
	if !ok {
		return
	}
	select {
	case plain.slots <- struct{}{}:
		defer func() { <-plain.slots }()
	default:
		writeNotRun(writer, request, http.StatusServiceUnavailable, "")
		return
	}
	defer plain.recordRun(request, body)()
	select {
	case <-time.After(time.Duration(plain.slowdown() * float64(plain.processingTime))):
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
	plain.reply(writer, request, drawnFaults)
}

// reply writes the response to a request that ran, subject to its faults.
func (plain *Plain) reply(writer http.ResponseWriter, request *http.Request, drawnFaults requestFaults) {
	id := request.Header.Get(headerID)
	reply := PlainBody(id)
	plain.setResponseHeaders(writer, request)
	if drawnFaults.unframed {
		defer resetIfAborted(request)
		plain.replyUnframed(writer, reply, drawnFaults)
		return
	}
	if drawnFaults.forgotten {
		forgetConnection(request)
	}
	switch {
	case drawnFaults.garbled:
		sendNoResponse(writer)
		return
	case drawnFaults.lost:
		panic(http.ErrAbortHandler)
	case drawnFaults.errors:
		writer.WriteHeader(http.StatusInternalServerError)
		return
	case drawnFaults.cut:
		writer.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		_, _ = io.WriteString(writer, reply[:len(reply)/2]) //nolint:gosec // plain text; fails only if the client has disconnected
		_ = http.NewResponseController(writer).Flush()      // fails only if the client has disconnected
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	_, _ = io.WriteString(writer, reply) //nolint:gosec // plain text; fails only if the client has disconnected
	if drawnFaults.extra {
		sendExtraResponse(writer)
	}
}

// noResponse are bytes that are no response: their status is none.
const noResponse = "HTTP/1.1 000 \x00\r\n\r\n"

// sendNoResponse sends noResponse and closes the connection.
func sendNoResponse(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, noResponse) // fails only if the client has disconnected
	_ = conn.Close()                        // it may be closed already
}

// unframedPause is the pause between the two parts of an unframed response.
const unframedPause = 40 * time.Millisecond

// replyUnframed writes a response that ends with its connection, subject to its faults.
func (plain *Plain) replyUnframed(writer http.ResponseWriter, reply string, drawnFaults requestFaults) {
	setUnframed(writer)
	_, _ = io.WriteString(writer, reply[:len(reply)/2]) //nolint:gosec // plain text; fails only if the client has disconnected
	_ = http.NewResponseController(writer).Flush()      // fails only if the client has disconnected
	time.Sleep(unframedPause)
	if drawnFaults.cut || drawnFaults.lost || drawnFaults.errors {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, reply[len(reply)/2:]) //nolint:gosec // plain text; fails only if the client has disconnected
}
