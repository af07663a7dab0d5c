package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEngineThatSpeaksInReplyToAnOrder has an engine that says in its reply to an order that it leaves or wants rest,
// while memory is set aside at several for one prompt: the prompt goes elsewhere before it is sent, and the
// engine gets no other order than the one that gives the memory back.
func TestEngineThatSpeaksInReplyToAnOrder(t *testing.T) {
	for name, reply := range map[string]func(writer http.ResponseWriter){
		"it does it, and leaves": func(writer http.ResponseWriter) {
			writer.Header().Set("Server-Leaving", "1")
			_, _ = io.WriteString(writer, `{"free": 100000}`)
		},
		"it does not, and leaves": func(writer http.ResponseWriter) {
			writer.Header().Set("Server-Leaving", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		},
		"it wants rest": func(writer http.ResponseWriter) {
			writer.Header().Set("Retry-After", "3")
			writer.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			engines := &shortOfMemory{reply: reply}
			backends := map[string]backend{"a": engines.serve, "b": engines.serve, "c": engines.serve, "d": engines.serve}
			inWorld(t, backends, nil, func(world *world) {
				world.configure(2, audit(4000))
				time.Sleep(2 * time.Second)
				for range 3 {
					got := world.ask(stream("audit").with("Token-Counts", "300000,500").with("Deadline-Ms", "15000"))
					assert.Equal(t, got.status, http.StatusOK)
					assert.Assert(t, got.whole)
				}
				engines.mu.Lock()
				defer engines.mu.Unlock()
				assert.Equal(t, engines.asked, 1)
				for _, seen := range world.requests() {
					if seen.Target != "/order" {
						assert.Assert(t, seen.Header.Get("Expect-Instance") != engines.full)
						assert.Assert(t, !strings.Contains(seen.Header.Get("Helper-Nodes"), world.addresses[engines.full]))
					}
				}
			})
		})
	}
}
