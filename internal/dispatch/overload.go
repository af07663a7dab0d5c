package dispatch

import (
	"slices"
	"time"
)

// watchTime is for how long late requests wait before those that get no places are
// refused, and the time over which the places that they get are counted. A second is about
// the time in which half of the places of an engine come free once, and half of that for
// which callers wait at least.
const watchTime = time.Second

// latePlaces learns how quickly tight requests get places that can't be in time any more.
//
// It answers load that lasts beyond what engines write: places that come free go to those
// that can still be in time, and who is late waits for what they leave. In a short burst
// that is little time, and holding late ones serves them; in a long one it is never, and
// each held one waits to its end for nothing. So one of them waits in any case, and as
// many more as the places that late ones got lately tell to be served before their callers
// leave.
type latePlaces struct {
	// since is since when late requests have waited without a break, or zero, and seen is when
	// some last did.
	since time.Time
	seen  time.Time
	// placed has when late ones got places within watchTime, the oldest first.
	placed []time.Time
}

// give notes that a late request got a place.
func (lateplaces *latePlaces) give(now time.Time) {
	lateplaces.placed = append(lateplaces.placed, now)
}

// note takes over whether late requests wait. What waited can leave without a look at the
// others, so a time without one is a break too.
func (lateplaces *latePlaces) note(now time.Time, waiting bool) {
	oldest := now.Add(-watchTime)
	lateplaces.placed = slices.DeleteFunc(lateplaces.placed, func(at time.Time) bool { return at.Before(oldest) })
	if !waiting {
		lateplaces.since = time.Time{}
		return
	}
	if lateplaces.since.IsZero() || now.Sub(lateplaces.seen) > watchTime {
		lateplaces.since = now
	}
	lateplaces.seen = now
}

// serves reports whether a late request with so many others of them before it is expected
// to get a place within a time.
func (lateplaces *latePlaces) serves(ahead int, within time.Duration, now time.Time) bool {
	if within <= 0 {
		return false
	}
	if ahead == 0 || now.Sub(lateplaces.since) < watchTime {
		return true
	}
	return float64(ahead+1) <= float64(len(lateplaces.placed))*within.Seconds()/watchTime.Seconds()
}

// refuse takes the requests out of the queue that no place is expected for, and returns them: all where the operator keeps
// their servers from requests, where all servers are limited by what these take, else the late tight ones by the places
// that such got. It goes by the order of the last pass.
func (queue *Queue) refuse(servers Servers, now time.Time) []Refusal {
	ahead := make(map[string]int)
	var refused []Refusal
	queue.waiting = slices.DeleteFunc(queue.waiting, func(request *Request) bool {
		if servers.AllEvacuated(request) {
			refused = append(refused, Refusal{Key: request.Key})
			return true
		}
		if perSecond, limited := servers.TakesPerSecond(request); limited {
			if limitServes(request, ahead[request.Service], perSecond, now) {
				ahead[request.Service]++
				return false
			}
			refused = append(refused, queue.refusal(request, perSecond, now))
			return true
		}
		if !request.Tight || !request.late(now) {
			return false
		}
		within := request.Leaves.Sub(now) - request.Least
		if queue.latePlaces(request.Service).serves(ahead[request.Service], within, now) {
			ahead[request.Service]++
			return false
		}
		refused = append(refused, Refusal{Key: request.Key})
		return true
	})
	return refused
}

// watch notes for which services late tight requests wait.
func (queue *Queue) watch(now time.Time) {
	waiting := make(map[string]bool)
	for _, request := range queue.waiting {
		if request.Tight && request.late(now) {
			waiting[request.Service] = true
			queue.latePlaces(request.Service) // it may be the first of its service
		}
	}
	for service, places := range queue.late {
		places.note(now, waiting[service])
	}
}

// overloaded reports whether more tight requests come to a service than are served in time.
func (queue *Queue) overloaded(service string) bool {
	known := queue.late[service]
	return known != nil && !known.since.IsZero()
}

// latePlaces returns what was learnt for a service.
func (queue *Queue) latePlaces(service string) *latePlaces {
	known := queue.late[service]
	if known == nil {
		known = &latePlaces{}
		queue.late[service] = known
	}
	return known
}
