package tunnel_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/tunnel"
)

// TestAnswersOfVMsAreBounded guards against the answer to the request for a tunnel that has no end and is read into memory.
func TestAnswersOfVMsAreBounded(t *testing.T) {
	const maxBytes = 512 << 10 // the bound of a head and what is on its way
	for name, begin := range map[string]string{
		"status": "HTTP/1.1 200 ",
		"field":  "HTTP/1.1 200 OK\r\nA: ",
	} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, tunnel.DefaultSettings(), func(world *world) {
				var sent atomic.Int64
				world.addHandler("10.0.1.2:82", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(writer).Hijack()
					assert.Check(world.t, err)
					defer func() { _ = conn.Close() }()
					_, err = io.WriteString(conn, begin)
					for err == nil {
						_, err = io.WriteString(conn, strings.Repeat("0", 16<<10))
						sent.Add(16 << 10)
						time.Sleep(time.Millisecond)
					}
				}))
				world.cut()
				_, err := world.dialer.DialThrough(world.t.Context(), serverAddress, nil)
				assert.Assert(world.t, err != nil)
				assert.Assert(world.t, sent.Load() < maxBytes, "%d bytes", sent.Load())
			})
		})
	}
}
