package gateway

import (
	"math"
	"sync"
	"time"
)

// returns distinguishes retries of callers from first tries by the time that the caller
// states it has left: most callers of a route start with the same time, and one that was refused,
// or whose VM was killed, has less of it left.
//
// It serves load shedding. The value of a response is measured from the caller's first try, so a
// retry is late already, and capacity spent on it is missing for a request that can still be in
// time. It is safe for concurrent use.
type returns struct {
	now func() time.Time

	mu sync.Mutex
	// routes has the times that recent callers of each route stated.
	routes map[string]*statedTimes
}

// statedTimes summarises the times that callers of a route stated to have left.
type statedTimes struct {
	// longest is the longest stated time. withLongest counts the callers that stated it, and
	// withLess counts those that stated a shorter time; both counts decay with the half-life
	// returnsHalf.
	longest    time.Duration
	full, less float64
	countedAt  time.Time
}

const (
	// returnsHalf is the half-life of the counts: several times the longest time that callers
	// wait.
	returnsHalf = time.Minute
	// returnsSame is the difference up to which two stated times count as equal, since
	// callers state whole milliseconds.
	returnsSame = 20 * time.Millisecond
	// returnsRare is the ratio of shorter times to longest times above which the longest time
	// is no longer taken as the usual one. Callers retry once or twice, so retries alone reach at
	// most about this ratio.
	returnsRare = 4
	// returnsPrior is the initial count of callers that had the whole timeout of their route.
	returnsPrior = 2
)

func newReturns(now func() time.Time) *returns {
	return &returns{now: now, routes: make(map[string]*statedTimes)}
}

// since returns when a caller first tried, given its route, the timeout of the route and the
// time it has left. That is now unless most callers of the route start with one same time and this
// one has less.
func (retryDetector *returns) since(route string, timeout, left time.Duration) time.Time {
	retryDetector.mu.Lock()
	defer retryDetector.mu.Unlock()
	now := retryDetector.now()
	stats := retryDetector.routes[route]
	if stats == nil {
		stats = &statedTimes{longest: timeout, full: returnsPrior, countedAt: now}
		retryDetector.routes[route] = stats
	}
	stats.count(left, now)
	if stats.full < stats.less {
		return now
	}
	return now.Add(min(0, left-stats.longest))
}

// count adds the time of one caller.
func (timeleftstats *statedTimes) count(left time.Duration, now time.Time) {
	decay := math.Exp2(-now.Sub(timeleftstats.countedAt).Seconds() / returnsHalf.Seconds())
	timeleftstats.full *= decay
	timeleftstats.less *= decay
	timeleftstats.countedAt = now
	switch {
	case left > timeleftstats.longest+returnsSame, returnsRare*timeleftstats.full < timeleftstats.less:
		*timeleftstats = statedTimes{longest: left, full: 1, countedAt: now}
	case left >= timeleftstats.longest-returnsSame:
		timeleftstats.full++
	default:
		timeleftstats.less++
	}
}
