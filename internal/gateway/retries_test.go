package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bounds on the retries of all VMs together, as the platform defines them.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
)

// failOneOf returns a backend that fails one of every count requests.
func failOneOf(count int) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		status := http.StatusOK
		if nth%count == count-1 {
			status = http.StatusInternalServerError
		}
		responses(status, "an answer")(harness, nth, writer, request)
	}
}

// retryTimes returns the arrival times, in order, of requests that a server of the service had received before.
func (fleet *fleet) retryTimes(service string) []time.Time {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	arrivals := make(map[string][]time.Time)
	for _, server := range fleet.servers {
		if server.service != service {
			continue
		}
		for _, received := range fleet.received[server.id()] {
			id := received.Header.Get("Request-Id")
			arrivals[id] = append(arrivals[id], received.At)
		}
	}
	var retryTimes []time.Time
	for _, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		retryTimes = append(retryTimes, times[1:]...)
	}
	slices.SortFunc(retryTimes, time.Time.Compare)
	return retryTimes
}

// TestManyVMsShareRetryBudget has more VMs than the retry slack has retries. With the slack divided among the VMs, each had less
// than one retry and none was ever made. All VMs together must stay within the budget, also while servers fail half of all
// requests and while the coordinator, which grants retries, is stopped.
func TestManyVMsShareRetryBudget(t *testing.T) {
	const retrySlack = 10.0
	for name, test := range map[string]struct {
		oneOf int
		// served is the smallest permitted fraction of requests that are served; zero permits any.
		served           float64
		coordinatorStops bool
	}{
		"one of ten requests fails":                    {oneOf: 10, served: 0.98},
		"half of the requests fail":                    {oneOf: 2},
		"coordinator stops":                            {oneOf: 10, coordinatorStops: true},
		"coordinator stops, half of the requests fail": {oneOf: 2, coordinatorStops: true},
	} {
		for _, vms := range []int{18, 36} {
			t.Run(name+", "+strconv.Itoa(vms)+" VMs", func(t *testing.T) {
				withFleetRetrySlack(t, vms, 3, retrySlack, func(fleet *fleet) {
					for _, server := range fleet.servers {
						server.script = failOneOf(test.oneOf)
					}
					if test.coordinatorStops {
						time.AfterFunc(6*time.Second, func() { fleet.stopCoordinator() })
					}
					const interval, duration = 20 * time.Millisecond, 14 * time.Second
					responses := fleet.queryRoundRobin(plainRequest(http.MethodGet, "look"), interval, duration)
					served := countServed(responses)
					assert.Assert(t, float64(served) >= test.served*float64(len(responses)), "%d of %d", served, len(responses))
					retryTimes := fleet.retryTimes("plain")
					allowed := int(retryRatio*float64(retryWindow/interval) + retrySlack)
					got := maxWithin(retryTimes, retryWindow)
					assert.Assert(t, got <= allowed, "%d retries in %s, allowed %d", got, retryWindow, allowed)
					assert.Assert(t, len(retryTimes) > 10, "%d retries", len(retryTimes))
				})
			})
		}
	}
}

func countServed(responses []callerResponse) int {
	return countStatus(responses, http.StatusOK)
}

// countStatus counts the responses with a status.
func countStatus(responses []callerResponse, status int) int {
	count := 0
	for _, got := range responses {
		if got.status == status {
			count++
		}
	}
	return count
}

// maxWithin returns the largest number of times, which must be in order, in any period of a length.
func maxWithin(times []time.Time, period time.Duration) int {
	maxCount, oldest := 0, 0
	for last, newest := range times {
		for newest.Sub(times[oldest]) >= period {
			oldest++
		}
		maxCount = max(maxCount, last-oldest+1)
	}
	return maxCount
}

// queryRoundRobin sends copies of a request to the VMs in turn, one per interval for a duration, and returns the responses in
// order of the requests.
func (fleet *fleet) queryRoundRobin(callerRequest callerRequest, interval, duration time.Duration) []callerResponse {
	responses := make([]callerResponse, int(duration/interval))
	var callers sync.WaitGroup
	for index := range responses {
		attempt := callerRequest
		attempt.vm = fleet.vms[index%len(fleet.vms)].address()
		callers.Go(func() { responses[index] = fleet.query(attempt) })
		time.Sleep(interval)
	}
	callers.Wait()
	return responses
}

// stopCoordinator stops the VM that is the first coordinator in the status of the first VM.
func (fleet *fleet) stopCoordinator() {
	first := fleet.vms[0].instance.Status().Coordinators[0]
	for _, vm := range fleet.vms {
		if vm.name() == first {
			vm.stop()
		}
	}
}

// TestUnreachableServersCostNoRetries has servers that accept no connections. A request that could not be sent has reached no
// server, so sending it to another one must not use the retry budget, which is empty here: all requests must be served.
func TestUnreachableServersCostNoRetries(t *testing.T) {
	for name, vms := range map[string]int{"local budget": 1, "budget granted by the coordinator": 6} {
		t.Run(name, func(t *testing.T) {
			withFleetRetrySlack(t, vms, 6, 1, func(fleet *fleet) {
				for _, server := range fleet.servers[:4] {
					fleet.network.SetUnreachable(server.address, true)
				}
				before := len(fleet.retryTimes("engines")) + len(fleet.retryTimes("plain"))
				var callers sync.WaitGroup
				for index := range 60 {
					callerRequest := plainRequest(http.MethodGet, "open")
					if index%2 == 0 {
						callerRequest = streamRequest("chat")
					}
					callerRequest.vm = fleet.vms[index%len(fleet.vms)].address()
					callers.Go(func() {
						got := fleet.query(callerRequest)
						assert.Check(t, got.status == http.StatusOK && got.complete, "%d %s", got.status, got.body)
					})
				}
				callers.Wait()
				assert.Equal(t, len(fleet.retryTimes("engines"))+len(fleet.retryTimes("plain")), before)
			})
		})
	}
}
