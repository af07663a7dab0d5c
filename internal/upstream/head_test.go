package upstream_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadsOfResponsesAreBounded guards against a server whose head of a response has no end: it was read until the deadline, into
// memory.
func TestHeadsOfResponsesAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		head    string
		wantErr bool
	}{
		"long field":         {head: "HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nA: " + strings.Repeat("a", 32<<10) + "\r\nContent-Length: 1\r\n\r\nx"},
		"endless field":      {head: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 8<<20), wantErr: true},
		"endless fields":     {head: "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 1<<20), wantErr: true},
		"endless status":     {head: "HTTP/1.1 200 " + strings.Repeat("a", 8<<20), wantErr: true},
		"informational":      {head: strings.Repeat("HTTP/1.1 103 x\r\nA: "+strings.Repeat("a", 32<<10)+"\r\n\r\n", 4) + reply("id-0", "x")},
		"body of any length": {head: reply("id-0", strings.Repeat("b", 8<<20))},
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)
			server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
				_, _ = readRequest(requests)
				_, _ = io.WriteString(conn, test.head)
				<-done // the connection stays open: only a bound ends the wait for the rest
			})
			_, err := send(t.Context(), newClient(), server.Address(), "id-0", "")
			assert.Equal(t, err != nil, test.wantErr, "%v", err)
		})
	}
}

// TestAnswerWithoutEndEndsAnUpload checks that a server that answers without end, and doesn't read the request, holds neither the
// request nor its connection.
func TestAnswerWithoutEndEndsAnUpload(t *testing.T) {
	for name, begin := range map[string]string{
		"status line": "HTTP/1.1 200 ",
		"field":       "HTTP/1.1 200 OK\r\nA: ",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			server := newServer(t, func(conn net.Conn, _ *bufio.Reader, _ int64) {
				defer close(closed)
				_, err := io.WriteString(conn, begin)
				for err == nil {
					_, err = io.WriteString(conn, strings.Repeat("0", 1<<10))
				}
			})
			_, err := send(t.Context(), newClient(), server.Address(), "id-0", strings.Repeat("b", 32<<20))
			assert.Assert(t, err != nil)
			<-closed
		})
	}
}
