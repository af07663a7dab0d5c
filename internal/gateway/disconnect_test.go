package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDisconnectedCallersCancelRequests has callers that disconnect while their request is queued, waits for a response, or
// has not been sent in full. A server that has the request must receive the cancellation within half a second, and no server
// may receive the request after its caller has disconnected.
func TestDisconnectedCallersCancelRequests(t *testing.T) {
	// Longer than the key/value memory of the only engine, so that it stays queued.
	tooLong := streamRequest("chat").with("Token-Counts", "300000,500")
	incomplete := plainRequest(http.MethodPost, "pay").with("Content-Length", "10")
	for name, test := range map[string]struct {
		callerRequest callerRequest
		// reachesServer reports whether the request reaches a server before its caller disconnects.
		reachesServer bool
	}{
		"queued":                     {callerRequest: tooLong},
		"waits for its first event":  {callerRequest: streamRequest("chat"), reachesServer: true},
		"waits for a plain response": {callerRequest: plainRequest(http.MethodGet, "look"), reachesServer: true},
		"body incomplete":            {callerRequest: incomplete},
	} {
		t.Run(name, func(t *testing.T) {
			cancelledAt := make(chan time.Time, 10)
			waitForCancellation := func(_ *harness, _ int, _ http.ResponseWriter, request *http.Request) {
				<-request.Context().Done()
				cancelledAt <- time.Now()
			}
			withHarness(t, map[string]backend{"one": waitForCancellation}, map[string]backend{"one": waitForCancellation}, func(harness *harness) {
				test.callerRequest.disconnectAfter = 300 * time.Millisecond
				harness.query(test.callerRequest)
				disconnectedAt := time.Now()
				received := len(harness.requests())
				assert.Equal(t, received > 0, test.reachesServer)
				time.Sleep(12 * time.Second)
				assert.Equal(t, len(harness.requests()), received, "no request may reach a server after the caller has disconnected")
				if test.reachesServer {
					assert.Assert(t, (<-cancelledAt).Sub(disconnectedAt) < 500*time.Millisecond)
				}
			})
		})
	}
}

// TestReadyVMServesNewConnections guards against reporting ready too early or for too long: whenever a VM reports that it
// is ready, it must serve a new connection, also right after its start and while the store is unreachable.
func TestReadyVMServesNewConnections(t *testing.T) {
	servers := map[string]backend{"one": responses(http.StatusOK, "run")}
	withHarness(t, nil, servers, func(harness *harness) {
		harness.finish()
		go harness.start()
		checked := 0
		for i := range 200 {
			time.Sleep(5 * time.Millisecond)
			if i == 100 {
				harness.store.SetFault(metastoreSilent)
			}
			if !harness.ready() {
				continue
			}
			checked++
			assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusOK)
		}
		assert.Assert(t, checked > 100)
	})
}

func TestDisconnectedCallerCancelsStream(t *testing.T) {
	cancelledAt := make(chan time.Time, 1)
	servers := map[string]backend{"one": func(_ *harness, _ int, _ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		cancelledAt <- time.Now()
	}}
	withHarness(t, servers, nil, func(harness *harness) {
		callerRequest := streamRequest("chat")
		callerRequest.disconnectAfter = 300 * time.Millisecond
		started := time.Now()
		harness.query(callerRequest)
		assert.Assert(t, (<-cancelledAt).Sub(started) < 800*time.Millisecond)
	})
}
