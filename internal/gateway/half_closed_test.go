package gateway_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallerThatEndsItsSideGetsNoEmptyAnswer guards against a caller that ends its side of the connection, and still reads, getting
// an empty 200 that no server sent.
func TestCallerThatEndsItsSideGetsNoEmptyAnswer(t *testing.T) {
	for name, method := range map[string]string{"safe": "GET /look/x", "unsafe": "POST /pay/x"} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, nil, map[string]backend{"one": hang()}, func(harness *harness) {
				conn, err := harness.network.Dial(harness.t.Context(), vmAddress)
				assert.NilError(harness.t, err)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, method+" HTTP/1.1\r\nHost: register.example\r\nRequest-Id: r\r\nContent-Length: 0\r\n"+
					"Authorization: Bearer "+testKey+"\r\n\r\n")
				assert.NilError(harness.t, err)
				time.Sleep(300 * time.Millisecond)
				assert.NilError(harness.t, conn.(interface{ CloseWrite() error }).CloseWrite())
				answer, _ := io.ReadAll(conn)
				assert.Assert(harness.t, !strings.Contains(string(answer), " 200 "), "%s", answer)
				assert.Equal(harness.t, len(harness.requests()), 1)
			})
		})
	}
}
