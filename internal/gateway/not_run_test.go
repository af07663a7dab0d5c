package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNotRunStatusNeedsNotExecutedHeader has servers that run requests and respond with a status that means "not run" to
// callers, but without the header Not-Executed. No caller may receive such a status.
func TestNotRunStatusNeedsNotExecutedHeader(t *testing.T) {
	notRunStatuses := []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}
	for _, status := range notRunStatuses {
		for name, callerRequest := range map[string]callerRequest{
			"non-repeatable":       plainRequest(http.MethodPost, "pay"),
			"repeatable":           plainRequest(http.MethodGet, "look"),
			"resumable stream":     streamRequest("chat"),
			"non-resumable stream": streamRequest("bill"),
		} {
			t.Run(fmt.Sprint(status, ", ", name), func(t *testing.T) {
				withFleet(t, 1, 2, func(fleet *fleet) {
					for _, server := range fleet.servers {
						server.script = responses(status, "it ran")
					}
					responses := fleet.queryEvery(callerRequest, 50*time.Millisecond, 200*time.Millisecond)
					for _, response := range responses {
						assert.Assert(t, !slices.Contains(notRunStatuses, response.status), "%d %s", response.status, response.body)
					}
					if strings.HasPrefix(name, "non-") {
						fleet.assertRanOnce()
					}
				})
			})
		}
	}
}

// assertRanOnce checks that each request that reached a server reached one.
func (fleet *fleet) assertRanOnce() {
	for id, runs := range fleet.runsPerRequest() {
		assert.Check(fleet.t, runs == 1, "%s ran %d times", id, runs)
	}
}
