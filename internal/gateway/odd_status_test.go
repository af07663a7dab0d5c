package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// respondWithStatus returns a backend that sends a sound answer whose status line has the given status.
func respondWithStatus(status, contentType string) backend {
	return func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
		conn, buffered, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 %s Odd\r\nRequest-Id: %s\r\nResponse-Seal: x\r\nContent-Type: %s\r\nContent-Length: 4\r\n\r\nbody",
			status, request.Header.Get("Request-Id"), contentType)
		_ = buffered.Flush()
	}
}

// TestOddStatusIsNoAnswer guards against a head whose status no response has, and that is taken for an answer: the write of it
// panicked, so that the caller's connection was closed without an answer, or the caller got it.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "020", "099", "600", "999", "0200", "", "20", "-20", "+20", "2e2", "2 0"} {
		for name, test := range map[string]struct {
			request     callerRequest
			contentType string
			sound       backend
			want        int
		}{
			"safe":               {plainRequest(http.MethodGet, "look"), "text/plain", responses(http.StatusOK, "fine"), http.StatusOK},
			"unsafe":             {plainRequest(http.MethodPost, "pay"), "text/plain", responses(http.StatusOK, "fine"), http.StatusBadGateway},
			"resumable stream":   {streamRequest("chat"), "text/event-stream", streamEvents(1, 0), http.StatusOK},
			"stream to run once": {streamRequest("bill"), "text/event-stream", streamEvents(1, 0), http.StatusBadGateway},
			"stream's plain end": {streamRequest("chat"), "text/plain", streamEvents(1, 0), http.StatusOK},
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				server := firstThen(respondWithStatus(status, test.contentType), test.sound)
				servers := map[string]backend{"one": server, "two": server}
				withHarness(t, servers, servers, func(harness *harness) {
					got := harness.query(test.request)
					assert.Equal(t, got.status, test.want, got.body)
					assert.Assert(t, got.complete)
					assert.Equal(t, strings.Contains(got.body, "body"), false)
				})
			})
		}
	}
}

// TestOddStatusOfAllServers checks that callers get a failure of the VM where every try met an odd status.
func TestOddStatusOfAllServers(t *testing.T) {
	for _, status := range []string{"000", "999"} {
		t.Run(status, func(t *testing.T) {
			server := respondWithStatus(status, "text/plain")
			withHarness(t, nil, map[string]backend{"one": server, "two": server}, func(harness *harness) {
				got := harness.query(plainRequest(http.MethodGet, "look"))
				assert.Equal(t, got.status, http.StatusBadGateway, got.body)
				assert.Equal(t, got.header.Get("Response-Seal"), "")
			})
		})
	}
}
