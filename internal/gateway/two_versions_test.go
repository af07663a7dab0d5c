package gateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// queriesPerKind is the number of requests of a kind that a test sends.
const queriesPerKind = 40

// kindsOfAnswers returns a kind of request for each kind of route.
func kindsOfAnswers() map[string]kindOfAnswer {
	return map[string]kindOfAnswer{
		"safe":             {request: plainRequest(http.MethodGet, "look"), repeatable: true, whole: wholeAnswer},
		"unsafe":           {request: plainRequest(http.MethodPost, "pay"), whole: wholeAnswer},
		"resumable stream": {request: streamRequest("chat"), repeatable: true, resumable: true, whole: completeStream(3)},
		"stream":           {request: streamRequest("bill"), whole: completeStream(3)},
	}
}

// withTwoVersions runs a test with a number of VMs of which one, the second, is of a version that does not tell how connections of servers end.
// The answers of all servers state no length.
func withTwoVersions(t *testing.T, vms int, test func(fleet *fleet)) {
	t.Helper()
	runFleet(t, vms, 2, &fleet{unframed: []int{2}}, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.script = withoutLength(partsOfStream, endsWhole)
		}
		test(fleet)
	})
}

// TestCutVMUsesVMsThatTellHowAnswersEnd guards against sound answers without a length that are thrown away since they came through a VM
// of an older version, while another one could have led to the server.
func TestCutVMUsesVMsThatTellHowAnswersEnd(t *testing.T) {
	const wantServed = 0.95
	for name, kind := range kindsOfAnswers() {
		t.Run(name, func(t *testing.T) {
			withTwoVersions(t, 3, func(fleet *fleet) {
				fleet.vms[0].network.begin(cutRefuses, serverPrefix)
				got := fleet.queryFirstVM(kind.request, queriesPerKind)
				served := 0
				for _, response := range got {
					if response.status == http.StatusOK && response.complete {
						assert.Equal(t, response.body, kind.whole)
						served++
					}
				}
				assert.Assert(t, float64(served) >= wantServed*queriesPerKind, "%d of %d served", served, queriesPerKind)
			})
		})
	}
}
