package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/tcptest"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// newServer starts a server that runs script for each connection. nth counts the connections from 1.
func newServer(t tcptest.TestingT, script func(conn net.Conn, requests *bufio.Reader, nth int64)) *tcptest.Server {
	t.Helper()
	return tcptest.NewServer(t, func(conn *net.TCPConn, nth int64) { script(conn, bufio.NewReader(conn), nth) })
}

// readRequest reads one request with its body. It reports false if that failed.
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
		ID: id, Method: http.MethodPost, Target: "/a%2Fb?c", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte(body),
	}
	response, err := client.Send(ctx, address, request, func(header http.Header) bool { return header.Get("Request-Id") == id })
	if err != nil {
		return "", err
	}
	read, err := io.ReadAll(response)
	response.Close(0)
	return string(read), err
}

// newLinks returns a monitor of links that nothing speaks against.
func newLinks() *reachability.Monitor {
	return reachability.NewMonitor(reachability.DefaultSettings(), slog.New(slog.DiscardHandler), time.Now)
}

func newClient() *upstream.Client {
	return newClientWith(upstream.DefaultSettings())
}

func newClientWith(settings upstream.Settings) *upstream.Client {
	return upstream.New(settings, network.New(network.DefaultSettings()), &recorder{}, newLinks(), nil, time.Now)
}

func TestSend(t *testing.T) {
	tests := map[string]struct {
		script func(conn net.Conn, requests *bufio.Reader, nth int64)
		// wantBodies has the expected bodies for two requests in a row, empty for an error.
		wantBodies [2]string
		// wantOpened is the expected number of opened connections.
		wantOpened int64
	}{
		"connection is reused": {
			script:     echo,
			wantBodies: [2]string{"/a%2Fb?c", "/a%2Fb?c"}, wantOpened: 1,
		},
		"not reused after Connection: close": {
			script: func(conn net.Conn, requests *bufio.Reader, _ int64) {
				request, _ := readRequest(requests)
				text := reply(request.Header.Get("Request-Id"), "x")
				_, _ = io.WriteString(conn, strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1))
			},
			wantBodies: [2]string{"x", "x"}, wantOpened: 2,
		},
		"not reused with bytes after the response": {
			script:     respondTwice,
			wantBodies: [2]string{"x", "x"}, wantOpened: 2,
		},
		"response to an earlier request is skipped": {
			script: func(conn net.Conn, requests *bufio.Reader, _ int64) {
				request, _ := readRequest(requests)
				_, _ = io.WriteString(conn, reply("another", "late")+reply(request.Header.Get("Request-Id"), "x"))
				_, _ = readRequest(requests)
			},
			wantBodies: [2]string{"x", "x"}, wantOpened: 2,
		},
		"informational responses are not counted as skipped": {
			script: func(conn net.Conn, requests *bufio.Reader, _ int64) {
				early := strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 5)
				for range 2 {
					request, _ := readRequest(requests)
					_, _ = io.WriteString(conn, early+reply(request.Header.Get("Request-Id"), "x"))
				}
			},
			wantBodies: [2]string{"x", "x"}, wantOpened: 1,
		},
		"endless informational responses": {
			script: func(conn net.Conn, requests *bufio.Reader, _ int64) {
				_, _ = readRequest(requests)
				_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100))
			},
			wantOpened: 2,
		},
		"no response": {
			script:     func(_ net.Conn, requests *bufio.Reader, _ int64) { _, _ = readRequest(requests) },
			wantOpened: 2,
		},
		"truncated response": {
			script: func(conn net.Conn, requests *bufio.Reader, _ int64) {
				request, _ := readRequest(requests)
				text := reply(request.Header.Get("Request-Id"), "whole")
				_, _ = io.WriteString(conn, text[:len(text)-2])
			},
			wantOpened: 2,
		},
		"only responses to other requests": {
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
				got, err := send(t.Context(), client, server.Address(), fmt.Sprintf("id-%d", i), "b")
				checkBody(t, got, err, want)
			}
			assert.Equal(t, server.Accepted(), test.wantOpened)
			assert.Equal(t, client.Openings(upstream.OpenSucceeded), int(test.wantOpened))
		})
	}
}

// checkBody compares a body with the expected one. An empty expected body stands for an error.
func checkBody(t *testing.T, got string, err error, want string) {
	t.Helper()
	if want == "" {
		assert.Assert(t, err != nil)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, got, want)
}

