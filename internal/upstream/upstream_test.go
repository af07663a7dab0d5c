package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// server is a raw server on loopback that answers each connection by a script.
type server struct {
	listener net.Listener
	accepted atomic.Int64
}

// newServer serves connections with script, one line of answers for each
// request read.
func newServer(t *testing.T, script func(conn net.Conn, requests *bufio.Reader, nth int64)) *server {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &server{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			nth := server.accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn), nth)
			}()
		}
	}()
	return server
}

func (server *server) address() string {
	return server.listener.Addr().String()
}

// readRequest reads one request whole, and reports whether there was one.
func readRequest(requests *bufio.Reader) (*http.Request, bool) {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request, err == nil
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(ctx context.Context, client *upstream.Client, address, id, body string) (string, error) {
	request := upstream.Request{
		Method: http.MethodPost, Target: "/a%2Fb?c", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte(body),
	}
	response, err := client.Send(ctx, address, request, func(header http.Header) bool { return header.Get("Request-Id") == id })
	if err != nil {
		return "", err
	}
	read, err := io.ReadAll(response)
	response.Close(0)
	return string(read), err
}

func newClient() *upstream.Client {
	return upstream.New(upstream.DefaultSettings(), network.New(network.DefaultSettings()), &heard{}, time.Now)
}

func TestSend(t *testing.T) {
	tests := map[string]struct {
		script func(conn net.Conn, requests *bufio.Reader, nth int64)
		// wantBodies has what two requests in a row must give, empty for an error.
		wantBodies [2]string
		// wantOpened is how many connections they must take.
		wantOpened int64
	}{
		"a connection is kept": {
			script:     echoes,
			wantBodies: [2]string{"/a%2Fb?c", "/a%2Fb?c"}, wantOpened: 1,
		},
		"not after a close that was announced": {
			script: func(conn net.Conn, requests *bufio.Reader, _ int64) {
				request, _ := readRequest(requests)
				text := reply(request.Header.Get("Request-Id"), "x")
				_, _ = io.WriteString(conn, strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1))
			},
			wantBodies: [2]string{"x", "x"}, wantOpened: 2,
		},
		"not with bytes after the answer": {
			script:     repeats,
			wantBodies: [2]string{"x", "x"}, wantOpened: 2,
		},
		"an answer to an earlier request is skipped": {
			script: func(conn net.Conn, requests *bufio.Reader, _ int64) {
				request, _ := readRequest(requests)
				_, _ = io.WriteString(conn, reply("another", "late")+reply(request.Header.Get("Request-Id"), "x"))
				_, _ = readRequest(requests)
			},
			wantBodies: [2]string{"x", "x"}, wantOpened: 2,
		},
		"no answer": {
			script:     func(_ net.Conn, requests *bufio.Reader, _ int64) { _, _ = readRequest(requests) },
			wantOpened: 2,
		},
		"an answer cut short": {
			script: func(conn net.Conn, requests *bufio.Reader, _ int64) {
				request, _ := readRequest(requests)
				text := reply(request.Header.Get("Request-Id"), "whole")
				_, _ = io.WriteString(conn, text[:len(text)-2])
			},
			wantOpened: 2,
		},
		"only answers to others": {
			script: func(conn net.Conn, requests *bufio.Reader, _ int64) {
				_, _ = readRequest(requests)
				_, _ = io.WriteString(conn, strings.Repeat(reply("another", "late"), 9))
			},
			wantOpened: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newServer(t, test.script)
			client := newClient()
			for i, want := range test.wantBodies {
				got, err := send(t.Context(), client, server.address(), fmt.Sprintf("id-%d", i), "b")
				checkAnswer(t, got, err, want)
			}
			assert.Equal(t, server.accepted.Load(), test.wantOpened)
			assert.Equal(t, client.Opened(), int(test.wantOpened))
		})
	}
}

// checkAnswer compares an answer with the wanted one, empty for an error.
func checkAnswer(t *testing.T, got string, err error, want string) {
	t.Helper()
	if want == "" {
		assert.Assert(t, err != nil)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, got, want)
}

// echoes answers all requests with their target.
func echoes(conn net.Conn, requests *bufio.Reader, _ int64) {
	for {
		request, ok := readRequest(requests)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, reply(request.Header.Get("Request-Id"), request.RequestURI))
	}
}

