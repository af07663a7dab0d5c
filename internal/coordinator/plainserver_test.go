package coordinator_test

import (
	"sync"
	"time"
)

// plainServer is a server that works on any number of requests for a time each, and says what it wants to.
type plainServer struct {
	id    string
	takes time.Duration

	mu sync.Mutex
	// limit is what it names in its answers, or below zero for none. Of each so many answers one names it.
	limit   float64
	oneOf   int
	answers int
	// arrivals has what reached it.
	arrivals []arrival
	// toldAt has when an answer that names a limit first reached each VM.
	toldAt map[string]time.Time
}

// arrival is a request at a server.
type arrival struct {
	vm string
	at time.Time
}

func (plainserver *plainServer) setLimit(limit float64) {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	plainserver.limit = limit
}

// serve works on a request, and returns what its answer names.
func (plainserver *plainServer) serve(vm string) (float64, bool) {
	plainserver.mu.Lock()
	plainserver.arrivals = append(plainserver.arrivals, arrival{vm: vm, at: time.Now()})
	plainserver.mu.Unlock()
	time.Sleep(plainserver.takes)
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	plainserver.answers++
	names := plainserver.limit >= 0 && plainserver.answers%max(1, plainserver.oneOf) == 0
	if _, told := plainserver.toldAt[vm]; names && !told {
		plainserver.toldAt[vm] = time.Now()
	}
	return plainserver.limit, names
}

// within returns how many requests reached a server in a span.
func (plainserver *plainServer) within(from, to time.Time) int {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	count := 0
	for _, arrival := range plainserver.arrivals {
		if !arrival.at.Before(from) && arrival.at.Before(to) {
			count++
		}
	}
	return count
}

// busiest returns the most requests that reached a server within any limitWindow from limitNotice after it first named a
// limit on, of the VMs that it had told of it toldNotice before or earlier.
func (plainserver *plainServer) busiest() int {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	var first time.Time
	for _, at := range plainserver.toldAt {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var counted []time.Time
	for _, arrival := range plainserver.arrivals {
		toldAt, told := plainserver.toldAt[arrival.vm]
		if told && !arrival.at.Before(first.Add(limitNotice)) && !arrival.at.Before(toldAt.Add(toldNotice)) {
			counted = append(counted, arrival.at)
		}
	}
	return busiestWithin(counted, limitWindow)
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

// Bounds on what reaches a server that names a limit, as the platform has them.
const (
	// limitNotice is the time from the first answer that names a limit until it must be heeded.
	limitNotice = 3 * time.Second
	// toldNotice is the time from the answer that tells a VM until its requests are counted.
	toldNotice = 500 * time.Millisecond
	// limitWindow is the time over which requests are counted.
	limitWindow = 4 * time.Second
)

// allowed is how many requests may reach a server in any limitWindow.
func allowed(limit float64) int {
	return int(1.5*limit*limitWindow.Seconds() + 5)
}
