package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// askSlowly sends a request and reads nothing of the answer for a while, after which it returns what it got.
func (world *world) askSlowly(caller caller, rest time.Duration) answer {
	conn, err := world.network.Dial(world.t.Context(), vmAddress)
	assert.NilError(world.t, err)
	defer func() { _ = conn.Close() }()
	raw := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: register.example\r\nRequest-Id: slow\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer %s\r\n",
		caller.method, caller.path, testKey)
	for name, value := range caller.header {
		raw += fmt.Sprintf("%s: %s\r\n", name, value)
	}
	go func() {
		_, _ = io.WriteString(conn, raw+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(caller.body), caller.body))
	}()
	time.Sleep(rest)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), whole: err == nil}
}

// TestCallerThatReadsSlowly has a caller that reads nothing for a while. Its VM took the server for silent, and read the
// prompt again on another one, which then counted as one more failure of a server.
func TestCallerThatReadsSlowly(t *testing.T) {
	servers := map[string]backend{"one": streams(80, 0), "two": streams(80, 0)}
	for name, test := range map[string]struct {
		rest time.Duration
		// whole says that it gets all of the answer: one that reads nothing for longer than it may is cut off.
		whole bool
	}{
		"for a moment":     {rest: 500 * time.Millisecond, whole: true},
		"for some seconds": {rest: 4 * time.Second, whole: true},
		"for too long":     {rest: 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, servers, nil, func(world *world) {
				got := world.askSlowly(stream("chat"), test.rest)
				assert.Equal(t, got.whole && got.status == http.StatusOK, test.whole)
				assert.Equal(t, len(world.requests()), 1)
				for _, server := range world.served.Status().Servers {
					assert.Assert(t, !server.Suspect, server.ID)
				}
			})
		})
	}
}

// TestServerThatCutsAStalledAnswer has callers that read nothing for a while, so that the server cuts their answers off.
// That counts neither against the server nor against what they asked.
func TestServerThatCutsAStalledAnswer(t *testing.T) {
	inWorld(t, map[string]backend{"one": streams(80, 20)}, nil, func(world *world) {
		for range 3 {
			got := world.askSlowly(stream("bill"), 4*time.Second)
			assert.Assert(t, !got.whole)
		}
		status := world.served.Status()
		for _, server := range status.Servers {
			assert.Assert(t, !server.Suspect, server.ID)
		}
		assert.Equal(t, len(status.Kept), 0)
		assert.Equal(t, world.askSlowly(stream("bill"), 0).status, http.StatusOK)
	})
}