// repeats answers all requests twice.
func repeats(conn net.Conn, requests *bufio.Reader, _ int64) {
	for {
		request, ok := readRequest(requests)
		if !ok {
			return
		}
		id := request.Header.Get("Request-Id")
		_, _ = io.WriteString(conn, reply(id, "x")+reply(id, "again"))
	}
}

// TestAnswerBeforeTheBodyWasRead has a server that answers long requests without
// reading them. What it would read next on the connection is the rest of that
// body, so the connection must not be used again.
func TestAnswerBeforeTheBodyWasRead(t *testing.T) {
	over := make(chan struct{})
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
		request, err := http.ReadRequest(requests)
		if err == nil {
			_, _ = io.WriteString(conn, reply(request.Header.Get("Request-Id"), "x"))
		}
		<-over // nothing is read, so the body does not fit into what sockets hold
	})
	client := newClient()
	body := strings.Repeat("b", 64<<20)
	for i := range 2 {
		got, err := send(t.Context(), client, server.address(), fmt.Sprintf("id-%d", i), body)
		checkAnswer(t, got, err, "x")
	}
	close(over)
	assert.Equal(t, client.Opened(), 2)
}

func TestNothingListens(t *testing.T) {
	server := newServer(t, nil)
	_ = server.listener.Close()
	_, err := send(t.Context(), newClient(), server.address(), "id", "b")
	var notSent *upstream.NotSentError
	assert.Assert(t, errors.As(err, &notSent))
}

func TestSendEndsWithItsContext(t *testing.T) {
	closed := make(chan struct{})
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
		_, _ = readRequest(requests)
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := send(ctx, newClient(), server.address(), "id", "b")
	assert.ErrorIs(t, err, context.Canceled)
	<-closed
}

// barrier lets nobody pass before a number of them have come.
type barrier struct {
	waiting sync.WaitGroup
}

func newBarrier(count int) *barrier {
	barrier := &barrier{}
	barrier.waiting.Add(count)
	return barrier
}

func (barrier *barrier) pass() {
	barrier.waiting.Done()
	barrier.waiting.Wait()
}

// sendTogether sends requests of which none is answered before all have come, so that
// each takes a connection of its own, which is kept.
func sendTogether(t *testing.T, client *upstream.Client, address string, count int) {
	t.Helper()
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			_, err := send(t.Context(), client, address, fmt.Sprintf("first-%d", i), "")
			assert.Check(t, err)
		})
	}
	group.Wait()
}

// TestOpenConnectionsGoSilent has a way to a server on which open connections say
// nothing more, without a reset, while new ones work. Each kept connection held up
// one request of its own until it was known.
func TestOpenConnectionsGoSilent(t *testing.T) {
	const kept = 3
	together := newBarrier(kept)
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, nth int64) {
		for {
			request, ok := readRequest(requests)
			if !ok {
				return
			}
			if nth <= kept {
				together.pass()
			}
			_, _ = io.WriteString(conn, reply(request.Header.Get("Request-Id"), "whole"))
			if nth <= kept {
				_, _ = io.Copy(io.Discard, requests) // nothing is answered any more
				return
			}
		}
	})
	client := newClient()
	sendTogether(t, client, server.address(), kept)

	silent, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(100*time.Millisecond, func() { cancel(errors.New("server is silent")) })
	_, err := send(silent, client, server.address(), "lost", "")
	assert.ErrorContains(t, err, "server is silent")
	assert.Assert(t, !client.Kept(server.address()), "the others kept are as old")
	got, err := send(t.Context(), client, server.address(), "after", "")
	assert.NilError(t, err)
	assert.Equal(t, got, "whole")
}

// TestCallerThatLeavesKeepsConnections: a caller that left says nothing of a server.
func TestCallerThatLeavesKeepsConnections(t *testing.T) {
	const kept = 2
	together := newBarrier(kept)
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
		for {
			request, ok := readRequest(requests)
			if !ok {
				return
			}
			id := request.Header.Get("Request-Id")
			if id == "left" {
				continue
			}
			if strings.HasPrefix(id, "first") {
				together.pass()
			}
			_, _ = io.WriteString(conn, reply(id, "whole"))
		}
	})
	client := newClient()
	sendTogether(t, client, server.address(), kept)
	left, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := send(left, client, server.address(), "left", "")
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, client.Kept(server.address()))
}
