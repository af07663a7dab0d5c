package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPlannedStopDrains(t *testing.T) {
	servers := map[string]backend{"one": streamEvents(60, 0), "two": streamEvents(60, 0)}
	withHarness(t, servers, servers, func(harness *harness) {
		response := make(chan callerResponse, 1)
		go func() { response <- harness.query(streamRequest("chat")) }()
		time.Sleep(500 * time.Millisecond)
		harness.beginShutdown()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, !harness.ready())
		during := harness.query(streamRequest("chat").with("Last-Event-Id", "55"))
		assert.Equal(t, during.status, http.StatusOK, "a request that arrives before the balancer has removed the VM must be served")
		assert.Assert(t, during.closesConnection)
		got := <-response
		assert.Assert(t, got.complete)
		assert.Equal(t, got.body, completeStream(60))
	})
}

// TestDrainingVMRefusesLateRequests guards against accepting requests late in a drain. A VM that is the only one of its
// data centre receives new connections until it stops; it accepted them and had to cut their streams at the end.
func TestDrainingVMRefusesLateRequests(t *testing.T) {
	servers := map[string]backend{"one": streamEvents(60, 0)}
	withHarness(t, servers, servers, func(harness *harness) {
		earlier := make(chan callerResponse, 1)
		time.Sleep(time.Second)
		harness.beginShutdown()
		time.Sleep(2500 * time.Millisecond)
		go func() { earlier <- harness.query(streamRequest("chat")) }()
		time.Sleep(time.Second)
		late := harness.query(streamRequest("chat"))
		assert.Equal(t, late.status, http.StatusServiceUnavailable)
		assert.Assert(t, late.header.Get("Retry-After") != "")
		assert.Assert(t, (<-earlier).complete)
		assert.NilError(t, <-harness.stopped)
		assert.Assert(t, time.Since(harness.stopRequestedAt) < 8*time.Second)
		harness.stopped <- nil
	})
}

func TestRestartedVMServesWithin200ms(t *testing.T) {
	servers := map[string]backend{"one": responses(http.StatusOK, "run")}
	withHarness(t, nil, servers, func(harness *harness) {
		harness.finish()
		started := time.Now()
		harness.start() // includes a wait of 0.1 s
		assert.Assert(t, harness.ready())
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusOK)
		assert.Assert(t, time.Since(started) < 200*time.Millisecond)
	})
}

func TestReloadAppliesBounds(t *testing.T) {
	servers := map[string]backend{"one": responses(http.StatusOK, "run")}
	withHarness(t, nil, servers, func(harness *harness) {
		harness.store.SetFault(metastoreSilent)
		time.Sleep(6 * time.Second)
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusServiceUnavailable)
		site := newSite()
		site.Bounds.Revoke = time.Minute
		harness.instance.Reload(site)
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusOK)
	})
}
