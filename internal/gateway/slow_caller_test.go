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

// queryAndStall sends a request, reads nothing of the response for a time, and then reads and returns it.
func (harness *harness) queryAndStall(callerRequest callerRequest, pause time.Duration) callerResponse {
	conn, err := harness.network.Dial(harness.t.Context(), vmAddress)
	assert.NilError(harness.t, err)
	defer func() { _ = conn.Close() }()
	message := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: register.example\r\nRequest-Id: slow\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer %s\r\n",
		callerRequest.method, callerRequest.path, testKey)
	for name, value := range callerRequest.header {
		message += fmt.Sprintf("%s: %s\r\n", name, value)
	}
	go func() {
		_, _ = io.WriteString(conn, message+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(callerRequest.body), callerRequest.body))
	}()
	time.Sleep(pause)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerResponse{}
	}
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, body: string(body), complete: err == nil}
}

// TestSlowCallerIsNotServerFailure has a caller that reads nothing for a time. The VM attributed the missing events to the
// server and prefilled the prompt again at another one, which then counted as a second failure of a server.
func TestSlowCallerIsNotServerFailure(t *testing.T) {
	servers := map[string]backend{"one": streamEvents(80, 0), "two": streamEvents(80, 0)}
	for name, test := range map[string]struct {
		pause time.Duration
		// complete reports whether the caller receives the complete response: one that stalls longer than allowed is disconnected.
		complete bool
	}{
		"0.5 s":                    {pause: 500 * time.Millisecond, complete: true},
		"4 s":                      {pause: 4 * time.Second, complete: true},
		"9 s, longer than allowed": {pause: 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, servers, nil, func(harness *harness) {
				got := harness.queryAndStall(streamRequest("chat"), test.pause)
				assert.Equal(t, got.complete && got.status == http.StatusOK, test.complete)
				assert.Equal(t, len(harness.requests()), 1)
				for _, server := range harness.instance.Status().Servers {
					assert.Assert(t, !server.Suspect, server.ID)
				}
			})
		})
	}
}

// TestStalledResponseIsNotServerFailure has callers that read nothing for a time, so that the server closes their streams. That
// must neither eject the server nor quarantine the request.
func TestStalledResponseIsNotServerFailure(t *testing.T) {
	withHarness(t, map[string]backend{"one": streamEvents(80, 20)}, nil, func(harness *harness) {
		for range 3 {
			got := harness.queryAndStall(streamRequest("bill"), 4*time.Second)
			assert.Assert(t, !got.complete)
		}
		status := harness.instance.Status()
		for _, server := range status.Servers {
			assert.Assert(t, !server.Suspect, server.ID)
		}
		assert.Equal(t, len(status.Quarantined), 0)
		assert.Equal(t, harness.queryAndStall(streamRequest("bill"), 0).status, http.StatusOK)
	})
}
