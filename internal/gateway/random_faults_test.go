package gateway_test

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
)

// Sizes of a run with random faults.
const (
	randomSeeds    = 25
	randomRequests = 60
	// randomTime is the period over which the requests are spread.
	randomTime = 12 * time.Second
	// lastEvent is the ID of the last event of each stream.
	lastEvent = 8
	// maxDuration is the longest permitted duration of a request: the longest timeout of a route and one second.
	maxDuration = 11 * time.Second
)

// requestRandom returns a generator that yields the same numbers for the same seed, request ID and server.
func requestRandom(seed int, id, server string) *rand.Rand {
	digest := fnv.New64a()
	_, _ = fmt.Fprintf(digest, "%d %s %s", seed, id, server)
	return rand.New(rand.NewPCG(digest.Sum64(), 1))
}

// oracle counts how often the servers ran each request, by its ID.
type oracle struct {
	mu   sync.Mutex
	runs map[string]int
}

func (oracle *oracle) ran(id string) {
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	oracle.runs[id]++
}

func (oracle *oracle) count(id string) int {
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	return oracle.runs[id]
}

// faultyBackend returns a backend that refuses, fails, truncates or serves each request, as seed and name determine. It uses
// correct for a response without fault and truncated for an incomplete one.
func (oracle *oracle) faultyBackend(seed int, name string, correct backend, truncated backend) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("Request-Id")
		chance := requestRandom(seed, id, name).Float64()
		if chance < 0.12 {
			refuse(http.StatusServiceUnavailable)(harness, nth, writer, request)
			return
		}
		oracle.ran(id)
		switch {
		case chance < 0.20:
			closeConnection()(harness, nth, writer, request)
		case chance < 0.28:
			responses(http.StatusInternalServerError, "failed")(harness, nth, writer, request)
		case chance < 0.32:
			hang()(harness, nth, writer, request)
		case chance < 0.36:
			writer.Header().Set("Request-Id", "of-another")
			writer.Header().Set("Response-Seal", "x")
			_, _ = io.WriteString(writer, "of another")
		case chance < 0.50:
			truncated(harness, nth, writer, request)
		case chance < 0.60:
			request.Header.Del("Last-Event-Id") // it also sends the events that the caller has received
			correct(harness, nth, writer, request)
		default:
			correct(harness, nth, writer, request)
		}
	}
}

// truncateBody sends a part of a plain response and closes the connection.
func truncateBody(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
	seal(writer, request)
	writer.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(writer, "part")
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}

// TestRandomFaults sends requests to all routes while the servers and the store fail at random, and compares the responses
// with the executions on the servers.
func TestRandomFaults(t *testing.T) {
	for seed := range randomSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			oracle := &oracle{runs: make(map[string]int)}
			engines, plainServers := make(map[string]backend), make(map[string]backend)
			for _, name := range []string{"one", "two", "three", "four"} {
				engines[name] = oracle.faultyBackend(seed, name, streamEvents(lastEvent, 0), streamEvents(lastEvent, 3))
				plainServers[name] = oracle.faultyBackend(seed, name, responses(http.StatusOK, "whole"), truncateBody)
			}
			withHarness(t, engines, plainServers, func(harness *harness) { oracle.runSeed(harness, seed) })
		})
	}
}

// runSeed sends the requests of one seed and checks their responses.
func (oracle *oracle) runSeed(harness *harness, seed int) {
	random := rand.New(rand.NewPCG(uint64(seed), 2))
	requests := []callerRequest{plainRequest(http.MethodGet, "look"), plainRequest(http.MethodPost, "pay"), streamRequest("chat"), streamRequest("bill")}
	faults := []metastore.Fault{metastore.FaultNone, metastore.FaultBusy, metastore.FaultNoResponse, metastore.FaultReset}
	fault := faults[random.IntN(len(faults))]
	time.AfterFunc(randomTime/4, func() { harness.store.SetFault(fault) })
	time.AfterFunc(randomTime/2, func() { harness.store.SetFault(metastore.FaultNone) })
	var running sync.WaitGroup
	for index := range randomRequests {
		route := random.IntN(len(requests))
		id := fmt.Sprintf("random-%d-%d", seed, index)
		callerRequest := requests[route].with("Request-Id", id)
		start := time.Duration(random.Int64N(int64(randomTime)))
		running.Go(func() {
			time.Sleep(start)
			oracle.check(harness, id, route, harness.query(callerRequest))
		})
	}
	running.Wait()
}

// check compares one response with the executions of its request.
func (oracle *oracle) check(harness *harness, id string, route int, got callerResponse) {
	t := harness.t
	repeatable := route == 0 || route == 2
	streamed := route >= 2
	runs := oracle.count(id)
	if got.duration > maxDuration {
		t.Errorf("%s took %s", id, got.duration)
	}
	if !repeatable && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	if got.status == http.StatusServiceUnavailable && runs > 0 {
		t.Errorf("%s ran %d times and was reported as not run", id, runs)
	}
	switch {
	case got.status != http.StatusOK:
		return
	case !streamed:
		assert.Check(t, got.complete && got.body == "whole", "%s: %q", id, got.body)
	case got.complete:
		assert.Check(t, got.body == completeStream(lastEvent), "%s: %q", id, got.body)
	default:
		assert.Check(t, strings.HasPrefix(completeStream(lastEvent), got.body), "%s: %q", id, got.body)
		assert.Check(t, got.body == "" || strings.HasSuffix(got.body, "\n\n"), "%s ends in the middle of an event: %q", id, got.body)
	}
}
