package gateway_test

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
)

// Bounds on the requests that reach a server after it has reported that it drains or backs off.
const (
	// drainTime is the time after a response with a drain notice in which its server may still receive requests from the VM.
	drainTime = 2 * time.Second
	// backoffTime is the Retry-After that servers report and backoffNotice the time in which it must be observed. From then
	// until the end of backoffTime, backoffSends requests from the VM may reach the server.
	backoffTime   = 3 * time.Second
	backoffNotice = 500 * time.Millisecond
	backoffSends  = 2
)

// draining wraps a backend so that its responses report that the server drains.
func draining(next backend) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Server-Leaving", "1")
		next(harness, nth, writer, request)
	}
}

// refuseWithRetryAfter returns a backend that refuses requests with a Retry-After of backoffTime.
func refuseWithRetryAfter() backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Retry-After", strconv.FormatFloat(backoffTime.Seconds(), 'f', -1, 64))
		refuse(http.StatusServiceUnavailable)(harness, nth, writer, request)
	}
}

// everyThird handles every third request with one backend and the others with another.
func everyThird(usual, third backend) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		if nth%3 == 2 {
			third(harness, nth, writer, request)
			return
		}
		usual(harness, nth, writer, request)
	}
}

// recordRefusals wraps a backend that refuses requests and records the times of its refusals.
func recordRefusals(refusedAt *[]time.Time, refuse backend) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		harness.mu.Lock()
		*refusedAt = append(*refusedAt, time.Now())
		harness.mu.Unlock()
		refuse(harness, nth, writer, request)
	}
}

