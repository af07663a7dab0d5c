package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/backend"
)

// TestAnswerWithoutAStatedEndIsNotWhole guards against part of an answer passing as the whole: cut off by the end of the connection, or
// at the size limit.
func TestAnswerWithoutAStatedEndIsNotWhole(t *testing.T) {
	const limit = 16 << 20
	for name, test := range map[string]struct {
		framing string
		body    string
		wantErr bool
	}{
		"length":                  {framing: "Content-Length: 4\r\n", body: "body"},
		"chunks":                  {framing: "Transfer-Encoding: chunked\r\n", body: "4\r\nbody\r\n0\r\n\r\n"},
		"ends with connection":    {framing: "Connection: close\r\n", body: "body", wantErr: true},
		"length, cut":             {framing: "Content-Length: 5\r\n", body: "body", wantErr: true},
		"chunks, cut":             {framing: "Transfer-Encoding: chunked\r\n", body: "4\r\nbody\r\n", wantErr: true},
		"as long as the limit":    {framing: "Content-Length: " + strconv.Itoa(limit) + "\r\n", body: strings.Repeat("b", limit)},
		"longer than the limit":   {framing: "Content-Length: " + strconv.Itoa(limit+1) + "\r\n", body: strings.Repeat("b", limit+1), wantErr: true},
		"empty, without a length": {framing: "Connection: close\r\n", wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(conn net.Conn) {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nBackend-Attempt: "+request.Header.Get("Backend-Attempt")+"\r\n"+test.framing+"\r\n"+test.body)
			})
			body, err := backend.NewHTTPBackend().Call(t.Context(), address, backend.Dispatch{Attempt: "1"})
			var notRun *backend.NotRunError
			assert.Equal(t, err != nil, test.wantErr, "%d bytes, %v", len(body), err)
			assert.Assert(t, !errors.As(err, &notRun), "the call may have run: %v", err)
		})
	}
}
