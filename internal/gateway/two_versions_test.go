package gateway_test

import (
	"net/http"
	"testing"
	"time"

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

// forEachKind runs a test with two versions, as withTwoVersions does, once for each kind of route.
func forEachKind(t *testing.T, vms int, test func(t *testing.T, fleet *fleet, kind kindOfAnswer)) {
	t.Helper()
	for name, kind := range kindsOfAnswers() {
		t.Run(name, func(t *testing.T) {
			withTwoVersions(t, vms, func(fleet *fleet) { test(t, fleet, kind) })
		})
	}
}

// TestCutVMUsesVMsThatTellHowAnswersEnd guards against sound answers without a length that are thrown away since they came through a VM
// of an older version, while another one could have led to the server.
func TestCutVMUsesVMsThatTellHowAnswersEnd(t *testing.T) {
	const wantServed = 0.95
	forEachKind(t, 3, func(t *testing.T, fleet *fleet, kind kindOfAnswer) {
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
}

// TestRequestIsNotSentWhereItsAnswerCouldNotBeUsed guards against requests that run and whose sound answers are thrown away: answers of the
// route state no length, and only a VM of an older version can lead to the servers.
func TestRequestIsNotSentWhereItsAnswerCouldNotBeUsed(t *testing.T) {
	forEachKind(t, 2, func(t *testing.T, fleet *fleet, kind kindOfAnswer) {
		before := fleet.query(kind.request)
		assert.Equal(t, before.body, kind.whole)
		ran := len(fleet.requests())
		fleet.vms[0].network.begin(cutRefuses, serverPrefix)
		time.AfterFunc(15*time.Second, fleet.vms[0].network.end)
		got := fleet.queryFirstVM(kind.request, queriesPerKind)
		assert.Equal(t, len(fleet.requests()), ran)
		assert.Equal(t, countStatus(got, http.StatusServiceUnavailable), queriesPerKind)
	})
}

// TestRequestWaitsForTheLinkWhereItsAnswerCouldNotBeUsed guards against refusals during a cut that ends within the requests' time.
func TestRequestWaitsForTheLinkWhereItsAnswerCouldNotBeUsed(t *testing.T) {
	forEachKind(t, 2, func(t *testing.T, fleet *fleet, kind kindOfAnswer) {
		fleet.query(kind.request)
		fleet.vms[0].network.begin(cutRefuses, serverPrefix)
		time.AfterFunc(600*time.Millisecond, fleet.vms[0].network.end)
		got := fleet.queryFirstVM(kind.request, 10)
		assert.Equal(t, countServed(got), 10)
		for id, count := range fleet.runsPerRequest() {
			assert.Check(t, count == 1, "%s ran %d times", id, count)
		}
	})
}

// TestAnswersWithALengthNeedNoEvidence guards against refusals of requests whose answers state their length, where only a VM of an
// older version can lead to the servers.
func TestAnswersWithALengthNeedNoEvidence(t *testing.T) {
	for name, kind := range kindsOfAnswers() {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 2, 2, &fleet{unframed: []int{2}}, func(fleet *fleet) {
				fleet.query(kind.request)
				fleet.vms[0].network.begin(cutRefuses, serverPrefix)
				got := fleet.queryFirstVM(kind.request, queriesPerKind)
				assert.Equal(t, countServed(got), queriesPerKind)
			})
		})
	}
}

// TestFewAnswersAreThrownAwayWhereNothingIsKnown guards against more than the first answers being thrown away at a VM that has seen none
// of the route, as after its restart.
func TestFewAnswersAreThrownAwayWhereNothingIsKnown(t *testing.T) {
	withTwoVersions(t, 2, func(fleet *fleet) {
		fleet.vms[0].network.begin(cutRefuses, serverPrefix)
		first := fleet.query(plainRequest(http.MethodPost, "pay"))
		assert.Equal(t, first.status, http.StatusBadGateway, "%s", first.body)
		got := fleet.queryFirstVM(plainRequest(http.MethodPost, "pay"), queriesPerKind)
		assert.Equal(t, countStatus(got, http.StatusServiceUnavailable), queriesPerKind)
		assert.Equal(t, len(fleet.requests()), 1)
	})
}

// TestRequestIsNotSentOnALinkThatIsCut guards against requests that are sent on the VM's own link, which accepts connections and resets
// them, where only a VM of an older version is left and can't be used: they ended as "may have run" though no server saw them. They wait
// for a way within their time instead, and are then refused as not run.
func TestRequestIsNotSentOnALinkThatIsCut(t *testing.T) {
	forEachKind(t, 2, func(t *testing.T, fleet *fleet, kind kindOfAnswer) {
		before := fleet.query(kind.request)
		assert.Equal(t, before.body, kind.whole)
		fleet.vms[0].network.begin(cutAcceptsAndResets, serverPrefix)
		time.AfterFunc(25*time.Second, fleet.vms[0].network.end)
		fleet.queryFirstVM(plainRequest(http.MethodGet, "look"), queriesPerKind) // until the VM sees the cut
		ran := len(fleet.requests())
		got := fleet.queryFirstVM(kind.request, queriesPerKind)
		assert.Equal(t, len(fleet.requests()), ran)
		assert.Equal(t, countStatus(got, http.StatusServiceUnavailable), queriesPerKind, "%d 502", countStatus(got, http.StatusBadGateway))
	})
}

// TestRequestWaitsForALinkThatIsCut checks that such a request is served when the link returns within its time.
func TestRequestWaitsForALinkThatIsCut(t *testing.T) {
	forEachKind(t, 2, func(t *testing.T, fleet *fleet, kind kindOfAnswer) {
		fleet.query(kind.request)
		fleet.vms[0].network.begin(cutAcceptsAndResets, serverPrefix)
		fleet.queryFirstVM(plainRequest(http.MethodGet, "look"), queriesPerKind) // until the VM sees the cut
		time.AfterFunc(600*time.Millisecond, fleet.vms[0].network.end)
		got := fleet.queryFirstVM(kind.request, 10)
		assert.Equal(t, countServed(got), 10)
	})
}
