package network_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/network"
)

// TestNewConnectionAfterATimeout has a peer whose first connection stops responding
// after one response, without a reset, while new ones work. Only one request may
// fail, at its own timeout; the next one must use a new connection.
func TestNewConnectionAfterATimeout(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for nth := 0; ; nth++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(conn, nth == 0)
		}
	}()
	client := &http.Client{Transport: network.NewTransport(network.New(network.DefaultSettings()))}
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
		assert.NilError(t, err)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	assert.NilError(t, call(5*time.Second))
	assert.ErrorIs(t, call(100*time.Millisecond), context.DeadlineExceeded)
	assert.NilError(t, call(5*time.Second))
}

// respond responds to the requests on a connection, or to the first one only.
func respond(conn net.Conn, once bool) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if once {
			_, _ = io.Copy(io.Discard, requests)
			return
		}
	}
}
