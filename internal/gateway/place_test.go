package gateway_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// auditRoute returns a change to a configuration that replaces its routes by one for long prompts, with an objective in
// milliseconds.
func auditRoute(objective int) func(configuration map[string]any) {
	return func(configuration map[string]any) {
		configuration["routes"] = []any{map[string]any{
			"name": "audit", "host": "register.example", "path_prefix": "/audit/", "route_kind": "stream",
			"timeout_ms": 15_000, "target_latency_ms": objective, "gap_aim_ms": 1000, "service": "engines",
			"max_attempts": 2, "resumable": true,
		}}
	}
}

// TestPromptBeyondMemoryIsRefusedInTime guards against queueing a prompt that exceeds the memory of all engines. It was queued
// long after it had missed its objective and blocked the requests behind it; a retried one was queued until its deadline.
func TestPromptBeyondMemoryIsRefusedInTime(t *testing.T) {
	for name, test := range map[string]struct {
		deadline   string
		wantQueued time.Duration
	}{
		"first attempt is queued for its objective":                      {deadline: "15000", wantQueued: 2500 * time.Millisecond},
		"retry with a short deadline is queued for less than half of it": {deadline: "2900", wantQueued: 1300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, map[string]backend{"a": streamEvents(3, 0), "b": streamEvents(3, 0)}, nil, func(harness *harness) {
				harness.configure(2, auditRoute(2500))
				time.Sleep(2 * time.Second)
				got := harness.query(streamRequest("audit").with("Token-Counts", "900000,500").with("Deadline-Ms", test.deadline))
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, got.header.Get("Retry-After") != "")
				assert.Assert(t, got.duration >= test.wantQueued-50*time.Millisecond && got.duration < test.wantQueued+100*time.Millisecond, "%s", got.duration)
				assert.Equal(t, len(harness.requests()), 0)
			})
		})
	}
}

// TestLatePromptIsServedByIdleEngines guards against refusing a prompt that is too long to meet its objective. It may be
// refused once it is late only if no engine has capacity for it.
func TestLatePromptIsServedByIdleEngines(t *testing.T) {
	for name, others := range map[string]int{"single VM": 0, "coordinator of other VMs": 2} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, map[string]backend{"a": streamEvents(3, 0), "b": streamEvents(3, 0)}, nil, func(harness *harness) {
				harness.addMembers(others)
				harness.restart()
				harness.configure(2, auditRoute(500))
				time.Sleep(4 * time.Second)
				got := harness.query(streamRequest("audit").with("Token-Counts", "210000,500").with("Deadline-Ms", "15000"))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, got.complete)
			})
		})
	}
}

// TestFailedHelperIsExcluded guards against retrying with a helper engine that failed. The engine reports the helper by its
// address, which was treated as an ID, so no helper was excluded and the next attempt failed in the same way.
func TestFailedHelperIsExcluded(t *testing.T) {
	var mu sync.Mutex
	failedHelper := ""
	engine := func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		helpers := strings.Split(request.Header.Get("Helper-Nodes"), ",")
		mu.Lock()
		if failedHelper == "" {
			failedHelper = helpers[0]
		}
		failed := failedHelper
		mu.Unlock()
		if slices.Contains(helpers, failed) {
			writer.Header().Set("At-Server", failed)
			refuse(http.StatusServiceUnavailable)(harness, nth, writer, request)
			return
		}
		streamEvents(3, 0)(harness, nth, writer, request)
	}
	engines := map[string]backend{"a": engine, "b": engine, "c": engine, "d": engine, "e": engine}
	withHarness(t, engines, nil, func(harness *harness) {
		harness.configure(2, auditRoute(2500))
		time.Sleep(2 * time.Second)
		got := harness.query(streamRequest("audit").with("Token-Counts", "150000,500").with("Deadline-Ms", "15000"))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, len(harness.requests()), 2)
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, failedHelper != "")
	})
}

// reservingEngines is the script of several engines, of which the first that receives a reservation has no free memory.
type reservingEngines struct {
	// reply writes the reply of that engine to a reservation.
	reply func(writer http.ResponseWriter)

	mu sync.Mutex
	// fullID is its ID; empty before the first reservation. reservations counts those that it received.
	fullID       string
	reservations int
}

// serve is the backend of all engines.
func (reservingengines *reservingEngines) serve(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Expect-Instance")
	switch {
	case request.URL.Path != "/order":
		streamEvents(3, 0)(harness, nth, writer, request)
	case strings.Contains(harness.lastBody(id), `"reserve"`) && reservingengines.isFull(id):
		reservingengines.reply(writer)
	default:
		_, _ = io.WriteString(writer, `{"free": 100000}`)
	}
}

// isFull reports whether an engine is the one without free memory, and counts its reservations.
func (reservingengines *reservingEngines) isFull(id string) bool {
	reservingengines.mu.Lock()
	defer reservingengines.mu.Unlock()
	if reservingengines.fullID == "" {
		reservingengines.fullID = id
	}
	if reservingengines.fullID != id {
		return false
	}
	reservingengines.reservations++
	return true
}

// TestEngineWithoutMemoryIsNotRetried has an engine whose memory is used by requests that no VM reports, as it is after VMs
// were killed. The same plan was repeated every 20 ms until the prompt was refused, although other engines had free memory.
func TestEngineWithoutMemoryIsNotRetried(t *testing.T) {
	for name, reply := range map[string]func(writer http.ResponseWriter){
		"reports its free memory": func(writer http.ResponseWriter) {
			writer.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(writer, `{"free": 5000}`)
		},
		"rejects orders":        func(writer http.ResponseWriter) { writer.WriteHeader(http.StatusBadRequest) },
		"closes the connection": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			engines := &reservingEngines{reply: reply}
			backends := map[string]backend{"a": engines.serve, "b": engines.serve, "c": engines.serve, "d": engines.serve}
			withHarness(t, backends, nil, func(harness *harness) {
				harness.configure(2, auditRoute(4000))
				time.Sleep(2 * time.Second)
				got := harness.query(streamRequest("audit").with("Token-Counts", "300000,500").with("Deadline-Ms", "15000"))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, got.complete)
				engines.mu.Lock()
				defer engines.mu.Unlock()
				assert.Equal(t, engines.reservations, 1)
			})
		})
	}
}
