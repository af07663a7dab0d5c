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

// Bounds on what reaches a cold server within a second, as the platform has them.
const (
	coldTimes = 1.5
	coldSlack = 5
	coldFor   = 8 * time.Second
)

// setCold lets all VMs hear, within a moment of each other, that a server is cold for so long.
func (fleet *fleet) setCold(number int, left time.Duration) {
	server := fleet.servers[number]
	entry := directory.Entry{ID: server.id, Service: plainName, Address: server.id, Slots: 16, ColdLeft: left}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for number, vm := range fleet.vms {
		time.AfterFunc(time.Duration(number)*time.Millisecond, func() {
			vm.pool.Apply([]follower.Change[directory.Entry]{{Key: server.id, Value: &entry}})
		})
	}
}

// bearCold lets all VMs know how many requests a second a cold server bears.
func (fleet *fleet) bearCold(perSecond float64) {
	for _, vm := range fleet.vms {
		vm.pool.Configure([]catalog.Service{{Name: plainName, ColdPerSecond: perSecond}})
	}
}

// TestColdServersOverAllVMs has more requests than cold servers bear: from all VMs together none gets more in any second, each
// gets most of it, and what is beyond that goes to warm ones.
func TestColdServersOverAllVMs(t *testing.T) {
	const perSecond, asked = 4.0, 60.0
	for name, test := range map[string]struct {
		cold int
		then func(fleet *fleet)
		// used says that cold servers get most of what they bear.
		used bool
		// served is the least part of all requests that are served.
		served float64
	}{
		"one of three":   {cold: 1, served: 1},
		"all of three":   {cold: 3, used: true, served: 0.15},
		"cold once more": {cold: 3, used: true, served: 0.15, then: func(fleet *fleet) { fleet.setCold(0, coldFor) }},
		"who decides is killed": {cold: 3, used: true, served: 0.15, then: func(fleet *fleet) {
			fleet.decider().kill()
		}},
		"and limited": {cold: 3, served: 0.05, then: func(fleet *fleet) {
			for _, server := range fleet.servers {
				server.setLimit(1.5)
			}
		}},
	} {
		for _, vms := range []int{6, 76, 295} {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				t.Parallel()
				inFleet(t, vms, 3, func(fleet *fleet) {
					fleet.bearCold(perSecond)
					for number := range test.cold {
						fleet.setCold(number, coldFor)
					}
					time.Sleep(time.Second) // all VMs heard it
					began := time.Now()
					if test.then != nil {
						time.AfterFunc(2*time.Second, func() { test.then(fleet) })
					}
					const long = coldFor - 2*time.Second
					fleet.play(asked, long)
					least := 0.0
					if test.used {
						least = 0.8 * perSecond * long.Seconds()
					}
					fleet.assertColdGot(test.cold, coldTimes*perSecond+coldSlack, least, began)
					served := float64(fleet.served()) / float64(len(fleet.results))
					assert.Check(t, served >= test.served, "%.2f served", served)
					fleet.assertWarmAgain(asked)
				})
			})
		}
	}
}

// assertColdGot checks that each of the first servers got at most so many requests in any second, and at least so many from
// a moment on.
func (fleet *fleet) assertColdGot(cold int, most, least float64, from time.Time) {
	for number, server := range fleet.servers[:cold] {
		got := server.most(time.Second)
		assert.Check(fleet.t, float64(got) <= most, "server %d got %d in a second", number, got)
		used := server.within(from, time.Now())
		assert.Check(fleet.t, float64(used) >= least, "server %d got %d", number, used)
	}
}

// assertWarmAgain checks that servers which were cold, and name nothing, get as much as ever once that is over.
func (fleet *fleet) assertWarmAgain(asked float64) {
	for _, server := range fleet.servers {
		server.setLimit(-1)
	}
	time.Sleep(coldFor)
	fleet.play(asked, 3*time.Second) // lifts limits
	fleet.results = nil
	fleet.play(asked, time.Second)
	assert.Check(fleet.t, fleet.served() == len(fleet.results), "%d of %d", fleet.served(), len(fleet.results))
}

// served counts the requests that were served.
func (fleet *fleet) served() int {
	count := 0
	for _, result := range fleet.results {
		if result.served {
			count++
		}
	}
	return count
}

// most returns the most requests that reached a server within a time.
func (plainserver *plainServer) most(within time.Duration) int {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	moments := make([]time.Time, 0, len(plainserver.arrivals))
	for _, arrival := range plainserver.arrivals {
		moments = append(moments, arrival.at)
	}
	return busiestWithin(moments, within)
}