// queryEvery sends copies of a request, one per interval for a duration, and returns all responses.
func (harness *harness) queryEvery(callerRequest callerRequest, interval, duration time.Duration) []callerResponse {
	var mu sync.Mutex
	var responses []callerResponse
	var callers sync.WaitGroup
	for range int(duration / interval) {
		callers.Go(func() {
			got := harness.query(callerRequest)
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, got)
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return responses
}

// arrivals returns the times at which requests reached a server.
func (harness *harness) arrivals(id string) []time.Time {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	times := make([]time.Time, 0, len(harness.received[id]))
	for _, received := range harness.received[id] {
		times = append(times, received.At)
	}
	return times
}

// TestDrainNoticeStopsRequests guards against requests to a server that reports in its responses that it drains. The header
// was not read, and the store was unreachable, so that the VMs read the entry that says so 13 s after the store had failed. The
// server received 16 requests from five VMs in ten seconds, some of them 2.2 s and more after the first such response.
func TestDrainNoticeStopsRequests(t *testing.T) {
	fine := responses(http.StatusOK, "fine")
	open := plainRequest(http.MethodGet, "open").with("Authorization", "")
	for name, test := range map[string]struct {
		callerRequest callerRequest
		draining      backend
		// storeDown makes the store fail all calls.
		storeDown bool
	}{
		"success while the store is unreachable": {callerRequest: open, draining: fine, storeDown: true},
		"success":                                {callerRequest: plainRequest(http.MethodGet, "look"), draining: fine},
		"stream":                                 {callerRequest: streamRequest("chat"), draining: streamEvents(3, 0)},
		"failure":                                {callerRequest: plainRequest(http.MethodPost, "pay"), draining: responses(http.StatusInternalServerError, "failed")},
		"not found":                              {callerRequest: plainRequest(http.MethodPost, "pay"), draining: responses(http.StatusNotFound, "none")},
		"refused":                                {callerRequest: plainRequest(http.MethodPost, "pay"), draining: refuse(http.StatusServiceUnavailable)},
	} {
		t.Run(name, func(t *testing.T) {
			engines := map[string]backend{"one": draining(test.draining), "two": streamEvents(3, 0)}
			services := map[string]backend{"one": draining(test.draining), "two": fine}
			withHarness(t, engines, services, func(harness *harness) {
				if test.storeDown {
					harness.store.SetFault(metastore.FaultBusy)
				}
				harness.queryEvery(test.callerRequest, 50*time.Millisecond, 2*drainTime)
				for _, id := range []string{"engines-one", "plain-one"} {
					arrivals := harness.arrivals(id)
					for _, at := range arrivals {
						assert.Assert(t, at.Sub(arrivals[0]) <= drainTime, "%d requests, one %s after the first", len(arrivals), at.Sub(arrivals[0]))
					}
				}
			})
		})
	}
}

// TestRetryAfterOfServerIsObserved guards against requests to a server that has refused one with a Retry-After. The header
// was not read. Two consecutive failures ejected an engine for one second only, and each earlier stream that completed there
// ended the ejection: an engine that reported 3 s received three more requests from the VM in that time, although other
// engines had capacity.
func TestRetryAfterOfServerIsObserved(t *testing.T) {
	fine := delayed(100*time.Millisecond, responses(http.StatusOK, "fine"))
	failing := responses(http.StatusInternalServerError, "failed")
	for name, test := range map[string]struct {
		callerRequest callerRequest
		// begins handles two of three requests to the server that refuses the third; nil means that it refuses all.
		begins backend
		// otherServers has the other servers of the service.
		otherServers map[string]backend
	}{
		"engine that completes other streams":    {callerRequest: streamRequest("chat"), begins: streamEvents(40, 0), otherServers: map[string]backend{"two": streamEvents(40, 0)}},
		"plain server that serves some requests": {callerRequest: plainRequest(http.MethodPost, "pay"), begins: fine, otherServers: map[string]backend{"two": fine}},
		"all other engines fail":                 {callerRequest: streamRequest("chat"), otherServers: map[string]backend{"two": failing}},
		"only engine":                            {callerRequest: streamRequest("chat")},
		"only plain server":                      {callerRequest: plainRequest(http.MethodPost, "pay")},
		"one of three plain servers":             {callerRequest: plainRequest(http.MethodPost, "pay"), otherServers: map[string]backend{"two": fine, "three": fine}},
	} {
		t.Run(name, func(t *testing.T) {
			var refusedAt []time.Time
			refusing := recordRefusals(&refusedAt, refuseWithRetryAfter())
			if test.begins != nil {
				refusing = everyThird(test.begins, refusing)
			}
			servers := map[string]backend{"one": refusing}
			maps.Copy(servers, test.otherServers)
			withHarness(t, servers, servers, func(harness *harness) {
				harness.queryEvery(test.callerRequest, 40*time.Millisecond, 3*backoffTime)
				assert.Assert(t, len(refusedAt) > 0)
				for _, id := range []string{"engines-one", "plain-one"} {
					assertBackoff(t, refusedAt, harness.arrivals(id))
				}
			})
		})
	}
}

// assertBackoff checks that at most backoffSends requests reached a server during the backoff after each of its refusals.
func assertBackoff(t *testing.T, refusedAt, arrivals []time.Time) {
	t.Helper()
	for _, refused := range refusedAt {
		sends := 0
		for _, at := range arrivals {
			if elapsed := at.Sub(refused); elapsed > backoffNotice && elapsed < backoffTime {
				sends++
			}
		}
		assert.Assert(t, sends <= backoffSends, "%d requests in all, %d of them during the backoff after one refusal", len(arrivals), sends)
	}
}

// TestRefusalCarriesBackoffOfServer has a service whose only server has reported a Retry-After. Until then requests must be
// refused at once, and the Retry-After of the refusals must not end before that of the server.
func TestRefusalCarriesBackoffOfServer(t *testing.T) {
	for name, callerRequest := range map[string]callerRequest{
		"engine": streamRequest("chat"), "plain server": plainRequest(http.MethodPost, "pay"),
	} {
		t.Run(name, func(t *testing.T) {
			servers := map[string]backend{"one": refuseWithRetryAfter()}
			withHarness(t, servers, servers, func(harness *harness) {
				startedAt := time.Now()
				harness.query(callerRequest)
				for _, got := range harness.queryEvery(callerRequest, 100*time.Millisecond, backoffTime/2) {
					assert.Equal(t, got.status, http.StatusServiceUnavailable)
					assert.Assert(t, got.duration < 20*time.Millisecond, "%s", got.duration)
					assert.Assert(t, strings.Contains(got.body, `"not_run":true`), got.body)
					seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					assert.NilError(t, err)
					assert.Assert(t, seconds > 0 && seconds < 2*backoffTime.Seconds(), "%v", seconds)
					retryAt := got.headersAt.Add(time.Duration(seconds * float64(time.Second)))
					assert.Assert(t, retryAt.Sub(startedAt) >= backoffTime, "Retry-After ends %s after the backoff began", retryAt.Sub(startedAt))
				}
			})
		})
	}
}

// normal returns a request and a backend without faults for each service, by the name of the case.
func normal() map[string]struct {
	callerRequest callerRequest
	responses     backend
} {
	return map[string]struct {
		callerRequest callerRequest
		responses     backend
	}{
		"engines":       {callerRequest: streamRequest("chat"), responses: streamEvents(40, 0)},
		"plain servers": {callerRequest: plainRequest(http.MethodGet, "look"), responses: delayed(100*time.Millisecond, responses(http.StatusOK, "fine"))},
	}
}

// TestDrainNoticeStopsRequestsInFleet has several VMs with a coordinator. A drain notice that a VM receives must hold for the
// requests of that VM, whichever VM assigns its servers.
func TestDrainNoticeStopsRequestsInFleet(t *testing.T) {
	for name, test := range normal() {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 6, 3, func(fleet *fleet) {
				drainingServers := fleet.servers[:2]
				for _, server := range drainingServers {
					server.script = draining(test.responses)
				}
				fleet.queryTaggedRoundRobin(test.callerRequest, 8*time.Millisecond, 2*drainTime)
				fleet.forEachPair(drainingServers, func(vm *fleetVM, server *fleetServer) {
					arrivals := fleet.arrivalsFrom(vm, server)
					for _, at := range arrivals {
						assert.Assert(fleet.t, at.Sub(arrivals[0]) <= drainTime, "%d requests, one %s after the first", len(arrivals), at.Sub(arrivals[0]))
					}
				})
			})
		})
	}
}

