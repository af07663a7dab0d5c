package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// lateCopies is a server that refuses the first request of each ID and runs the others. Where the response to a second
// request of an ID on a connection is due, it first sends its earlier response once more.
type lateCopies struct {
	refusal int

	mu       sync.Mutex
	arrivals map[string]int
}

func (lateCopies *lateCopies) serve(conn net.Conn, requests *bufio.Reader, _ int64) {
	responses := make(map[string]string)
	for {
		request, ok := readRequest(requests)
		if !ok {
			return
		}
		id := request.Header.Get("Request-Id")
		if earlier, found := responses[id]; found {
			_, _ = io.WriteString(conn, earlier)
		}
		responses[id] = lateCopies.respond(id)
		_, _ = io.WriteString(conn, responses[id])
	}
}

// respond returns the response to a request. Its body is "refused", or "ran" with the number of the run.
func (lateCopies *lateCopies) respond(id string) string {
	lateCopies.mu.Lock()
	defer lateCopies.mu.Unlock()
	lateCopies.arrivals[id]++
	status, body := http.StatusOK, fmt.Sprint("ran ", lateCopies.arrivals[id]-1)
	if lateCopies.arrivals[id] == 1 {
		status, body = lateCopies.refusal, "refused"
	}
	echoed := ""
	if id != "" {
		echoed = "Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, echoed, len(body), body)
}

// expected returns the response to the nth request of an ID, counted from zero.
func expected(nth int) string {
	if nth == 0 {
		return "refused"
	}
	return fmt.Sprint("ran ", nth)
}

// TestLateCopyIsNotTakenForTheNextResponse guards against a late second copy of a response being taken for the response to a
// later request of the same ID on the same connection: a request that ran counted as refused, and was run again.
func TestLateCopyIsNotTakenForTheNextResponse(t *testing.T) {
	for name, ids := range map[string][]string{
		"sent again at once":              {"a", "a"},
		"sent again after another one":    {"a", "b", "a"},
		"sent again after several others": {"a", "b", "c", "b", "a"},
		"sent three times":                {"a", "a", "a"},
		"without IDs":                     {"", ""},
		"without IDs, after another one":  {"", "a", ""},
	} {
		for _, status := range []int{
			http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest, http.StatusBadRequest,
		} {
			t.Run(fmt.Sprint(name, ", ", status), func(t *testing.T) {
				late := &lateCopies{refusal: status, arrivals: make(map[string]int)}
				server := newServer(t, late.serve)
				client := newClient()
				sent := make(map[string]int)
				for _, id := range ids {
					got, err := send(t.Context(), client, server.Address(), id, "b")
					assert.NilError(t, err)
					assert.Equal(t, got, expected(sent[id]))
					sent[id]++
				}
			})
		}
	}
}

// TestLateResponsesAreCounted has a late response to an earlier request before that to each request.
func TestLateResponsesAreCounted(t *testing.T) {
	server := newServer(t, func(conn net.Conn, requests *bufio.Reader, _ int64) {
		request, _ := readRequest(requests)
		_, _ = io.WriteString(conn, reply("earlier", "late")+reply(request.Header.Get("Request-Id"), "x"))
	})
	client := newClient()
	for i := range 2 {
		_, err := send(t.Context(), client, server.Address(), fmt.Sprint("id-", i), "")
		assert.NilError(t, err)
	}
	assert.Equal(t, client.LateResponses(), int64(2))
}

// TestLateCopiesInRandomOrder is TestLateCopyIsNotTakenForTheNextResponse for random sequences of requests.
func TestLateCopiesInRandomOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		late := &lateCopies{refusal: http.StatusServiceUnavailable, arrivals: make(map[string]int)}
		server := newServer(t, late.serve)
		client := newClient()
		sent := make(map[string]int)
		for _, id := range rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "c"}), 1, 30).Draw(t, "ids") {
			got, err := send(t.Context(), client, server.Address(), id, "b")
			assert.NilError(t, err)
			assert.Equal(t, got, expected(sent[id]))
			sent[id]++
		}
		// A connection is reused for all IDs that it has not carried.
		most := 0
		for _, count := range sent {
			most = max(most, count)
		}
		assert.Equal(t, int(server.Accepted()), most)
	})
}

// TestConnectionCarriesABoundedNumberOfRequests guards against the memory for the IDs growing with the age of a connection.
func TestConnectionCarriesABoundedNumberOfRequests(t *testing.T) {
	server := newServer(t, echo)
	settings := upstream.DefaultSettings()
	settings.MaxRequests = 4
	client := upstream.New(settings, network.New(network.DefaultSettings()), &recorder{}, newLinks(), nil, time.Now)
	for i := range 9 {
		_, err := send(t.Context(), client, server.Address(), fmt.Sprint("id-", i), "")
		assert.NilError(t, err)
	}
	assert.Equal(t, server.Accepted(), int64(3))
}
