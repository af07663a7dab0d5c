package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/upstream"
)

// TestAnswerThatIsResetWhileTheBodyIsSentIsNotWhole guards against part of an answer without a length passing as the whole: a server
// that answers before it has read the request, and resets the connection while the body is still on its way.
func TestAnswerThatIsResetWhileTheBodyIsSentIsNotWhole(t *testing.T) {
	settings := upstream.DefaultSettings()
	settings.OpenMin, settings.OpenMax = time.Minute, time.Minute // a busy machine may need longer than a sound server
	for range 30 {
		server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
			_, _ = http.ReadRequest(requests)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: a\r\n\r\nhalf of an")
			time.Sleep(5 * time.Millisecond) // until the bytes were read
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		request := upstream.Request{ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 8<<20)}
		response, err := newClientWith(settings).Send(t.Context(), server.Address(), request, func(http.Header) bool { return true })
		assert.NilError(t, err)
		body, err := io.ReadAll(response)
		response.Close(0)
		assert.Equal(t, string(body), "half of an")
		assert.Assert(t, err != nil, "part of the answer passes as the whole")
	}
}
