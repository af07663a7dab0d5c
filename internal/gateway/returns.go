package gateway

import (
	"math"
	"sync"
	"time"
)

// returns tells callers that came back from those at their first try, by the time that they
// say they have left: most callers of a route start with the same time, and one that was
// refused, or whose VM was killed, has less of it.
//
// It answers overload: worth counts from the first try, so one that came back is late
// already, and what it gets is not there for one that can still be in time.
type returns struct {
	now func() time.Time

	mu sync.Mutex
	// routes has what callers of each route stated lately.
	routes map[string]*statedTimes
}

// statedTimes is the times that callers of a route had left.
type statedTimes struct {
	// longest is the longest one, and full and less how many had that, and less of it; both
	// halve in returnsHalf.
	longest    time.Duration
	full, less float64
	countedAt  time.Time
}

const (
	// returnsHalf is the time in which what was seen of a route's callers halves: some times
	// what the longest of them wait.
	returnsHalf = time.Minute
	// returnsSame is by how much times may differ that count as the same: callers count in
	// milliseconds.
	returnsSame = 20 * time.Millisecond
	// returnsRare is the multiple of those with the longest time that must have less of it for
	// that to count as no usual time any more. Callers return once or twice, so returns alone
	// are at most about that many.
	returnsRare = 4
	// returnsPrior is how many callers count as seen at first that had the whole time of
	// their route.
	returnsPrior = 2
)

func newReturns(now func() time.Time) *returns {
	return &returns{now: now, routes: make(map[string]*statedTimes)}
}

// since returns when a caller first tried who has so much time left now. It is now unless
// most callers of its route start with one time, and this one has less.
func (returns *returns) since(route string, whole, left time.Duration) time.Time {
	returns.mu.Lock()
	defer returns.mu.Unlock()
	now := returns.now()
	times := returns.routes[route]
	if times == nil {
		times = &statedTimes{longest: whole, full: returnsPrior, countedAt: now}
		returns.routes[route] = times
	}
	times.count(left, now)
	if times.full < times.less {
		return now
	}
	return now.Add(min(0, left-times.longest))
}

// count takes one caller in.
func (statedtimes *statedTimes) count(left time.Duration, now time.Time) {
	kept := math.Exp2(-now.Sub(statedtimes.countedAt).Seconds() / returnsHalf.Seconds())
	statedtimes.full *= kept
	statedtimes.less *= kept
	statedtimes.countedAt = now
	switch {
	case left > statedtimes.longest+returnsSame, returnsRare*statedtimes.full < statedtimes.less:
		*statedtimes = statedTimes{longest: left, full: 1, countedAt: now}
	case left >= statedtimes.longest-returnsSame:
		statedtimes.full++
	default:
		statedtimes.less++
	}
}
