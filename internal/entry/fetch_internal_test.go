package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCutAnswerOfAnotherEntryIsNotWhole guards against an answer that another entry, or the link to it, cuts off ending regularly for the
// caller.
func TestCutAnswerOfAnotherEntryIsNotWhole(t *testing.T) {
	for name, isCut := range map[string]bool{"whole": false, "cut": true} {
		t.Run(name, func(t *testing.T) {
			other := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, "part")
				_ = http.NewResponseController(writer).Flush()
				if isCut {
					panic(http.ErrAbortHandler)
				}
			}))
			defer other.Close()
			first := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				forwarded, err := http.NewRequestWithContext(request.Context(), http.MethodGet, other.URL, http.NoBody)
				assert.Check(t, err)
				response, err := http.DefaultClient.Do(forwarded)
				assert.Check(t, err)
				defer func() { _ = response.Body.Close() }()
				copyResponse(writer, response)
			}))
			defer first.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, first.URL, http.NoBody)
			assert.NilError(t, err)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, string(body), "part")
			assert.Equal(t, err != nil, isCut, "%v", err)
		})
	}
}