// echo responds to each request with its target.
func echo(conn net.Conn, requests *bufio.Reader, _ int64) {
	for {
		request, ok := readRequest(requests)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, reply(request.Header.Get("Request-Id"), request.RequestURI))
	}
}

// respondTwice responds to each request twice.
func respondTwice(conn net.Conn, requests *bufio.Reader, _ int64) {
	for {
		request, ok := readRequest(requests)
		if !ok {
			return
		}
		id := request.Header.Get("Request-Id")
		_, _ = io.WriteString(conn, reply(id, "x")+reply(id, "again"))
	}
}

// TestResponseBeforeTheBodyWasRead has a server that responds to large requests
// without reading them. It would read the remainder of the body as the next request,
// so the connection must not be reused.
func TestResponseBeforeTheBodyWasRead(t *testing.T) {
	done := make(chan struct{})
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
		request, err := http.ReadRequest(requests)
		if err == nil {
			_, _ = io.WriteString(conn, reply(request.Header.Get("Request-Id"), "x"))
		}
		<-done // nothing is read, so the body exceeds the socket buffers
	})
	client := newClient()
	body := strings.Repeat("b", 64<<20)
	for i := range 2 {
		got, err := send(t.Context(), client, server.Address(), fmt.Sprintf("id-%d", i), body)
		checkBody(t, got, err, "x")
	}
	close(done)
	assert.Equal(t, client.Openings(upstream.OpenSucceeded), 2)
}

func TestSendFailsIfNothingListens(t *testing.T) {
	server := newServer(t, nil)
	server.Close()
	_, err := send(t.Context(), newClient(), server.Address(), "id", "b")
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
	_, err := send(ctx, newClient(), server.Address(), "id", "b")
	assert.ErrorIs(t, err, context.Canceled)
	<-closed
}

// barrier blocks goroutines until a number of them have reached it.
type barrier struct {
	waiting sync.WaitGroup
}

func newBarrier(count int) *barrier {
	barrier := &barrier{}
	barrier.waiting.Add(count)
	return barrier
}

func (barrier *barrier) wait() {
	barrier.waiting.Done()
	barrier.waiting.Wait()
}

// sendTogether sends count requests at the same time. The server must respond to none of them
// before it has received all, so that each uses a connection of its own, which is idle afterwards.
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

// TestIdleConnectionsAreClosedAfterATimeout has a server whose open connections stop
// responding without a reset, while new ones work. When the other idle connections
// were not closed, each of them delayed one request until its timeout.
func TestIdleConnectionsAreClosedAfterATimeout(t *testing.T) {
	const idle = 3
	allReceived := newBarrier(idle)
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, nth int64) {
		for {
			request, ok := readRequest(requests)
			if !ok {
				return
			}
			if nth <= idle {
				allReceived.wait()
			}
			_, _ = io.WriteString(conn, reply(request.Header.Get("Request-Id"), "whole"))
			if nth <= idle {
				_, _ = io.Copy(io.Discard, requests) // no further response
				return
			}
		}
	})
	client := newClient()
	sendTogether(t, client, server.Address(), idle)

	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(100*time.Millisecond, func() { cancel(errors.New("server does not respond")) })
	_, err := send(ctx, client, server.Address(), "lost", "")
	assert.ErrorContains(t, err, "server does not respond")
	assert.Assert(t, !client.HasIdle(server.Address()), "the other idle connections are closed too")
	got, err := send(t.Context(), client, server.Address(), "after", "")
	assert.NilError(t, err)
	assert.Equal(t, got, "whole")
}

// TestCancelledRequestKeepsIdleConnections cancels a request on a reused connection: this says nothing about the server,
// so the idle connections must stay open.
func TestCancelledRequestKeepsIdleConnections(t *testing.T) {
	const idle = 2
	allReceived := newBarrier(idle)
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
		for {
			request, ok := readRequest(requests)
			if !ok {
				return
			}
			id := request.Header.Get("Request-Id")
			if id == "cancelled" {
				continue
			}
			if strings.HasPrefix(id, "first") {
				allReceived.wait()
			}
			_, _ = io.WriteString(conn, reply(id, "whole"))
		}
	})
	client := newClient()
	sendTogether(t, client, server.Address(), idle)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := send(ctx, client, server.Address(), "cancelled", "")
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, client.HasIdle(server.Address()))
}
