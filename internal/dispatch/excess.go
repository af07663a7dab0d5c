package dispatch

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fairshare"
)

// holdBeforeRefusal is how long requests within their shares have to wait before those beyond are
// refused at once. In a shorter burst these find servers in time, too, or soon after.
const holdBeforeRefusal = 500 * time.Millisecond

// crowdingFactor is how many times the requests that are placed of an organisation arrive when it
// crowds.
const crowdingFactor = 1.2

// waiting says since when requests within their organisations' shares find no servers of a service,
// although they can still meet their objectives.
type waiting struct {
	// found reports that there was one in the last pass over the queue.
	found bool
	// since is the start of the current period, and seen when there was one last. A time without one
	// that is longer than holdBeforeRefusal ends the period.
	since time.Time
	seen  time.Time
}

// startPass begins a pass over the queue.
func (shares *shares) startPass() {
	for service, waiting := range shares.waiting {
		waiting.found = false
		shares.waiting[service] = waiting
	}
}

// recordWaiting records that a request found no servers in this pass.
func (shares *shares) recordWaiting(request *Request, now time.Time) {
	if request.late(now) || shares.excess(request) > 0 {
		return
	}
	waiting := shares.waiting[request.Service]
	if now.Sub(waiting.seen) > holdBeforeRefusal {
		waiting.since = now
	}
	waiting.found, waiting.seen = true, now
	shares.waiting[request.Service] = waiting
}

// heldBack reports whether a request has to wait since its organisation crowds and has used up its
// share of the servers, while a request within its share waits for servers. One that has been at a
// server goes on: its caller may have a piece of the answer.
func (shares *shares) heldBack(request *Request, now time.Time) bool {
	if !shares.waiting[request.Service].found || len(request.Tried) > 0 {
		return false
	}
	return shares.divisions[request.Service].full && shares.excess(request) > 0 && shares.crowds(flowOf(request), now)
}

// crowds reports whether many more requests of an organisation arrive than are placed. While all
// organisations send more than usual, the requests of each one are placed before long, and to hold
// back the largest would only leave slots unused.
func (shares *shares) crowds(flow fairshare.Flow, now time.Time) bool {
	window := throughputWindow(flow)
	return shares.asked[flow].PerSecond(window, now) > crowdingFactor*shares.throughputs[flow].PerSecond(window, now)
}

// refuseExcess refuses a request whose organisation uses all of its share, if the requests of the
// same organisation ahead of it are expected to keep it waiting beyond its objective. Retry times
// are when the queue ahead is expected to be served, spaced so that each caller finds servers if no
// others arrive.
func (queue *Queue) refuseExcess(request *Request, ahead map[fairshare.Flow]int, now time.Time) (Refusal, bool) {
	waiting := queue.shares.waiting[request.Service]
	if !queue.shares.heldBack(request, now) || now.Sub(waiting.since) < holdBeforeRefusal {
		return Refusal{}, false
	}
	flow := flowOf(request)
	perSecond := queue.shares.throughputs[flow].PerSecond(throughputWindow(flow), now)
	wait := timeFor(ahead[flow]+1, perSecond)
	left := request.ObjectiveDeadline.Sub(now) - request.MinTTFT
	if ahead[flow] == 0 || wait <= left {
		ahead[flow]++
		return Refusal{}, false
	}
	earliest := now.Add(wait - timeFor(1, perSecond)) // when the request would be the next one
	retryAt := spaceRetry(queue.shares.retryTimes[flow], earliest, perSecond, now)
	queue.shares.retryTimes[flow] = retryAt
	return Refusal{Key: request.Key, RetryAfter: retryAt.Sub(now), ShareRatio: queue.shares.excess(request)}, true
}
