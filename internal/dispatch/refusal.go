package dispatch

import "time"

// admittedFraction is the fraction of a request's remaining queueing time that rate limits of
// servers may use up. The rest is slack for requests that are queued ahead of it later, and for the
// time between passes over the queue.
const admitPart = 0.5

// Refusal is a request that the queue refuses.
type Refusal struct {
	Key

	// RetryAfter is the delay after which the caller may retry, or zero when it is unknown.
	Return time.Duration
}

// fitsRateLimit reports whether a request with the given number of requests ahead of it is expected
// to be assigned in time, at servers that together accept perSecond requests a second.
//
// It sheds load beyond the rate limits. The limits and the length of the queue are enough to decide
// at once; without limits the decision has to wait for servers to free slots.
func limitServes(request *Request, ahead int, perSecond float64, now time.Time) bool {
	return float64(ahead+1) <= admitPart*perSecond*request.untilPlaced(now).Seconds()
}

// count returns the number of queued requests for a service.
func (queue *Queue) count(service string) int {
	count := 0
	for _, request := range queue.waiting {
		if request.Service == service {
			count++
		}
	}
	return count
}

// newRefusal refuses a request to servers that together accept perSecond requests a second. Retry
// times are spaced by the interval at which the servers accept requests, so that each retry finds
// capacity if no other requests arrive.
func (queue *Queue) refusal(request *Request, perSecond float64, now time.Time) Refusal {
	earliestRetry := now.Add(request.untilPlaced(now))
	retryAt := queue.returns[request.Service]
	if retryAt.Before(earliestRetry) {
		retryAt = earliestRetry
	}
	interval := min(mostReturn, time.Duration(float64(time.Second)/perSecond))
	retryAt = retryAt.Add(interval)
	if latestRetry := now.Add(mostReturn); retryAt.After(latestRetry) {
		retryAt = latestRetry
	}
	queue.returns[request.Service] = retryAt
	return Refusal{Key: request.Key, Return: retryAt.Sub(now)}
}

// maxRetryAfter bounds the delay after which callers are asked to retry.
const mostReturn = 30 * time.Second

// maxQueueTime returns how long the request may stay queued: until its objective can no longer be
// met if it is packable, else until its caller's deadline. It is never negative.
func (request *Request) untilPlaced(now time.Time) time.Duration {
	deadline := request.Leaves
	if request.Tight {
		deadline = request.Due
	}
	return max(0, deadline.Sub(now)-request.Least)
}
