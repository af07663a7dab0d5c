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

// Bounds on retries over all VMs, as the platform has them.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
)

// failsOneOf answers one of so many requests with a failure.
func failsOneOf(count int) backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		status := http.StatusOK
		if nth%count == count-1 {
			status = http.StatusInternalServerError
		}
		answers(status, "an answer")(world, nth, writer, request)
	}
}

// again returns when servers of a service got requests that others had before, in order.
func (fleet *fleet) again(service string) []time.Time {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	arrivals := make(map[string][]time.Time)
	for _, server := range fleet.servers {
		if server.service != service {
			continue
		}
		for _, seen := range fleet.seen[server.id()] {
			id := seen.Header.Get("Request-Id")
			arrivals[id] = append(arrivals[id], seen.At)
		}
	}
	var again []time.Time
	for _, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		again = append(again, times[1:]...)
	}
	slices.SortFunc(again, time.Time.Compare)
	return again
}

// TestManyVMsShareRetries has more VMs than there are retries beside those that requests earn: each had a part of one, and
// none was ever made. All together stay within what there is, also while servers fail half of all requests and while the
// VM that grants retries is stopped.
func TestManyVMsShareRetries(t *testing.T) {
	const slack = 10.0
	for name, test := range map[string]struct {
		oneOf int
		// served is the least part of the requests that are served, of those that come while nothing else is amiss.
		served float64
		stops  bool
	}{
		"one of ten fails":                 {oneOf: 10, served: 0.98},
		"half fail":                        {oneOf: 2},
		"who grants them stops":            {oneOf: 10, stops: true},
		"who grants them stops, half fail": {oneOf: 2, stops: true},
	} {
		for _, vms := range []int{18, 36} {
			t.Run(name+", "+strconv.Itoa(vms)+" VMs", func(t *testing.T) {
				inFleetSlack(t, vms, 3, slack, func(fleet *fleet) {
					for _, server := range fleet.servers {
						server.script = failsOneOf(test.oneOf)
					}
					if test.stops {
						time.AfterFunc(6*time.Second, func() { fleet.stopDecider() })
					}
					const pause, long = 20 * time.Millisecond, 14 * time.Second
					answers := fleet.askAll(plain(http.MethodGet, "look"), pause, long)
					served := countServed(answers)
					assert.Assert(t, float64(served) >= test.served*float64(len(answers)), "%d of %d", served, len(answers))
					again := fleet.again("plain")
					allowed := int(retryRatio*float64(retryWindow/pause) + slack)
					got := busiestWithin(again, retryWindow)
					assert.Assert(t, got <= allowed, "%d retries in %s, allowed %d", got, retryWindow, allowed)
					assert.Assert(t, len(again) > 10, "%d retries", len(again))
				})
			})
		}
	}
}

func countServed(answers []answer) int {
	served := 0
	for _, got := range answers {
		if got.status == http.StatusOK {
			served++
		}
	}
	return served
}

// busiestWithin returns the most of some moments, which are in order, within a time.
func busiestWithin(moments []time.Time, within time.Duration) int {
	most, oldest := 0, 0
	for last, moment := range moments {
		for moment.Sub(moments[oldest]) >= within {
			oldest++
		}
		most = max(most, last-oldest+1)
	}
	return most
}

// askAll lets callers ask VMs in turn, one each pause for so long, and returns what they got.
func (fleet *fleet) askAll(caller caller, pause, long time.Duration) []answer {
	answers := make([]answer, int(long/pause))
	var asking sync.WaitGroup
	for number := range answers {
		again := caller
		again.vm = fleet.vms[number%len(fleet.vms)].address()
		asking.Go(func() { answers[number] = fleet.ask(again) })
		time.Sleep(pause)
	}
	asking.Wait()
	return answers
}

// stopDecider stops the VM that decides for all.
func (fleet *fleet) stopDecider() {
	first := fleet.vms[0].served.Status().Coordinators[0]
	for _, vm := range fleet.vms {
		if vm.name() == first {
			vm.stop()
		}
	}
}

// TestUnreachableServersCostNoRetries has servers to which no connection can be made. What was meant for them has arrived
// nowhere, so to send it elsewhere is its first send and takes no retry, of which there are none: all are served.
func TestUnreachableServersCostNoRetries(t *testing.T) {
	for name, vms := range map[string]int{"retries of its own": 1, "retries granted by the VM that decides": 6} {
		t.Run(name, func(t *testing.T) {
			inFleetSlack(t, vms, 6, 1, func(fleet *fleet) {
				for _, server := range fleet.servers[:4] {
					fleet.network.SetDark(server.address, true)
				}
				before := len(fleet.again("engines")) + len(fleet.again("plain"))
				var asking sync.WaitGroup
				for number := range 60 {
					caller := plain(http.MethodGet, "open")
					if number%2 == 0 {
						caller = stream("chat")
					}
					caller.vm = fleet.vms[number%len(fleet.vms)].address()
					asking.Go(func() {
						got := fleet.ask(caller)
						assert.Check(t, got.status == http.StatusOK && got.whole, "%d %s", got.status, got.body)
					})
				}
				asking.Wait()
				assert.Equal(t, len(fleet.again("engines"))+len(fleet.again("plain")), before)
			})
		})
	}
}
