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

// recorder records the responses that a Listener receives.
type recorder struct {
	mu        sync.Mutex
	responses []string
}

var _ upstream.Listener = (*recorder)(nil)

func (recorder *recorder) HandleResponse(server, _ string, _ time.Time, status int, header http.Header) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.responses = append(recorder.responses, fmt.Sprintf("%s %d %s", server, status, header.Get("Request-Id")))
}

// TestListenerReceivesMatchingResponses has a late response to an earlier request before the one to the request: the
// listener must receive only the latter, since the former was made for another request.
func TestListenerReceivesMatchingResponses(t *testing.T) {
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
		_, _ = readRequest(requests)
		_, _ = fmt.Fprint(conn, reply("earlier", "late"), reply("r", "matches"))
	})
	listener := &recorder{}
	client := upstream.New(upstream.DefaultSettings(), network.New(network.DefaultSettings()), listener, newLinks(), nil, time.Now)
	request := upstream.Request{
		Server: "s1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Request-Id": {"r"}},
	}
	response, err := client.Send(t.Context(), server.Address(), request, func(header http.Header) bool {
		return header.Get("Request-Id") == "r"
	})
	assert.NilError(t, err)
	response.Close(0)
	assert.DeepEqual(t, listener.responses, []string{"s1 200 r"})
}
