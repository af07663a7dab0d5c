package gateway_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// addMembers registers VMs that are not running. Their link capacity is high, so that one of them is chosen as the
// coordinator.
func (harness *harness) addMembers(count int) {
	for number := range count {
		member := exchange.Member{
			VM: fmt.Sprintf("vm-%d", number+2), Address: fmt.Sprintf("10.0.1.%d:82", number+2),
			DataCentre: "north", Capacity: 200,
		}
		value, err := json.Marshal(member)
		assert.NilError(harness.t, err)
		harness.store.Put("keyed.members", member.VM, value)
	}
}

// addPeer starts a coordinator at the address of a registered VM. It replies to each assignment request with the response
// that responseFor returns; where that is nil it replies to heartbeats only.
func (harness *harness) addPeer(number int, responseFor func(request *wire.Ask) *wire.Verdict) net.PacketConn {
	address := fmt.Sprintf("10.0.1.%d:82", number)
	vm := fmt.Sprintf("vm-%d", number)
	conn, err := harness.network.ListenPacket(harness.t.Context(), address)
	assert.NilError(harness.t, err)
	go func() {
		buffer := make([]byte, 8<<10)
		for {
			count, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			reply := &wire.LoadUpdate{Vm: vm, Address: address, UpMs: 60_000}
			if !appendResponses(buffer[:count], reply, responseFor) {
				continue
			}
			data, err := proto.Marshal(reply)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(data, from)
		}
	}()
	return conn
}

// appendResponses adds the responses to the assignment requests of a datagram to a reply. It reports whether a reply must be sent.
func appendResponses(data []byte, reply *wire.LoadUpdate, responseFor func(request *wire.Ask) *wire.Verdict) bool {
	update := &wire.LoadUpdate{}
	if proto.Unmarshal(data, update) != nil {
		return false
	}
	for _, request := range update.GetAsks() {
		if responseFor != nil && !request.GetWithdrawn() {
			reply.Verdicts = append(reply.Verdicts, responseFor(request))
		}
	}
	return len(reply.GetVerdicts()) > 0 || update.GetPing() || update.GetHello()
}

// TestVMAssignsLocallyWithoutCoordinator guards against requests that fail without a coordinator. The VM must assign servers
// itself when all other VMs are unreachable, and when the coordinator is alive but does not reply to assignment requests.
func TestVMAssignsLocallyWithoutCoordinator(t *testing.T) {
	for name, test := range map[string]struct {
		silent      bool
		maxDuration time.Duration
	}{
		"other VMs unreachable":          {maxDuration: 180 * time.Millisecond},
		"coordinator sends no responses": {silent: true, maxDuration: 240 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			engines := map[string]backend{"a": streamEvents(3, 0), "b": streamEvents(3, 0)}
			services := map[string]backend{"c": responses(http.StatusOK, "fine")}
			withHarness(t, engines, services, func(harness *harness) {
				harness.addMembers(30)
				if test.silent {
					conn := harness.addPeer(2, nil)
					defer func() { _ = conn.Close() }()
				}
				harness.restart()
				time.Sleep(4 * time.Second)
				got := harness.query(streamRequest("chat").with("Token-Counts", "1000,50"))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, got.complete)
				assert.Assert(t, got.duration < test.maxDuration, "%s", got.duration)
				got = harness.query(plainRequest(http.MethodGet, "look"))
				assert.Equal(t, got.status, http.StatusOK)
			})
		})
	}
}

// TestUnknownAssignedServerIsExcluded has a coordinator that assigns a server which is no longer listed. The VM must
// exclude only that server when it sends the assignment request again.
func TestUnknownAssignedServerIsExcluded(t *testing.T) {
	engines := map[string]backend{"a": streamEvents(3, 0), "b": streamEvents(3, 0)}
	withHarness(t, engines, nil, func(harness *harness) {
		var mu sync.Mutex
		var tried [][]string
		harness.addMembers(30)
		conn := harness.addPeer(2, func(request *wire.Ask) *wire.Verdict {
			mu.Lock()
			defer mu.Unlock()
			tried = append(tried, request.GetTried())
			response := &wire.Verdict{Id: request.GetId(), Decision: wire.Decision_DECISION_PLACED, Servers: []string{"engines-a"}}
			if len(request.GetTried()) == 0 {
				response.Servers = append(response.GetServers(), "engines-left")
			}
			return response
		})
		defer func() { _ = conn.Close() }()
		harness.restart()
		time.Sleep(4 * time.Second)
		got := harness.query(streamRequest("chat").with("Token-Counts", "1000,50"))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, got.complete)
		mu.Lock()
		defer mu.Unlock()
		assert.DeepEqual(t, tried, [][]string{nil, {"engines-left"}})
	})
}

// withCoordinator runs a test with engines and a coordinator on another VM, which replies with the responses of responseFor.
func withCoordinator(
	t *testing.T, engines map[string]backend, responseFor func(request *wire.Ask) *wire.Verdict, test func(harness *harness),
) {
	t.Helper()
	withHarness(t, engines, nil, func(harness *harness) {
		harness.addMembers(40)
		conn := harness.addPeer(3, responseFor)
		defer func() { _ = conn.Close() }()
		harness.restart()
		time.Sleep(4 * time.Second)
		test(harness)
	})
}

