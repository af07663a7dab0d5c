package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNotRunIsPromisedOnlyWhereAServerSaidSo has servers that run requests and answer with a status that tells callers that a
// request has not run, but do not say so in the way in which servers do. No caller gets such a status then.
func TestNotRunIsPromisedOnlyWhereAServerSaidSo(t *testing.T) {
	promises := []int{
		http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}
	for _, status := range promises {
		for name, caller := range map[string]caller{
			"once":                       plain(http.MethodPost, "pay"),
			"repeatable":                 plain(http.MethodGet, "look"),
			"stream":                     stream("chat"),
			"stream that is not resumed": stream("bill"),
		} {
			t.Run(fmt.Sprint(status, ", ", name), func(t *testing.T) {
				inFleet(t, 1, 2, func(fleet *fleet) {
					for _, server := range fleet.servers {
						server.script = answers(status, "it ran")
					}
					for _, answer := range fleet.askFor(caller, 50*time.Millisecond, 200*time.Millisecond) {
						assert.Assert(t, !slices.Contains(promises, answer.status), "%d %s", answer.status, answer.body)
					}
				})
			})
		}
	}
}
