package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/call"
	"github.com/mastwinch/mastwinch/platform"
)

// panickingCodec panics at responses with a certain header.
type panickingCodec struct {
	platform.Codec
}

// Response implements gateway.Codec.
func (codec panickingCodec) Response(status int, header http.Header) call.Response {
	if header.Get("Panic") != "" && status != http.StatusOK {
		panic("broken invariant")
	}
	return codec.Codec.Response(status, header)
}

// TestPanicOfARequestIsAnsweredAndCounted guards against a handler that panics and leaves the caller without an answer, the log without
// the end of the request and the metrics without both.
func TestPanicOfARequestIsAnsweredAndCounted(t *testing.T) {
	server := func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
		seal(writer, request)
		writer.Header().Set("Panic", "1")
		writer.WriteHeader(http.StatusAccepted)
	}
	withHarness(t, nil, map[string]backend{"one": server}, func(harness *harness) {
		harness.finish()
		harness.codec = panickingCodec{}
		harness.start()
		got := harness.query(plainRequest(http.MethodGet, "look"))
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Assert(t, strings.Contains(got.body, `"error":"internal_error"`) && strings.Contains(got.body, `"not_run":false`), got.body)
		assert.Equal(t, got.header.Get("Request-Id"), "request-1")
		metrics := harness.sendRawTo(readyAddress, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 0).body
		assert.Assert(t, strings.Contains(metrics, "mastwinch_panics_total 1"))
		assert.Assert(t, strings.Contains(metrics, `reason="internal_error",route="look",status="502"} 1`))
	})
}
