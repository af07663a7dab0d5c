package coordinator_test

import (
	"sync"
	"time"
)

// plainServer is a server that serves any number of requests concurrently, each in the same time,
// and may advertise a limit.
type plainServer struct {
	id          string
	serviceTime time.Duration

	mu sync.Mutex
	// limit is the limit that the server advertises in its responses, or negative for none. One of
	// advertiseEvery responses has it.
	limit          float64
	advertiseEvery int
	responses      int
	// arrivals has the requests that reached the server.
	arrivals []arrival
	// advertisedAt has the time at which each VM first got a response with a limit.
	advertisedAt map[string]time.Time
}

// arrival is the arrival of a request at a server.
type arrival struct {
	vm string
	at time.Time
}

func (plainserver *plainServer) setLimit(limit float64) {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	plainserver.limit = limit
}

// serve serves a request, and returns the limit that the response advertises, and whether it
// advertises one.
func (plainserver *plainServer) serve(vm string) (float64, bool) {
	plainserver.mu.Lock()
	plainserver.arrivals = append(plainserver.arrivals, arrival{vm: vm, at: time.Now()})
	plainserver.mu.Unlock()
	time.Sleep(plainserver.serviceTime)
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	plainserver.responses++
	advertises := plainserver.limit >= 0 && plainserver.responses%max(1, plainserver.advertiseEvery) == 0
	if _, advertised := plainserver.advertisedAt[vm]; advertises && !advertised {
		plainserver.advertisedAt[vm] = time.Now()
	}
	return plainserver.limit, advertises
}

// within returns the number of requests that reached a server from one time to another.
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

// busiest returns the maximum number of requests that reached a server within any limitWindow,
// starting limitGracePeriod after it first advertised a limit. It counts requests of VMs that got
// the limit at least vmGracePeriod before.
func (plainserver *plainServer) busiest() int {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	var first time.Time
	for _, at := range plainserver.advertisedAt {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var counted []time.Time
	for _, arrival := range plainserver.arrivals {
		advertisedAt, advertised := plainserver.advertisedAt[arrival.vm]
		if advertised && !arrival.at.Before(first.Add(limitGracePeriod)) && !arrival.at.Before(advertisedAt.Add(vmGracePeriod)) {
			counted = append(counted, arrival.at)
		}
	}
	return busiestWithin(counted, limitWindow)
}

// busiestWithin returns the maximum number of the sorted times that lie within any window of the
// given length.
func busiestWithin(times []time.Time, within time.Duration) int {
	maxCount, oldest := 0, 0
	for last, arrivedAt := range times {
		for arrivedAt.Sub(times[oldest]) >= within {
			oldest++
		}
		maxCount = max(maxCount, last-oldest+1)
	}
	return maxCount
}

// Bounds on the requests that reach a server with a limit, as the platform sets them.
const (
	// limitGracePeriod is the time from the first response with a limit until the limit must be
	// met.
	limitGracePeriod = 3 * time.Second
	// vmGracePeriod is the time from a VM's first response with a limit until its requests are
	// counted.
	vmGracePeriod = 500 * time.Millisecond
	// limitWindow is the length of the window over which requests are counted.
	limitWindow = 4 * time.Second
)

// allowed returns the number of requests that may reach a server in any limitWindow.
func allowed(limit float64) int {
	return int(1.5*limit*limitWindow.Seconds() + 5)
}