// TestRetryAfterOfServerIsObservedInFleet is TestDrainNoticeStopsRequestsInFleet for servers that report a Retry-After.
func TestRetryAfterOfServerIsObservedInFleet(t *testing.T) {
	for name, test := range normal() {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 5, 2, func(fleet *fleet) {
				refusedAt := make(map[string][]time.Time)
				refusing := fleet.servers[:2]
				for _, server := range refusing {
					server.script = everyThird(test.responses, fleet.recordRefusalsByVM(refusedAt, refuseWithRetryAfter()))
				}
				fleet.queryTaggedRoundRobin(test.callerRequest, 8*time.Millisecond, 3*backoffTime)
				assert.Assert(fleet.t, len(refusedAt) > 0)
				fleet.forEachPair(refusing, func(vm *fleetVM, server *fleetServer) {
					assertBackoff(fleet.t, refusedAt[vm.address()+server.id()], fleet.arrivalsFrom(vm, server))
				})
			})
		})
	}
}

// forEachPair calls visit for each pair of a VM and one of the servers.
func (fleet *fleet) forEachPair(servers []*fleetServer, visit func(vm *fleetVM, server *fleetServer)) {
	for _, vm := range fleet.vms {
		for _, server := range servers {
			visit(vm, server)
		}
	}
}

// recordRefusalsByVM is recordRefusals with a list per VM and server, keyed by the VM's address and the server's ID.
func (fleet *fleet) recordRefusalsByVM(refusedAt map[string][]time.Time, refuse backend) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		key := request.Header.Get(headerVM) + request.Header.Get("Expect-Instance")
		fleet.mu.Lock()
		refusedAt[key] = append(refusedAt[key], time.Now())
		fleet.mu.Unlock()
		refuse(harness, nth, writer, request)
	}
}

// TestOtherServersServeDuringNotices has servers that report a drain or a Retry-After in every third response. No request may
// be refused or fail as long as the service has other servers.
func TestOtherServersServeDuringNotices(t *testing.T) {
	for name, test := range map[string]struct {
		vms, servers, notifying int
		notify                  func(normal backend) backend
	}{
		"one of three drains, 3 VMs":    {vms: 3, servers: 3, notifying: 1, notify: draining},
		"five of six drain, 6 VMs":      {vms: 6, servers: 6, notifying: 5, notify: draining},
		"one of three backs off, 3 VMs": {vms: 3, servers: 3, notifying: 1, notify: func(backend) backend { return refuseWithRetryAfter() }},
		"five of six back off, 6 VMs":   {vms: 6, servers: 6, notifying: 5, notify: func(backend) backend { return refuseWithRetryAfter() }},
		"three of six back off, 1 VM":   {vms: 1, servers: 6, notifying: 3, notify: func(backend) backend { return refuseWithRetryAfter() }},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, test.vms, test.servers, func(fleet *fleet) {
				fine := delayed(20*time.Millisecond, responses(http.StatusOK, "fine"))
				notifying := 0
				for _, server := range fleet.servers {
					server.script = fine
					if server.service == "plain" && notifying < test.notifying {
						notifying++
						server.script = everyThird(fine, test.notify(fine))
					}
				}
				for _, got := range fleet.queryEvery(plainRequest(http.MethodGet, "look"), 20*time.Millisecond, 3*backoffTime) {
					assert.Equal(t, got.status, http.StatusOK, got.body)
				}
			})
		})
	}
}
