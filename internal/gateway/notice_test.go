package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
)

// Bounds on what reaches a server after it spoke of itself.
const (
	// drainTime is how long after an answer that says that its server leaves that one may get requests of the VM.
	drainTime = 2 * time.Second
	// restTime is the rest that servers ask for, restNotice the time until it must be heeded, and restSends how many
	// requests of the VM may reach the server from then on until it is over.
	restTime   = 3 * time.Second
	restNotice = 500 * time.Millisecond
	restSends  = 2
)

// leaves answers like another server, and says that it leaves.
func leaves(answer backend) backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Server-Leaving", "1")
		answer(world, nth, writer, request)
	}
}

// rests turns requests away and asks for rest.
func rests() backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Retry-After", strconv.FormatFloat(restTime.Seconds(), 'f', -1, 64))
		refuses(http.StatusServiceUnavailable)(world, nth, writer, request)
	}
}

// after does one thing with the first requests, another with the others.
func after(count int, first, others backend) backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		if nth < count {
			first(world, nth, writer, request)
			return
		}
		others(world, nth, writer, request)
	}
}

// askFor lets callers come one each pause for so long.
func (world *world) askFor(caller caller, pause, long time.Duration) []answer {
	var mu sync.Mutex
	var answers []answer
	var asking sync.WaitGroup
	for range int(long / pause) {
		asking.Go(func() {
			got := world.ask(caller)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got)
		})
		time.Sleep(pause)
	}
	asking.Wait()
	return answers
}

// reached returns when requests reached a server.
func (world *world) reached(id string) []time.Time {
	world.mu.Lock()
	defer world.mu.Unlock()
	times := make([]time.Time, 0, len(world.seen[id]))
	for _, seen := range world.seen[id] {
		times = append(times, seen.At)
	}
	return times
}

// A server said in its answers that it leaves, and went on getting requests for as long as it answered: 16 from five
// VMs in ten seconds, of one VM 2.2 s and more after it had passed such an answer on. The store was away, "source lost"
// at 34.56 s, so the server's own entry was in the list at 47.58 s only; "server leaves" is logged at no VM before that,
// and the requests were placed 1.4 ms after they came. Leaving was known from the list alone: the header of an answer
// had no decoder.
func TestServerThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	fine := answers(http.StatusOK, "fine")
	open := plain(http.MethodGet, "open").with("Authorization", "")
	for name, test := range map[string]struct {
		caller caller
		leaves backend
		// away lets the store answer nothing.
		away bool
	}{
		"a success, the store is away": {caller: open, leaves: fine, away: true},
		"a success":                    {caller: plain(http.MethodGet, "look"), leaves: fine},
		"a stream":                     {caller: stream("chat"), leaves: streams(3, 0)},
		"a failure":                    {caller: plain(http.MethodPost, "pay"), leaves: answers(http.StatusInternalServerError, "failed")},
		"no such thing":                {caller: plain(http.MethodPost, "pay"), leaves: answers(http.StatusNotFound, "none")},
		"turned away":                  {caller: plain(http.MethodPost, "pay"), leaves: refuses(http.StatusServiceUnavailable)},
	} {
		t.Run(name, func(t *testing.T) {
			engines := map[string]backend{"one": leaves(test.leaves), "two": streams(3, 0)}
			services := map[string]backend{"one": leaves(test.leaves), "two": fine}
			inWorld(t, engines, services, func(world *world) {
				if test.away {
					world.store.SetFault(metastore.FaultBusy)
				}
				world.askFor(test.caller, 50*time.Millisecond, 2*drainTime)
				for _, id := range []string{"engines-one", "plain-one"} {
					reached := world.reached(id)
					for _, at := range reached {
						assert.Assert(t, at.Sub(reached[0]) <= drainTime, "%d requests, one %s after the first answer", len(reached), at.Sub(reached[0]))
					}
				}
			})
		})
	}
}
