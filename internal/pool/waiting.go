package pool

import (
	"time"
)

// waiting is a request of any VM that waits for servers.
type waiting struct {
	vm      string
	id      uint64
	service string
	// work is the reading of its prompt.
	work time.Duration
	// due is when the first event is in time.
	due time.Time
	// blocked says that the request does not fit now although servers have
	// room, so that others may go first.
	blocked bool
	toldAt  time.Time
	// firstSince is since when it is the first here that may fit, or zero, and
	// passed says that it was so for too long.
	firstSince time.Time
	passed     bool
}

// Turn is the place of a request of this VM among those that wait for the same
// service at all VMs.
type Turn struct {
	pool    *Pool
	waiting *waiting
}

// Wait notes that a request waits whose prompt takes that much reading. VMs take
// turns: the one whose request is most urgent sends first.
func (pool *Pool) Wait(service string, work time.Duration, due time.Time) *Turn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.nextID++
	added := &waiting{vm: pool.vm, id: pool.nextID, service: service, work: work, due: due, toldAt: pool.now()}
	pool.queue = append(pool.queue, added)
	pool.publisher.Publish(added.report(pool.now()))
	return &Turn{pool: pool, waiting: added}
}

func (waiting *waiting) report(now time.Time) Report {
	return Report{
		ID: waiting.id, Server: waiting.service, Phase: PhaseWaiting, Work: waiting.work,
		Due: waiting.due.Sub(now), Helps: waiting.blocked,
	}
}

// Waiting returns the reading of all prompts that wait for a service, at all VMs.
func (pool *Pool) Waiting(service string) time.Duration {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	var work time.Duration
	for _, waiting := range pool.queue {
		if waiting.service == service && !pool.silent(waiting, now) {
			work += waiting.work
		}
	}
	return work
}

// Rank returns how many requests go before this one, those left out that do not
// fit anywhere now. It reports false when one that may fit goes first. Requests
// that all did not fit look again in the order of their rank, each a moment
// after the one before it, so that they do not take the same room.
func (turn *Turn) Rank() (int, bool) {
	pool := turn.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	for {
		rank, first := pool.ahead(turn.waiting, now)
		if first == nil {
			return rank, true
		}
		if !pool.passOver(first, now) {
			return rank, false
		}
	}
}

// ahead returns how many requests go before one, and the first of them that may
// fit, or nil.
func (pool *Pool) ahead(waiter *waiting, now time.Time) (int, *waiting) {
	rank := 0
	var first *waiting
	for _, other := range pool.queue {
		if !pool.goesBefore(other, waiter, now) {
			continue
		}
		rank++
		if !other.blocked && !other.passed && (first == nil || other.before(first, now)) {
			first = other
		}
	}
	return rank, first
}

// goesBefore reports whether a request waits for the same service as waiter and
// goes before it.
func (pool *Pool) goesBefore(other, waiter *waiting, now time.Time) bool {
	return other != waiter && other.service == waiter.service && !pool.silent(other, now) && other.before(waiter, now)
}

// silent reports whether another VM did not tell of its request for too long.
func (pool *Pool) silent(waiting *waiting, now time.Time) bool {
	return waiting.vm != pool.vm && now.Sub(waiting.toldAt) > pool.settings.RemoteTime
}

// passOver reports whether the first request was the first for long, and neither
// went nor found that it does not fit: its VM is slow, cut off or gone.
func (pool *Pool) passOver(first *waiting, now time.Time) bool {
	if first.vm == pool.vm {
		return false
	}
	if first.firstSince.IsZero() {
		first.firstSince = now
	}
	first.passed = now.Sub(first.firstSince) > pool.settings.TurnTime
	return first.passed
}

// before orders requests: those that can still be in time first, then by when
// their first event is due. What another VM told looks later here by the time of
// a datagram, so of two that are due together each takes itself for the first,
// and none waits for the other.
func (waiting *waiting) before(other *waiting, now time.Time) bool {
	late, otherLate := waiting.due.Before(now), other.due.Before(now)
	if late != otherLate {
		return otherLate
	}
	if !waiting.due.Equal(other.due) {
		return waiting.due.Before(other.due)
	}
	return waiting.id < other.id
}

// Block notes that the request does not fit although its turn came.
func (turn *Turn) Block() {
	pool := turn.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if turn.waiting.blocked {
		return
	}
	turn.waiting.blocked = true
	pool.publisher.Publish(turn.waiting.report(pool.now()))
	pool.wake()
}

// End notes that the request waits no more.
func (turn *Turn) End() {
	pool := turn.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	report := turn.waiting.report(pool.now())
	report.Phase = PhaseOver
	pool.publisher.Publish(report)
	pool.leaveQueue(func(other *waiting) bool { return other == turn.waiting })
	pool.wake()
}

// toldWaiting takes over what another VM told of a request that waits.
func (pool *Pool) toldWaiting(vm string, report Report, now time.Time) {
	for _, known := range pool.queue {
		if known.vm == vm && known.id == report.ID {
			known.toldAt = now
			known.blocked = report.Helps
			return
		}
	}
	pool.queue = append(pool.queue, &waiting{
		vm: vm, id: report.ID, service: report.Server, work: report.Work, due: now.Add(report.Due),
		blocked: report.Helps, toldAt: now,
	})
}

// leaveQueue drops the requests that match, and those not told of for long.
func (pool *Pool) leaveQueue(match func(*waiting) bool) {
	now := pool.now()
	kept := pool.queue[:0]
	for _, waiting := range pool.queue {
		if !pool.silent(waiting, now) && !match(waiting) {
			kept = append(kept, waiting)
		}
	}
	clear(pool.queue[len(kept):])
	pool.queue = kept
}
