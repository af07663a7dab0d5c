package panics_test

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/panics"
)

// TestPanicsAreAnsweredAndSeen guards against a handler that panics and leaves its caller without an answer, and the operator without a
// line that names the request.
func TestPanicsAreAnsweredAndSeen(t *testing.T) {
	for name, test := range map[string]struct {
		handler    http.HandlerFunc
		wantStatus int
		wantCount  int
	}{
		"no panic": {handler: func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusAccepted) }, wantStatus: http.StatusAccepted},
		"nothing written": {
			handler: func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Response-Seal", "x")
				panic("broken invariant")
			},
			wantStatus: http.StatusBadGateway, wantCount: 1,
		},
		"status that no response has": {
			handler: func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(0) }, wantStatus: http.StatusBadGateway, wantCount: 1,
		},
		"response started": {
			handler: func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, "part")
				panic("broken invariant")
			},
			wantCount: 1,
		},
		"abort": {handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	} {
		t.Run(name, func(t *testing.T) {
			logged := &bytes.Buffer{}
			count := 0
			handling := panics.Handling{
				RequestID: func(request *http.Request) string { return request.Header.Get("Id") },
				Respond: func(writer http.ResponseWriter, _ *http.Request) {
					assert.Equal(t, writer.Header().Get("Response-Seal"), "")
					writer.WriteHeader(http.StatusBadGateway)
				},
				Count: func() { count++ }, Logger: slog.New(slog.NewTextHandler(logged, nil)),
			}
			server := httptest.NewServer(handling.Handler(test.handler))
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			assert.NilError(t, err)
			request.Header.Set("Id", "request-7")
			response, err := http.DefaultClient.Do(request)
			if test.wantStatus == 0 {
				assert.Assert(t, err != nil || !complete(response))
			} else {
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.wantStatus)
				assert.Assert(t, complete(response))
			}
			server.Close() // waits for the handler, which may still be at work when its caller has seen the end
			assert.Equal(t, count, test.wantCount)
			assert.Equal(t, strings.Contains(logged.String(), "level=ERROR") && strings.Contains(logged.String(), "request-7"), test.wantCount > 0)
		})
	}
}

// complete reads a response and reports whether it was whole.
func complete(response *http.Response) bool {
	defer func() { _ = response.Body.Close() }()
	_, err := io.Copy(io.Discard, response.Body)
	return err == nil
}
