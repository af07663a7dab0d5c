package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
)

// Bounds on the requests that reach a cold server within a second, as the platform sets them:
// coldBurstFactor times the rate, and coldBurst more.
const (
	coldBurstFactor = 1.5
	coldBurst       = 5
	coldDuration    = 8 * time.Second
)

// setCold reports to all VMs, within milliseconds of each other, that a server is cold for the
// given time.
func (fleet *fleet) setCold(number int, left time.Duration) {
	server := fleet.servers[number]
	entry := directory.Entry{ID: server.id, Service: plainName, Address: server.id, Slots: 16, ColdRemaining: left}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for number, vm := range fleet.vms {
		time.AfterFunc(time.Duration(number)*time.Millisecond, func() {
			vm.pool.Apply([]follower.Change[directory.Entry]{{Key: server.id, Value: &entry}})
		})
	}
}

// setColdRate configures at all VMs the requests per second that a cold server accepts.
func (fleet *fleet) setColdRate(perSecond float64) {
	for _, vm := range fleet.vms {
		vm.pool.Configure([]catalog.Service{{Name: plainName, ColdPerSecond: perSecond}})
	}
}

// TestColdServersOverAllVMs guards against cold servers that get more requests than they accept
// because each VM counts only its own. With more requests than that, no cold server may exceed its
// rate in any second over all VMs, each gets most of it, and the excess goes to warm servers.
func TestColdServersOverAllVMs(t *testing.T) {
	const perSecond, offeredRate = 4.0, 60.0
	for name, test := range map[string]struct {
		cold  int
		fault func(fleet *fleet)
		// used reports that cold servers must get most of the requests that they accept.
		used bool
		// served is the minimum fraction of all requests that are served.
		served float64
	}{
		"one of three is cold":        {cold: 1, served: 1},
		"all three are cold":          {cold: 3, used: true, served: 0.15},
		"a server becomes cold again": {cold: 3, used: true, served: 0.15, fault: func(fleet *fleet) { fleet.setCold(0, coldDuration) }},
		"the coordinator is killed": {cold: 3, used: true, served: 0.15, fault: func(fleet *fleet) {
			fleet.coordinatorVM().kill()
		}},
		"cold and rate-limited": {cold: 3, served: 0.05, fault: func(fleet *fleet) {
			for _, server := range fleet.servers {
				server.setLimit(1.5)
			}
		}},
	} {
		for _, vms := range []int{6, 76, 295} {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				t.Parallel()
				runFleet(t, vms, 3, func(fleet *fleet) {
					fleet.setColdRate(perSecond)
					for number := range test.cold {
						fleet.setCold(number, coldDuration)
					}
					time.Sleep(time.Second) // all VMs have the update
					began := time.Now()
					if test.fault != nil {
						time.AfterFunc(2*time.Second, func() { test.fault(fleet) })
					}
					const duration = coldDuration - 2*time.Second
					fleet.sendTraffic(offeredRate, duration)
					minCount := 0.0
					if test.used {
						minCount = 0.8 * perSecond * duration.Seconds()
					}
					fleet.assertColdRate(test.cold, coldBurstFactor*perSecond+coldBurst, minCount, began)
					served := float64(fleet.served()) / float64(len(fleet.results))
					assert.Check(t, served >= test.served, "%.2f served", served)
					fleet.assertFullRateAfterCold(offeredRate)
				})
			})
		}
	}
}

// assertColdRate checks that each of the first servers got at most maxCount requests in any second,
// and at least the given number since a point in time.
func (fleet *fleet) assertColdRate(cold int, maxCount, minCount float64, from time.Time) {
	for number, server := range fleet.servers[:cold] {
		got := server.maxCount(time.Second)
		assert.Check(fleet.t, float64(got) <= maxCount, "server %d got %d in a second", number, got)
		count := server.within(from, time.Now())
		assert.Check(fleet.t, float64(count) >= minCount, "server %d got %d", number, count)
	}
}

// assertFullRateAfterCold checks that servers that were cold, and advertise no limit, get all
// requests once the cold period is over.
func (fleet *fleet) assertFullRateAfterCold(offeredRate float64) {
	for _, server := range fleet.servers {
		server.setLimit(-1)
	}
	time.Sleep(coldDuration)
	fleet.sendTraffic(offeredRate, 3*time.Second) // responses without a limit lift the earlier limits
	fleet.results = nil
	fleet.sendTraffic(offeredRate, time.Second)
	assert.Check(fleet.t, fleet.served() == len(fleet.results), "%d of %d", fleet.served(), len(fleet.results))
}

// served returns the number of served requests.
func (fleet *fleet) served() int {
	count := 0
	for _, result := range fleet.results {
		if result.served {
			count++
		}
	}
	return count
}

// maxCount returns the maximum number of requests that reached a server within any window of the
// given length.
func (plainserver *plainServer) maxCount(within time.Duration) int {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	times := make([]time.Time, 0, len(plainserver.arrivals))
	for _, arrival := range plainserver.arrivals {
		times = append(times, arrival.at)
	}
	return busiestWithin(times, within)
}
