package gateway

import (
	"math"
	"sync"
	"time"
)

// retryDetector distinguishes retries of callers from first tries by the time that the caller
// states it has left: most callers of a route start with the same time, and one that was refused,
// or whose VM was killed, has less of it left.
//
// It serves load shedding. The value of a response is measured from the caller's first try, so a
// retry is late already, and capacity spent on it is missing for a request that can still be in
// time. It is safe for concurrent use.
type retryDetector struct {
	now func() time.Time

	mu sync.Mutex
	// routes has the times that recent callers of each route stated.
	routes map[string]*timeLeftStats
}

// timeLeftStats summarises the times that callers of a route stated to have left.
type timeLeftStats struct {
	// longest is the longest stated time. withLongest counts the callers that stated it, and
	// withLess counts those that stated a shorter time; both counts decay with the half-life
	// timeLeftHalfLife.
	longest               time.Duration
	withLongest, withLess float64
	updatedAt             time.Time
}

const (
	// timeLeftHalfLife is the half-life of the counts: several times the longest time that callers
	// wait.
	timeLeftHalfLife = time.Minute
	// timeLeftTolerance is the difference up to which two stated times count as equal, since
	// callers state whole milliseconds.
	timeLeftTolerance = 20 * time.Millisecond
	// maxShorterRatio is the ratio of shorter times to longest times above which the longest time
	// is no longer taken as the usual one. Callers retry once or twice, so retries alone reach at
	// most about this ratio.
	maxShorterRatio = 4
	// priorCallers is the initial count of callers that had the whole timeout of their route.
	priorCallers = 2
)

func newRetryDetector(now func() time.Time) *retryDetector {
	return &retryDetector{now: now, routes: make(map[string]*timeLeftStats)}
}

// firstTriedAt returns when a caller first tried, given its route, the timeout of the route and the
// time it has left. That is now unless most callers of the route start with one same time and this
// one has less.
func (retryDetector *retryDetector) firstTriedAt(route string, timeout, left time.Duration) time.Time {
	retryDetector.mu.Lock()
	defer retryDetector.mu.Unlock()
	now := retryDetector.now()
	stats := retryDetector.routes[route]
	if stats == nil {
		stats = &timeLeftStats{longest: timeout, withLongest: priorCallers, updatedAt: now}
		retryDetector.routes[route] = stats
	}
	stats.add(left, now)
	if stats.withLongest < stats.withLess {
		return now
	}
	return now.Add(min(0, left-stats.longest))
}

// add adds the time of one caller.
func (timeleftstats *timeLeftStats) add(left time.Duration, now time.Time) {
	decay := math.Exp2(-now.Sub(timeleftstats.updatedAt).Seconds() / timeLeftHalfLife.Seconds())
	timeleftstats.withLongest *= decay
	timeleftstats.withLess *= decay
	timeleftstats.updatedAt = now
	switch {
	case left > timeleftstats.longest+timeLeftTolerance, maxShorterRatio*timeleftstats.withLongest < timeleftstats.withLess:
		*timeleftstats = timeLeftStats{longest: left, withLongest: 1, updatedAt: now}
	case left >= timeleftstats.longest-timeLeftTolerance:
		timeleftstats.withLongest++
	default:
		timeleftstats.withLess++
	}
}
