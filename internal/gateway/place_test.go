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

// audit returns a change to the configuration that leaves one route, of long prompts
// with an objective in milliseconds.
func audit(objective int) func(configuration map[string]any) {
	return func(configuration map[string]any) {
		configuration["routes"] = []any{map[string]any{
			"name": "audit", "host": "register.example", "path_prefix": "/audit/", "route_kind": "stream",
			"timeout_ms": 15_000, "target_latency_ms": objective, "gap_aim_ms": 1000, "service": "engines",
			"max_attempts": 2, "resumable": true,
		}}
	}
}

// TestPromptThatFitsNowhereIsRefusedInTime has a prompt beyond the memory of all
// engines: it was held for long after it could be in time, in a queue that others had to
// wait in. One that came back with little time left was held to its end.
func TestPromptThatFitsNowhereIsRefusedInTime(t *testing.T) {
	for name, test := range map[string]struct {
		deadline string
		held     time.Duration
	}{
		"a first try is held for its objective":           {deadline: "15000", held: 2500 * time.Millisecond},
		"one with little time is not held for most of it": {deadline: "2900", held: 1300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, map[string]backend{"a": streams(3, 0), "b": streams(3, 0)}, nil, func(world *world) {
				world.configure(2, audit(2500))
				time.Sleep(2 * time.Second)
				got := world.ask(stream("audit").with("Token-Counts", "900000,500").with("Deadline-Ms", test.deadline))
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, got.header.Get("Retry-After") != "")
				assert.Assert(t, got.took >= test.held-50*time.Millisecond && got.took < test.held+100*time.Millisecond, "%s", got.took)
				assert.Equal(t, len(world.requests()), 0)
			})
		})
	}
}

// TestPromptTooLongToBeInTimeIsReadOnACalmDay: it is given up once it is late only
// where nobody has room for it.
func TestPromptTooLongToBeInTimeIsReadOnACalmDay(t *testing.T) {
	for name, others := range map[string]int{"a VM alone": 0, "one that decides for others": 2} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, map[string]backend{"a": streams(3, 0), "b": streams(3, 0)}, nil, func(world *world) {
				world.addMembers(others)
				world.restart()
				world.configure(2, audit(500))
				time.Sleep(4 * time.Second)
				got := world.ask(stream("audit").with("Token-Counts", "210000,500").with("Deadline-Ms", "15000"))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, got.whole)
			})
		})
	}
}

// TestHelperAtFaultIsLeftOut has an engine that names a helper by its address: the
// address was taken for an ID, nobody was left out, and the next attempt failed alike.
func TestHelperAtFaultIsLeftOut(t *testing.T) {
	var mu sync.Mutex
	faulty := ""
	engine := func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		helpers := strings.Split(request.Header.Get("Helper-Nodes"), ",")
		mu.Lock()
		if faulty == "" {
			faulty = helpers[0]
		}
		broken := faulty
		mu.Unlock()
		if slices.Contains(helpers, broken) {
			writer.Header().Set("At-Server", broken)
			refuses(http.StatusServiceUnavailable)(world, nth, writer, request)
			return
		}
		streams(3, 0)(world, nth, writer, request)
	}
	engines := map[string]backend{"a": engine, "b": engine, "c": engine, "d": engine, "e": engine}
	inWorld(t, engines, nil, func(world *world) {
		world.configure(2, audit(2500))
		time.Sleep(2 * time.Second)
		got := world.ask(stream("audit").with("Token-Counts", "150000,500").with("Deadline-Ms", "15000"))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, len(world.requests()), 2)
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, faulty != "")
	})
}

// shortOfMemory is engines of which the first that is asked to set memory aside has none left.
type shortOfMemory struct {
	// reply is what it answers.
	reply func(writer http.ResponseWriter)

	mu sync.Mutex
	// full is its ID, and asked how often it was asked.
	full  string
	asked int
}

// serve is the backend of all of them.
func (shortofmemory *shortOfMemory) serve(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Expect-Instance")
	switch {
	case request.URL.Path != "/order":
		streams(3, 0)(world, nth, writer, request)
	case strings.Contains(world.lastBody(id), `"reserve"`) && shortofmemory.refuses(id):
		shortofmemory.reply(writer)
	default:
		_, _ = io.WriteString(writer, `{"free": 100000}`)
	}
}

// refuses reports whether an engine is the one that has none left, and counts how often.
func (shortofmemory *shortOfMemory) refuses(id string) bool {
	shortofmemory.mu.Lock()
	defer shortofmemory.mu.Unlock()
	if shortofmemory.full == "" {
		shortofmemory.full = id
	}
	if shortofmemory.full != id {
		return false
	}
	shortofmemory.asked++
	return true
}

// TestEngineWithoutMemoryIsNotAskedAgain has an engine whose memory is in use by what no VM
// tells of, as it is after VMs were killed: the same plan was made again each 20 ms
// until the prompt was refused, though others had memory.
func TestEngineWithoutMemoryIsNotAskedAgain(t *testing.T) {
	for name, reply := range map[string]func(writer http.ResponseWriter){
		"it says what is left": func(writer http.ResponseWriter) {
			writer.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(writer, `{"free": 5000}`)
		},
		"it takes no orders": func(writer http.ResponseWriter) { writer.WriteHeader(http.StatusBadRequest) },
		"it breaks off":      func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			engines := &shortOfMemory{reply: reply}
			backends := map[string]backend{"a": engines.serve, "b": engines.serve, "c": engines.serve, "d": engines.serve}
			inWorld(t, backends, nil, func(world *world) {
				world.configure(2, audit(4000))
				time.Sleep(2 * time.Second)
				got := world.ask(stream("audit").with("Token-Counts", "300000,500").with("Deadline-Ms", "15000"))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, got.whole)
				engines.mu.Lock()
				defer engines.mu.Unlock()
				assert.Equal(t, engines.asked, 1)
			})
		})
	}
}
