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

// TestQuestionAfterASilentConnectionGetsANewOne has a peer whose first connection goes
// silent for good after one answer, without a reset, while new ones work. It costs one
// question, as long as the asker's own bound.
func TestQuestionAfterASilentConnectionGetsANewOne(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for nth := 0; ; nth++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn, nth == 0)
		}
	}()
	client := &http.Client{Transport: network.NewTransport(network.New(network.DefaultSettings()))}
	ask := func(patience time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
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
	assert.NilError(t, ask(5*time.Second))
	assert.ErrorIs(t, ask(100*time.Millisecond), context.DeadlineExceeded)
	assert.NilError(t, ask(5*time.Second))
}

// answer answers requests on a connection, or just the first one.
func answer(conn net.Conn, once bool) {
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
