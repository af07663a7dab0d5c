package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mastwinch/mastwinch/internal/upstream"
)

// TestHasEnded guards against taking a lost answer for the end of a server: only a port that refuses connections while none is open
// shows it.
func TestHasEnded(t *testing.T) {
	for name, test := range map[string]struct {
		// prepare returns what is done before the look, with the client and the server's address.
		prepare func(t *testing.T, client *upstream.Client, address string, closeListener func())
		want    bool
	}{
		"server runs": {prepare: func(*testing.T, *upstream.Client, string, func()) {}},
		"server ended": {want: true, prepare: func(_ *testing.T, _ *upstream.Client, _ string, closeListener func()) {
			closeListener()
		}},
		"full server with an idle connection": {prepare: func(t *testing.T, client *upstream.Client, address string, closeListener func()) {
			t.Helper()
			_, err := send(t.Context(), client, address, "id-0", "")
			assert.NilError(t, err)
			closeListener()
		}},
		"full server with a request in flight": {prepare: func(t *testing.T, client *upstream.Client, address string, closeListener func()) {
			t.Helper()
			sendSilent(t, client, address)
			closeListener()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			server := newServer(t, echoUnlessSilent)
			client := newClient()
			test.prepare(t, client, server.Address(), server.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			assert.Equal(t, client.HasEnded(ctx, server.Address(), true), test.want)
		})
	}
}

// echoUnlessSilent answers each request but those with the ID "silent".
func echoUnlessSilent(conn net.Conn, requests *bufio.Reader, nth int64) {
	_ = nth
	for {
		request, ok := readRequest(requests)
		if !ok {
			return
		}
		if request.Header.Get("Request-Id") == "silent" {
			continue
		}
		_, _ = conn.Write([]byte(reply(request.Header.Get("Request-Id"), "x")))
	}
}

// sendSilent sends a request that gets no answer until the end of the test, and returns once it is in flight.
func sendSilent(t *testing.T, client *upstream.Client, address string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	before := client.Openings(upstream.OpenSucceeded)
	go func() { _, _ = send(ctx, client, address, "silent", "") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if client.Openings(upstream.OpenSucceeded) > before {
			return poll.Success()
		}
		return poll.Continue("no connection")
	}, poll.WithTimeout(time.Minute))
}

// TestHasEndedWhileLinksAreCut guards against taking a cut that refuses connections for the ends of all servers.
func TestHasEndedWhileLinksAreCut(t *testing.T) {
	client := newClient()
	var addresses []string
	for range 3 {
		server := newServer(t, echoUnlessSilent)
		addresses = append(addresses, server.Address())
		server.Close()
	}
	for _, address := range addresses {
		_, err := client.Send(t.Context(), address, upstream.Request{Method: http.MethodGet, Target: "/"}, func(http.Header) bool { return true })
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, !client.HasEnded(t.Context(), addresses[0], false))
}

// TestHasEndedKeepsNoConnection guards against requests that are sent on a connection of a look: in a cut that accepts connections and
// resets them, each of these is lost.
func TestHasEndedKeepsNoConnection(t *testing.T) {
	server := newServer(t, echoUnlessSilent)
	client := newClient()
	assert.Assert(t, !client.HasEnded(t.Context(), server.Address(), true))
	assert.Assert(t, !client.HasIdle(server.Address()))
}