// constantResponse returns a function that gives every assignment request the same decision.
func constantResponse(decision wire.Decision) func(request *wire.Ask) *wire.Verdict {
	return func(request *wire.Ask) *wire.Verdict { return &wire.Verdict{Id: request.GetId(), Decision: decision} }
}

// deadlineRecorder records the times to the objective in the assignment requests that a coordinator receives.
type deadlineRecorder struct {
	mu sync.Mutex
	// timesToObjective has the times from the sending of each request to its objective deadline; negative values are late.
	timesToObjective []time.Duration
	// servers are assigned one after the other; the last one is then repeated.
	servers []string
}

// responseFor records the time to the objective of an assignment request and assigns the next server.
func (deadlineRecorder *deadlineRecorder) responseFor(request *wire.Ask) *wire.Verdict {
	deadlineRecorder.mu.Lock()
	defer deadlineRecorder.mu.Unlock()
	server := deadlineRecorder.servers[min(len(deadlineRecorder.timesToObjective), len(deadlineRecorder.servers)-1)]
	deadlineRecorder.timesToObjective = append(deadlineRecorder.timesToObjective, time.Duration(request.GetDueMs())*time.Millisecond)
	return &wire.Verdict{Id: request.GetId(), Decision: wire.Decision_DECISION_PLACED, Servers: []string{server}}
}

// firstTwo returns the two recorded times and fails the test if there are more or fewer.
func (deadlineRecorder *deadlineRecorder) firstTwo(t *testing.T) (first, second time.Duration) {
	t.Helper()
	deadlineRecorder.mu.Lock()
	defer deadlineRecorder.mu.Unlock()
	assert.Equal(t, len(deadlineRecorder.timesToObjective), 2)
	return deadlineRecorder.timesToObjective[0], deadlineRecorder.timesToObjective[1]
}

// TestCoordinatorRefusalReachesCallerAtOnce has a coordinator that expects no free capacity. The caller must receive a
// refusal with Retry-After at once, and no server may receive the request.
func TestCoordinatorRefusalReachesCallerAtOnce(t *testing.T) {
	responseFor := constantResponse(wire.Decision_DECISION_REFUSED)
	withCoordinator(t, map[string]backend{"a": streamEvents(3, 0)}, responseFor, func(harness *harness) {
		got := harness.query(streamRequest("chat").with("Token-Counts", "1000,50"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Assert(t, got.duration < 30*time.Millisecond, "%s", got.duration)
		assert.Equal(t, len(harness.requests()), 0)
	})
}

// TestShortPromptIsNotQueuedPastCallerTimeout guards against queueing a short prompt for its whole deadline of 10 s when the
// coordinator assigns no server. Its caller disconnects after two seconds without an event.
func TestShortPromptIsNotQueuedPastCallerTimeout(t *testing.T) {
	responseFor := constantResponse(wire.Decision_DECISION_HELD)
	withCoordinator(t, map[string]backend{"a": streamEvents(3, 0)}, responseFor, func(harness *harness) {
		got := harness.query(streamRequest("chat").with("Token-Counts", "1000,50"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Assert(t, got.duration > time.Second && got.duration < 2*time.Second, "%s", got.duration)
	})
}

// TestInterruptedStreamResumesWithinInterTokenObjective guards against resuming an interrupted stream too late. Its second
// assignment request had an objective deadline in the past, so it was ordered behind all new requests.
func TestInterruptedStreamResumesWithinInterTokenObjective(t *testing.T) {
	deadlineRecorder := &deadlineRecorder{servers: []string{"engines-a", "engines-b"}}
	engines := map[string]backend{"a": streamEvents(12, 9), "b": streamEvents(12, 0)}
	withCoordinator(t, engines, deadlineRecorder.responseFor, func(harness *harness) {
		got := harness.query(streamRequest("chat").with("Token-Counts", "1000,50"))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, got.complete)
		_, second := deadlineRecorder.firstTwo(t)
		assert.Assert(t, second > 0 && second <= 250*time.Millisecond, "%s", second)
	})
}

// TestObjectiveCountsFromFirstAttempt has a caller with 700 ms less left than others, which means that it retries. The
// objective counts from its first attempt, so a short prompt is late already; it was treated as a first attempt.
func TestObjectiveCountsFromFirstAttempt(t *testing.T) {
	const tolerance = 25 * time.Millisecond
	for name, test := range map[string]struct {
		tokens        string
		first, second time.Duration
	}{
		"short": {tokens: "1000,50", first: 300 * time.Millisecond, second: -400 * time.Millisecond},
		"long":  {tokens: "150000,50", first: 300 * time.Millisecond, second: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			deadlineRecorder := &deadlineRecorder{servers: []string{"engines-a"}}
			withCoordinator(t, map[string]backend{"a": streamEvents(3, 0)}, deadlineRecorder.responseFor, func(harness *harness) {
				for _, deadline := range []string{"10000", "9300"} {
					got := harness.query(streamRequest("chat").with("Token-Counts", test.tokens).with("Deadline-Ms", deadline))
					assert.Equal(t, got.status, http.StatusOK)
				}
				first, second := deadlineRecorder.firstTwo(t)
				assert.Assert(t, (first-test.first).Abs() < tolerance, "%s", first)
				assert.Assert(t, (second-test.second).Abs() < tolerance, "%s", second)
			})
		})
	}
}
