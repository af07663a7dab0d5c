package dispatch

import "time"

// admittedFraction is the fraction of a request's remaining queueing time that rate limits of
// servers may use up. The rest is slack for requests that are queued ahead of it later, and for the
// time between passes over the queue.
const admittedFraction = 0.5

// Refusal is a request that the queue refuses.
type Refusal struct {
	Key

	// RetryAfter is the delay after which the caller may retry, or zero when it is unknown.
	RetryAfter time.Duration
	// ShareRatio is the use of the request's organisation as a multiple of its share of the servers, or
	// zero for other refusals.
	ShareRatio float64
}

// fitsRateLimit reports whether a request with the given number of requests ahead of it is expected
// to be assigned in time, at servers that together accept perSecond requests a second.
//
// It sheds load beyond the rate limits. The limits and the length of the queue are enough to decide
// at once; without limits the decision has to wait for servers to free slots.
func fitsRateLimit(request *Request, ahead int, perSecond float64, now time.Time) bool {
	return float64(ahead+1) <= admittedFraction*perSecond*request.maxQueueTime(now).Seconds()
}

// count returns the number of queued requests for a service.
func (queue *Queue) count(service string) int {
	count := 0
	for _, request := range queue.requests {
		if request.Service == service {
			count++
		}
	}
	return count
}

// newRefusal refuses a request to servers that together accept perSecond requests a second. Retry
// times are spaced by the interval at which the servers accept requests, so that each retry finds
// capacity if no other requests arrive.
func (queue *Queue) newRefusal(request *Request, perSecond float64, now time.Time) Refusal {
	retryAt := spaceRetry(queue.retryTimes[request.Service], now.Add(request.maxQueueTime(now)), perSecond, now)
	queue.retryTimes[request.Service] = retryAt
	return Refusal{Key: request.Key, RetryAfter: retryAt.Sub(now)}
}

// spaceRetry returns the retry time of a caller: one interval of the given rate after the previous
// caller's or after the earliest time, whichever is later, and at most maxRetryAfter from now.
func spaceRetry(previous, earliest time.Time, perSecond float64, now time.Time) time.Time {
	retryAt := previous
	if retryAt.Before(earliest) {
		retryAt = earliest
	}
	retryAt = retryAt.Add(timeFor(1, perSecond))
	if latest := now.Add(maxRetryAfter); retryAt.After(latest) {
		retryAt = latest
	}
	return retryAt
}

// timeFor returns the time in which the given number of requests is placed at a rate, at most
// maxRetryAfter.
func timeFor(requests int, perSecond float64) time.Duration {
	return time.Duration(min(maxRetryAfter.Seconds(), float64(requests)/perSecond) * float64(time.Second))
}

// maxRetryAfter bounds the delay after which callers are asked to retry.
const maxRetryAfter = 30 * time.Second

// maxQueueTime returns how long the request may stay queued: until its objective can no longer be
// met if it is packable, else until its caller's deadline. It is never negative.
func (request *Request) maxQueueTime(now time.Time) time.Duration {
	deadline := request.CallerDeadline
	if request.Packable {
		deadline = request.ObjectiveDeadline
	}
	return max(0, deadline.Sub(now)-request.MinTTFT)
}
