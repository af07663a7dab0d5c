package dispatch

import (
	"cmp"
	"time"

	"github.com/mastwinch/mastwinch/internal/placement"
)

// Key names a request among those of all VMs.
type Key struct {
	VM string
	// ID is unique to the VM.
	ID uint64
}

// Request is a request that wants servers.
type Request struct {
	Key

	Service string
	// Tried has the servers that failed it.
	Tried []string
	// KeptTo has the data centres whose servers may get it, or none where any may.
	KeptTo []string
	// Due is when its first event is in time, and Leaves until when its caller waits
	// for it.
	Due    time.Time
	Leaves time.Time
	// Tight says that it fits beside others quickly or not at all, as one of a plain
	// service or by placement.Request.Tight.
	Tight bool
	// Work is the reading of its prompt, and Least the shortest time from its placing to
	// its first event.
	Work  time.Duration
	Least time.Duration
	// Placement is what a policy needs to know. Left, Stays and Waiting are reckoned
	// at each look.
	Placement placement.Request
}

// at returns what a policy needs to know of the request now.
func (request *Request) at(now time.Time, waiting time.Duration) placement.Request {
	asked := request.Placement
	asked.Left = request.Due.Sub(now)
	asked.Stays = request.Leaves.Sub(now)
	asked.Waiting = waiting
	return asked
}

// late reports whether the request's first event can't be in time any more, whatever
// server it gets now.
func (request *Request) late(now time.Time) bool {
	return now.Add(request.Least).After(request.Due)
}

// compareAt orders requests for the moment now: those that can still be in time before
// those that can't; tight ones first, since one of them takes a small part of one server
// and its objective is the shortest; then by when their first event is due. Where more
// tight ones come than are served, those due last go first: each of the others is given a
// place in the last moment in which it may be in time, and is late by any error.
func compareAt(now time.Time, overloaded func(service string) bool) func(a, b *Request) int {
	return func(a, b *Request) int {
		return cmp.Or(
			compareBool(a.late(now), b.late(now)),
			compareBool(b.Tight, a.Tight),
			compareDue(a, b, a.Tight && overloaded(a.Service)),
			cmp.Compare(a.VM, b.VM),
			cmp.Compare(a.ID, b.ID),
		)
	}
}

// compareDue orders requests by when their first event is due, the last one first if
// reversed.
func compareDue(a, b *Request, reversed bool) int {
	if reversed {
		return b.Due.Compare(a.Due)
	}
	return a.Due.Compare(b.Due)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Verdict is the servers that a request gets.
type Verdict struct {
	Key

	Plan placement.Plan
}
