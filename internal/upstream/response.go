package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

var _ io.Reader = (*Response)(nil)

// Response is the answer of a server. It is used by one goroutine.
type Response struct {
	Status int
	Header http.Header

	answer     *http.Response
	connection *connection
	client     *Client
	// ended says that the whole body was read.
	ended bool
}

// Read implements io.Reader over the body.
func (response *Response) Read(buffer []byte) (int, error) {
	count, err := response.answer.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		response.ended = true
	}
	return count, err //nolint:wrapcheck // io.Reader's own errors
}

// Size returns how many bytes the body has, and reports false where the server did not state it.
func (response *Response) Size() (int64, bool) {
	return response.answer.ContentLength, response.answer.ContentLength >= 0
}

// SetReadDeadline bounds how long a read may wait.
func (response *Response) SetReadDeadline(deadline time.Time) error {
	return errors.WithStack(response.connection.conn.SetReadDeadline(deadline))
}

// framed reports whether the answer states where it ends.
func (response *Response) framed() bool {
	return response.answer.ContentLength >= 0 || len(response.answer.TransferEncoding) > 0
}

// Close ends the use of the connection. It is kept for idle when the whole
// answer was read, nothing is left over, and the server does not close it.
func (response *Response) Close(idle time.Duration) {
	connection := response.connection
	watched := connection.stop()
	clean := response.ended && response.framed() && !response.answer.Close && !connection.odd &&
		connection.wroteAll() && connection.reader.Buffered() == 0
	if !clean || !watched {
		connection.close()
		return
	}
	if err := connection.conn.SetReadDeadline(time.Time{}); err != nil {
		connection.close()
		return
	}
	response.client.keep(connection, idle)
}
