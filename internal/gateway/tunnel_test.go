package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runsPerRequest returns how often servers received each request, by its ID.
func (fleet *fleet) runsPerRequest() map[string]int {
	runs := make(map[string]int)
	for _, received := range fleet.requests() {
		runs[received.Header.Get("Request-Id")]++
	}
	return runs
}

// queryInterval is the time between the requests of queryFirstVM.
const queryInterval = 30 * time.Millisecond

// queryFirstVM sends copies of a request to the first VM, one per queryInterval, and returns all responses.
func (fleet *fleet) queryFirstVM(callerRequest callerRequest, count int) []callerResponse {
	got := make([]callerResponse, count)
	var callers sync.WaitGroup
	for number := range count {
		callers.Go(func() { got[number] = fleet.query(callerRequest) })
		time.Sleep(queryInterval)
	}
	callers.Wait()
	return got
}

// TestUnsafeRequestsRunAtMostOnceThroughOtherVMs guards against requests that run twice, or run although they were refused, when
// the VM that they lead through stops or is cut off too.
func TestUnsafeRequestsRunAtMostOnceThroughOtherVMs(t *testing.T) {
	for name, test := range map[string]struct {
		mode    cutMode
		disturb func(fleet *fleet)
	}{
		"nothing else happens":                  {cutResets, func(*fleet) {}},
		"the others are stopped":                {cutResets, func(fleet *fleet) { fleet.vms[1].stop() }},
		"the others are reset":                  {cutResets, func(fleet *fleet) { fleet.vms[0].network.begin(cutResets, "10.0.") }},
		"the others are cut off too":            {cutResets, func(fleet *fleet) { fleet.vms[1].network.begin(cutResets, serverPrefix) }},
		"connections are accepted and reset":    {cutAcceptsAndResets, func(*fleet) {}},
		"connections are accepted and silent":   {cutAcceptsInSilence, func(*fleet) {}},
		"accepted and silent, the others stop":  {cutAcceptsInSilence, func(fleet *fleet) { fleet.vms[1].stop() }},
		"accepted and silent, the links return": {cutAcceptsInSilence, func(fleet *fleet) { fleet.vms[0].network.end() }},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, 2, func(fleet *fleet) {
				for _, server := range fleet.servers {
					server.script = delayed(300*time.Millisecond, responses(http.StatusOK, "fine"))
				}
				fleet.vms[0].network.begin(test.mode, serverPrefix)
				time.AfterFunc(time.Second, func() { test.disturb(fleet) })
				got := fleet.queryFirstVM(plainRequest(http.MethodPost, "pay"), test.mode.requests())
				runs := fleet.runsPerRequest()
				for id, count := range runs {
					assert.Check(t, count == 1, "%s ran %d times", id, count)
				}
				served, refused := countServed(got), countStatus(got, http.StatusServiceUnavailable)
				assert.Check(t, len(runs)+refused <= len(got), "%d ran and %d were refused of %d", len(runs), refused, len(got))
				assert.Check(t, served >= 20, "%d of %d served", served, len(got))
			})
		})
	}
}

// TestPlannedStopWaitsForTunnels guards against requests of other VMs that are cut when the VM that they lead through stops.
func TestPlannedStopWaitsForTunnels(t *testing.T) {
	withFleet(t, 2, 2, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.script = delayed(1500*time.Millisecond, responses(http.StatusOK, "fine"))
		}
		fleet.vms[0].network.begin(cutResets, serverPrefix)
		var callers sync.WaitGroup
		for range 10 {
			callers.Go(func() {
				got := fleet.query(plainRequest(http.MethodPost, "pay"))
				assert.Check(t, got.status == http.StatusOK, "status %d: %s", got.status, got.body)
			})
			time.Sleep(30 * time.Millisecond)
		}
		fleet.vms[1].stop()
		callers.Wait()
	})
}

// TestVMsThatAllReachNoServerSendNothingInCircles guards against requests that VMs lead to each other without end.
func TestVMsThatAllReachNoServerSendNothingInCircles(t *testing.T) {
	withFleet(t, 3, 2, func(fleet *fleet) {
		for _, vm := range fleet.vms {
			vm.network.begin(cutRefuses, serverPrefix)
		}
		started := time.Now()
		got := fleet.query(plainRequest(http.MethodPost, "pay"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(started) < 3*time.Second)
		assert.Equal(t, len(fleet.requests()), 0)
		for _, vm := range fleet.vms {
			vm.network.end()
		}
		assert.Equal(t, fleet.query(plainRequest(http.MethodPost, "pay")).status, http.StatusOK)
	})
}

// TestServersSilentForASecondAreNotTakenForLost guards against requests that are cut, or led through other VMs, while one of
// several servers, or all, say nothing for a second and then go on.
func TestServersSilentForASecondAreNotTakenForLost(t *testing.T) {
	for name, test := range map[string]struct {
		servers int
		silence time.Duration
	}{
		"one of each service": {servers: 2, silence: time.Second},
		"all":                 {servers: 6, silence: 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, 3, func(fleet *fleet) { fleet.queryDuringSilence(test.servers, test.silence) })
		})
	}
}

// queryDuringSilence sends requests of each kind while the first servers say nothing for some time, on new connections neither,
// and checks that all are served and run once.
func (fleet *fleet) queryDuringSilence(servers int, duration time.Duration) {
	var silence time.Time
	for _, server := range fleet.servers[:servers] {
		script := responses(http.StatusOK, "fine")
		if server.service == "engines" {
			script = streamEvents(8, 0)
		}
		server.silent = func() {
			if since := time.Since(silence); since >= 0 && since < duration {
				time.Sleep(duration - since)
			}
		}
		server.script = script
	}
	for name, request := range map[string]callerRequest{
		"plain": plainRequest(http.MethodPost, "pay"), "safe": plainRequest(http.MethodGet, "look"),
		"stream": streamRequest("bill"), "resumable stream": streamRequest("chat"),
	} {
		silence = time.Now().Add(time.Second)
		got := fleet.queryRoundRobin(request, 20*time.Millisecond, 4*time.Second)
		assert.Equal(fleet.t, countServed(got), len(got), name)
	}
	for id, count := range fleet.runsPerRequest() {
		assert.Check(fleet.t, count == 1, "%s ran %d times", id, count)
	}
}
