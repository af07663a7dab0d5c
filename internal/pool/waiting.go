package pool

import (
	"time"
)

// waiting is a request of any VM that waits for servers.
type waiting struct {
	vm      string
	id      uint64
	service string
	// due is when the first event is in time.
	due time.Time
	// blocked says that the request does not fit now although servers have
	// room, so that others may go first.
	blocked bool
	toldAt  time.Time
}

// Turn is the place of a request of this VM among those that wait for the same
// service at all VMs.
type Turn struct {
	pool    *Pool
	waiting *waiting
}

// Wait notes that a request waits. VMs take turns: the one whose request is
// most urgent sends first.
func (pool *Pool) Wait(service string, due time.Time) *Turn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.nextID++
	added := &waiting{vm: pool.vm, id: pool.nextID, service: service, due: due, toldAt: pool.now()}
	pool.queue = append(pool.queue, added)
	pool.publisher.Publish(added.report(pool.now()))
	return &Turn{pool: pool, waiting: added}
}

func (waiting *waiting) report(now time.Time) Report {
	return Report{
		ID: waiting.id, Server: waiting.service, Phase: PhaseWaiting,
		Due: waiting.due.Sub(now), Helps: waiting.blocked,
	}
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
	oldest := now.Add(-pool.settings.RemoteTime)
	rank := 0
	for _, other := range pool.queue {
		if other == turn.waiting || other.service != turn.waiting.service || !other.before(turn.waiting, now) {
			continue
		}
		if other.vm != pool.vm && other.toldAt.Before(oldest) {
			continue
		}
		if !other.blocked {
			return 0, false
		}
		rank++
	}
	return rank, true
}

// before orders requests: those that can still be in time first, then by when
// their first event is due.
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
		vm: vm, id: report.ID, service: report.Server, due: now.Add(report.Due), blocked: report.Helps, toldAt: now,
	})
}

// leaveQueue drops the requests that match, and those not told of for long.
func (pool *Pool) leaveQueue(match func(*waiting) bool) {
	oldest := pool.now().Add(-pool.settings.RemoteTime)
	kept := pool.queue[:0]
	for _, waiting := range pool.queue {
		silent := waiting.vm != pool.vm && waiting.toldAt.Before(oldest)
		if !silent && !match(waiting) {
			kept = append(kept, waiting)
		}
	}
	clear(pool.queue[len(kept):])
	pool.queue = kept
}
