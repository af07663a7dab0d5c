package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/gateway"
)

// Limits on sending a request that crashes servers.
const (
	// crashesAllowed is the number of servers that may crash before the request must be identified as the cause.
	crashesAllowed = 3
	// quarantineTime is the time from the last of these crashes until all VMs must have quarantined the request, and
	// sendsAllowed the number of times that it may still be sent afterwards.
	quarantineTime = 3 * time.Second
	sendsAllowed   = 3
)

// TestCrashingRequestIsQuarantined guards against one request that crashes server after server. Its callers retried it
// through other VMs under new IDs, and each VM treated it as new and sent it to one more server, or to two where the
// stream may be resumed: one fingerprint crashed nine servers in two seconds. The servers were ejected, but the request
// was not quarantined, and half of the short prompts were refused while the servers restarted.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for name, test := range map[string]struct {
		callerRequest callerRequest
		// between runs between the two rounds of requests; nil does nothing.
		between func(fleet *fleet)
	}{
		"resumable stream":           {callerRequest: streamRequest("chat")},
		"stream that must run once":  {callerRequest: streamRequest("bill")},
		"repeatable request":         {callerRequest: plainRequest(http.MethodPost, "look")},
		"request that must run once": {callerRequest: plainRequest(http.MethodPost, "pay")},
		"quarantine has expired": {callerRequest: streamRequest("chat"), between: func(*fleet) {
			time.Sleep(gateway.DefaultSettings().Quarantine.Time)
		}},
		"all VMs restart": {callerRequest: streamRequest("chat"), between: func(fleet *fleet) {
			fleet.stopAll()
			fleet.startAll()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 5, 9, func(fleet *fleet) {
				crashingRequest := test.callerRequest
				crashingRequest.body = crashingBody
				fleet.queryRetrying(crashingRequest, 300*time.Millisecond, 4*time.Second)
				time.Sleep(5 * time.Second)
				if test.between != nil {
					test.between(fleet)
				}
				fleet.queryRetrying(crashingRequest, 300*time.Millisecond, 4*time.Second)
				crashes := fleet.crashes()
				assert.Assert(fleet.t, len(crashes) >= crashesAllowed, "%d servers crashed", len(crashes))
				sends := fleet.sendsAfter(crashingBody, crashes[crashesAllowed-1].Add(quarantineTime))
				assert.Assert(fleet.t, sends <= sendsAllowed, "sent %d more times, %d servers crashed", sends, len(crashes))
			})
		})
	}
}

// TestOtherRequestsAreNotQuarantinedForCrashes guards against quarantining requests that merely run on the servers that
// crash. Their bodies differ, and their callers retry at once, so the same requests are present at many crashes.
func TestOtherRequestsAreNotQuarantinedForCrashes(t *testing.T) {
	const wantReason = `"error":"crashes_servers"`
	withFleet(t, 5, 9, func(fleet *fleet) {
		crashingRequest := streamRequest("chat")
		crashingRequest.body = crashingBody
		otherRequests := []callerRequest{streamRequest("bill"), streamRequest("chat"), plainRequest(http.MethodGet, "look")}
		var callers sync.WaitGroup
		var crashingResponses []callerResponse
		otherResponses := make([][]callerResponse, len(otherRequests))
		callers.Go(func() { crashingResponses = fleet.queryRetrying(crashingRequest, 300*time.Millisecond, 4*time.Second) })
		for number, callerRequest := range otherRequests {
			callers.Go(func() {
				otherResponses[number] = fleet.queryRetrying(callerRequest, 60*time.Millisecond, 4*time.Second)
			})
		}
		callers.Wait()
		last := crashingResponses[len(crashingResponses)-1]
		assert.Equal(fleet.t, last.status, http.StatusServiceUnavailable)
		assert.Assert(fleet.t, strings.Contains(last.body, wantReason), last.body)
		assert.Assert(fleet.t, strings.Contains(last.body, `"not_run":true`), last.body)
		assert.Assert(fleet.t, last.header.Get("Retry-After") > "10", last.header.Get("Retry-After"))
		assert.Assert(fleet.t, last.duration < 20*time.Millisecond, "%s", last.duration)
		for _, responses := range otherResponses {
			for _, got := range responses {
				assert.Assert(fleet.t, !strings.Contains(got.body, wantReason), got.body)
			}
		}
		time.Sleep(entryTime)
		for _, callerRequest := range otherRequests {
			for _, got := range fleet.queryRetrying(callerRequest, 100*time.Millisecond, time.Second) {
				assert.Equal(fleet.t, got.status, http.StatusOK, got.body)
			}
		}
	})
}
