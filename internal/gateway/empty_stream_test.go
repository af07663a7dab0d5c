package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// endConnectionAtOnce returns a backend that begins a stream which ends with its connection, and ends the connection before the
// first event.
func endConnectionAtOnce() backend {
	return func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
		conn, buffered, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: x\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
			request.Header.Get("Request-Id"))
		_ = buffered.Flush()
		_ = conn.Close()
	}
}

// TestStreamThatEndsBeforeItsFirstEventIsNotComplete guards against taking a server that ends the connection as it begins a
// stream without a stated end for one that served an empty stream: a server that crashes then looks alike.
func TestStreamThatEndsBeforeItsFirstEventIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		route string
		want  int
	}{
		"stream that may be resumed": {route: "chat", want: http.StatusOK},
		"stream that must run once":  {route: "bill", want: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			server := firstThen(endConnectionAtOnce(), streamEvents(3, 0))
			withHarness(t, map[string]backend{"one": server, "two": server}, nil, func(harness *harness) {
				got := harness.query(streamRequest(test.route))
				assert.Equal(t, got.status, test.want, got.body)
				if test.want == http.StatusOK {
					assert.Equal(t, got.body, completeStream(3))
				}
			})
		})
	}
}
