package dispatch

import "time"

// admitPart is the part of a request's time for a place that the limits of servers may take up. The rest is for requests
// that go before it later, and for time between looks.
const admitPart = 0.5

// Refusal is a request that is refused.
type Refusal struct {
	Key

	// Return is in how long its caller may return, or zero where nothing is known of that.
	Return time.Duration
}

// limitServes reports whether a request with so many others before it is expected to get a place in time at servers that
// take so many requests a second.
//
// It answers load beyond what limited servers take: what they take and who waits tell at once who gets a place, where
// without limits only the places tell that come free.
func limitServes(request *Request, ahead int, perSecond float64, now time.Time) bool {
	return float64(ahead+1) <= admitPart*perSecond*request.untilPlaced(now).Seconds()
}

// count returns how many requests wait for a service.
func (queue *Queue) count(service string) int {
	count := 0
	for _, request := range queue.waiting {
		if request.Service == service {
			count++
		}
	}
	return count
}

// refusal returns that of a request at servers which take so many requests a second. Callers are told to return in turns,
// as far apart as servers take requests, so that each finds a place if no others come.
func (queue *Queue) refusal(request *Request, perSecond float64, now time.Time) Refusal {
	earliest := now.Add(request.untilPlaced(now))
	next := queue.returns[request.Service]
	if next.Before(earliest) {
		next = earliest
	}
	apart := min(mostReturn, time.Duration(float64(time.Second)/perSecond))
	next = next.Add(apart)
	if latest := now.Add(mostReturn); next.After(latest) {
		next = latest
	}
	queue.returns[request.Service] = next
	return Refusal{Key: request.Key, Return: next.Sub(now)}
}

// mostReturn bounds the time after which callers are told to return.
const mostReturn = 30 * time.Second

// untilPlaced is how long the request may wait for a place: a tight one while it can be in time, others until their
// callers leave.
func (request *Request) untilPlaced(now time.Time) time.Duration {
	until := request.Leaves
	if request.Tight {
		until = request.Due
	}
	return max(0, until.Sub(now)-request.Least)
}
