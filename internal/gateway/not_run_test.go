package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNotRunStatusNeedsNotExecutedHeader has servers that run requests and respond with a status that means "not run" to
// callers, but without the header Not-Executed. No caller may receive such a status.
func TestNotRunStatusNeedsNotExecutedHeader(t *testing.T) {
	notRunStatuses := []int{
		http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable,
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
					for _, response := range fleet.queryEvery(callerRequest, 50*time.Millisecond, 200*time.Millisecond) {
						assert.Assert(t, !slices.Contains(notRunStatuses, response.status), "%d %s", response.status, response.body)
					}
				})
			})
		}
	}
}
