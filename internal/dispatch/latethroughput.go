package dispatch

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fairshare"
)

// lateWindow is how long late requests have to be queued before those that get no servers are
// refused, and the window over which assignments of late requests are counted. In one second about
// half of the slots of an engine are freed once. Callers wait at least twice as long.
const lateWindow = time.Second

// lateThroughput measures how quickly late packable requests, whose objective can no longer be met,
// get servers.
//
// It sheds load during lasting overload. Freed slots go to requests that can still meet their
// objective, and late ones get what is left. In a short burst that delay is small, and queueing
// late requests serves them. In a long one they would wait until their callers' deadlines without
// being served. So one late request stays queued in any case, and as many more as the recent rate
// of late assignments can serve before their callers' deadlines.
type lateThroughput struct {
	// since is the start of the current period in which late requests have been queued without a
	// break, or zero. seen is when late requests were last queued.
	since time.Time
	seen  time.Time
	// assigned lists the times within the last lateWindow at which late requests were assigned
	// servers, oldest first.
	assigned []time.Time
}

// recordAssignment records that a late request was assigned servers.
func (latethroughput *lateThroughput) recordAssignment(now time.Time) {
	latethroughput.assigned = append(latethroughput.assigned, now)
}

// update records whether late requests are queued. Requests may also leave the queue between two
// updates, so a time without update longer than lateWindow counts as a break too.
func (latethroughput *lateThroughput) update(now time.Time, lateQueued bool) {
	oldest := now.Add(-lateWindow)
	latethroughput.assigned = slices.DeleteFunc(latethroughput.assigned, func(at time.Time) bool { return at.Before(oldest) })
	if !lateQueued {
		latethroughput.since = time.Time{}
		return
	}
	if latethroughput.since.IsZero() || now.Sub(latethroughput.seen) > lateWindow {
		latethroughput.since = now
	}
	latethroughput.seen = now
}

// expectsAssignment reports whether a late request with the given number of late requests ahead of
// it is expected to be assigned servers within the given time.
func (latethroughput *lateThroughput) expectsAssignment(ahead int, within time.Duration, now time.Time) bool {
	if within <= 0 {
		return false
	}
	if ahead == 0 || now.Sub(latethroughput.since) < lateWindow {
		return true
	}
	return float64(ahead+1) <= float64(len(latethroughput.assigned))*within.Seconds()/lateWindow.Seconds()
}

// refuse removes the requests that are not expected to be assigned servers in time, and returns
// them. Requests are refused if the operator has evacuated all of their servers; if all of their
// servers advertise rate limits that do not suffice; or, without such limits, if their organisation
// has used up its share and they would wait beyond their objective, or if they are packable and late
// and the recent rate of late assignments does not suffice. The order of the last pass decides which
// ones stay.
func (queue *Queue) refuse(servers Servers, now time.Time) []Refusal {
	ahead := make(map[string]int)
	aheadOfFlow := make(map[fairshare.Flow]int)
	var refused []Refusal
	queue.requests = slices.DeleteFunc(queue.requests, func(request *Request) bool {
		if servers.AllEvacuated(request) {
			refused = append(refused, Refusal{Key: request.Key})
			return true
		}
		if perSecond, limited := servers.AcceptedRate(request); limited {
			if fitsRateLimit(request, ahead[request.Service], perSecond, now) {
				ahead[request.Service]++
				return false
			}
			refused = append(refused, queue.newRefusal(request, perSecond, now))
			return true
		}
		if refusal, refuse := queue.refuseExcess(request, aheadOfFlow, now); refuse {
			refused = append(refused, refusal)
			return true
		}
		if !request.Packable || !request.late(now) {
			return false
		}
		within := request.CallerDeadline.Sub(now) - request.MinTTFT
		if queue.lateThroughput(request.Service).expectsAssignment(ahead[request.Service], within, now) {
			ahead[request.Service]++
			return false
		}
		refused = append(refused, Refusal{Key: request.Key})
		return true
	})
	return refused
}

// updateLateThroughput records for which services late packable requests are queued.
func (queue *Queue) updateLateThroughput(now time.Time) {
	waiting := make(map[string]bool)
	for _, request := range queue.requests {
		if request.Packable && request.late(now) {
			waiting[request.Service] = true
			queue.lateThroughput(request.Service) // creates the measurement for the first late request of a service
		}
	}
	for service, throughput := range queue.late {
		throughput.update(now, waiting[service])
	}
}

// overloaded reports whether more packable requests arrive for a service than are served in time.
func (queue *Queue) overloaded(service string) bool {
	throughput := queue.late[service]
	return throughput != nil && !throughput.since.IsZero()
}

// lateThroughput returns the measurement for a service, and creates it if there is none.
func (queue *Queue) lateThroughput(service string) *lateThroughput {
	throughput := queue.late[service]
	if throughput == nil {
		throughput = &lateThroughput{}
		queue.late[service] = throughput
	}
	return throughput
}
