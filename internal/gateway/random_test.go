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

// Sizes of a random run.
const (
	randomSeeds    = 25
	randomRequests = 60
	// randomTime is over how long the requests are spread.
	randomTime = 12 * time.Second
	// lastEvent is the last event of each stream.
	lastEvent = 8
	// latest is when a request must have ended: the longest time of a route and a
	// second.
	latest = 11 * time.Second
)

// chances draws what a server does with a request, the same whenever it comes.
func chances(seed int, id, server string) *rand.Rand {
	digest := fnv.New64a()
	_, _ = fmt.Fprintf(digest, "%d %s %s", seed, id, server)
	return rand.New(rand.NewPCG(digest.Sum64(), 1))
}

// oracle knows what ran, from what the servers did.
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

// unreliable returns a server that does any of what servers do wrong.
func (oracle *oracle) unreliable(seed int, name string, right backend, cut backend) backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("Request-Id")
		chance := chances(seed, id, name).Float64()
		if chance < 0.12 {
			refuses(http.StatusServiceUnavailable)(world, nth, writer, request)
			return
		}
		oracle.ran(id)
		switch {
		case chance < 0.20:
			breaks()(world, nth, writer, request)
		case chance < 0.28:
			answers(http.StatusInternalServerError, "failed")(world, nth, writer, request)
		case chance < 0.32:
			hangs()(world, nth, writer, request)
		case chance < 0.36:
			writer.Header().Set("Request-Id", "of-another")
			writer.Header().Set("Response-Seal", "x")
			_, _ = io.WriteString(writer, "of another")
		case chance < 0.50:
			cut(world, nth, writer, request)
		case chance < 0.60:
			request.Header.Del("Last-Event-Id") // it sends what the caller has, too
			right(world, nth, writer, request)
		default:
			right(world, nth, writer, request)
		}
	}
}

// cutBody sends a part of a plain answer.
func cutBody(_ *world, _ int, writer http.ResponseWriter, request *http.Request) {
	seal(writer, request)
	writer.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(writer, "part")
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}

// TestRandomFaults sends requests of all kinds to servers that fail in all ways,
// while the store fails too, and compares what callers get with what ran.
func TestRandomFaults(t *testing.T) {
	for seed := range randomSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			oracle := &oracle{runs: make(map[string]int)}
			engines, plain := make(map[string]backend), make(map[string]backend)
			for _, name := range []string{"one", "two", "three", "four"} {
				engines[name] = oracle.unreliable(seed, name, streams(lastEvent, 0), streams(lastEvent, 3))
				plain[name] = oracle.unreliable(seed, name, answers(http.StatusOK, "whole"), cutBody)
			}
			inWorld(t, engines, plain, func(world *world) { oracle.play(world, seed) })
		})
	}
}

// play sends the requests of one seed and checks their answers.
func (oracle *oracle) play(world *world, seed int) {
	random := rand.New(rand.NewPCG(uint64(seed), 2))
	callers := []caller{plain(http.MethodGet, "look"), plain(http.MethodPost, "pay"), stream("chat"), stream("bill")}
	faults := []metastore.Fault{metastore.FaultNone, metastore.FaultBusy, metastore.FaultSilent, metastore.FaultReset}
	fault := faults[random.IntN(len(faults))]
	time.AfterFunc(randomTime/4, func() { world.store.SetFault(fault) })
	time.AfterFunc(randomTime/2, func() { world.store.SetFault(metastore.FaultNone) })
	var running sync.WaitGroup
	for number := range randomRequests {
		route := random.IntN(len(callers))
		id := fmt.Sprintf("random-%d-%d", seed, number)
		caller := callers[route].with("Request-Id", id)
		start := time.Duration(random.Int64N(int64(randomTime)))
		running.Go(func() {
			time.Sleep(start)
			oracle.check(world, id, route, world.ask(caller))
		})
	}
	running.Wait()
}

// check compares one answer with what ran.
func (oracle *oracle) check(world *world, id string, route int, got answer) {
	t := world.t
	repeatable := route == 0 || route == 2
	streamed := route >= 2
	runs := oracle.count(id)
	if got.took > latest {
		t.Errorf("%s took %s", id, got.took)
	}
	if !repeatable && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	if got.status == http.StatusServiceUnavailable && runs > 0 {
		t.Errorf("%s ran %d times and was said not to have run", id, runs)
	}
	switch {
	case got.status != http.StatusOK:
		return
	case !streamed:
		assert.Check(t, got.whole && got.body == "whole", "%s: %q", id, got.body)
	case got.whole:
		assert.Check(t, got.body == wholeStream(lastEvent), "%s: %q", id, got.body)
	default:
		assert.Check(t, strings.HasPrefix(wholeStream(lastEvent), got.body), "%s: %q", id, got.body)
		assert.Check(t, got.body == "" || strings.HasSuffix(got.body, "\n\n"), "%s ends within an event: %q", id, got.body)
	}
}
