package upstream_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// heard gathers which servers spoke.
type heard struct {
	mu      sync.Mutex
	answers []string
}

var _ upstream.Listener = (*heard)(nil)

func (heard *heard) Heard(server string, _ time.Time, status int, header http.Header) {
	heard.mu.Lock()
	defer heard.mu.Unlock()
	heard.answers = append(heard.answers, fmt.Sprintf("%s %d %s", server, status, header.Get("Request-Id")))
}

// TestListenerHearsAnswersThatFit has a late answer to an earlier request before the one that is waited for.
func TestListenerHearsAnswersThatFit(t *testing.T) {
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
		_, _ = readRequest(requests)
		_, _ = fmt.Fprint(conn, reply("earlier", "late"), reply("r", "fits"))
	})
	listener := &heard{}
	client := upstream.New(upstream.DefaultSettings(), network.New(network.DefaultSettings()), listener, time.Now)
	request := upstream.Request{
		Server: "s1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Request-Id": {"r"}},
	}
	response, err := client.Send(t.Context(), server.address(), request, func(header http.Header) bool {
		return header.Get("Request-Id") == "r"
	})
	assert.NilError(t, err)
	response.Close(0)
	assert.DeepEqual(t, listener.answers, []string{"s1 200 r"})
}
