package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
)

var _ io.Reader = (*Response)(nil)

// Response is the response of a server. It is not safe for concurrent use, and must be closed.
type Response struct {
	Status int
	Header http.Header
	// Via is the address of the VM that the connection leads through, or empty for a direct one.
	Via string

	httpResponse *http.Response
	connection   *connection
	client       *Client
	// bodyRead says that the whole body was read.
	bodyRead bool
}

// Read implements io.Reader. It reads the body.
func (response *Response) Read(buffer []byte) (int, error) {
	count, err := response.httpResponse.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		response.bodyRead = true
		return count, io.EOF
	}
	if err != nil {
		err = response.connection.explain(err)
	}
	return count, err
}

// Size returns the size of the body in bytes. It reports false if the header does not state it.
func (response *Response) Size() (int64, bool) {
	return response.httpResponse.ContentLength, response.httpResponse.ContentLength >= 0
}

// StatesEnd reports whether the response states its own end, so that it does not end with the connection.
func (response *Response) StatesEnd() bool {
	return network.StatesEnd(response.httpResponse)
}

// Unfinished returns the error of a response that doesn't state its own end and ended with the connection before it was complete.
func (response *Response) Unfinished() error {
	return response.connection.explain(io.ErrUnexpectedEOF)
}

// Close ends the use of the connection. It becomes idle if the whole response was
// read, no byte follows it, and the server does not close the connection; otherwise
// it is closed. idle is the idle timeout that the server advertised, or zero.
func (response *Response) Close(idle time.Duration) {
	connection := response.connection
	response.client.end(connection)
	unregistered := connection.stop()
	reusable := response.bodyRead && response.StatesEnd() && !response.httpResponse.Close && connection.skipped == 0 &&
		connection.isWritten() && connection.reader.Buffered() == 0
	if !reusable || !unregistered {
		connection.close()
		return
	}
	response.client.release(connection, idle)
}
