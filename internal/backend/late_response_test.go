package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/tcptest"
)

// listen serves each connection to the returned address with a script.
func listen(t *testing.T, script func(conn net.Conn)) (address string) {
	t.Helper()
	return tcptest.NewServer(t, func(conn *net.TCPConn, _ int64) { script(conn) }).Address()
}

// sendLateCopies sends each response once more, late: before the response to the next request on the connection.
func sendLateCopies(status int, body string) func(conn net.Conn) {
	return func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		earlier := ""
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, earlier)
			earlier = fmt.Sprintf("HTTP/1.1 %d x\r\nBackend-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s",
				status, request.Header.Get("Backend-Attempt"), len(body), body)
			_, _ = io.WriteString(conn, earlier)
		}
	}
}

// TestLateResponseIsNotTakenForTheNextOne guards against a late second copy of a response being taken for the response to the next
// dispatch on the connection: a caller got the answer to another request, and a request that ran counted as not run.
func TestLateResponseIsNotTakenForTheNextOne(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		body   string
	}{
		"answer":  {status: http.StatusOK, body: "answer"},
		"refusal": {status: http.StatusServiceUnavailable, body: `{"reason":"full","not_run":true}`},
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, sendLateCopies(test.status, test.body))
			client := backend.NewHTTPBackend()
			// The first dispatch shows that the server echoes IDs, so that the next ones share a connection.
			for attempt := range 2 {
				_, err := client.Call(t.Context(), address, backend.Dispatch{Attempt: fmt.Sprint(attempt)})
				assert.Equal(t, err == nil, test.status == http.StatusOK)
			}
			_, err := client.Call(t.Context(), address, backend.Dispatch{Attempt: "2"})
			var notRun *backend.NotRunError
			assert.Assert(t, err != nil && !errors.As(err, &notRun), "the dispatch may have run: %v", err)
		})
	}
}

// TestLateReplyToACommandIsNotTakenForTheNextOne guards against a late second copy of the reply to a command being taken for the
// reply to the next one: memory that was released counted as not released.
func TestLateReplyToACommandIsNotTakenForTheNextOne(t *testing.T) {
	const refusal = "HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\n{}"
	address := listen(t, func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		for earlier := ""; ; earlier = refusal {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if request.Method == http.MethodPut {
				_, _ = io.WriteString(conn, refusal)
				continue
			}
			_, _ = io.WriteString(conn, earlier+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := backend.NewHTTPBackend()
	assert.Assert(t, client.Reserve(t.Context(), address, "r", backend.Reservation{Tokens: 1}) != nil)
	assert.NilError(t, client.Release(t.Context(), address, "r"))
}

// TestBackendThatDoesNotEchoIsServedOnFreshConnections guards against a backend server of a version that echoes no IDs getting no
// requests, or late responses of it being taken for others.
func TestBackendThatDoesNotEchoIsServedOnFreshConnections(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	address := listen(t, func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		for earlier := ""; ; {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			attempt := request.Header.Get("Backend-Attempt")
			_, _ = io.WriteString(conn, earlier)
			earlier = fmt.Sprintf(answer, len(attempt), attempt)
			_, _ = io.WriteString(conn, earlier)
		}
	})
	client := backend.NewHTTPBackend()
	for _, attempt := range []string{"1", "2", "3"} {
		body, err := client.Call(t.Context(), address, backend.Dispatch{Attempt: attempt})
		assert.NilError(t, err)
		assert.Equal(t, string(body), attempt)
	}
}
