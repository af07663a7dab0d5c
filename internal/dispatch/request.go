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
	// Due is when its first event is in time, and Leaves until when its caller waits
	// for it.
	Due    time.Time
	Leaves time.Time
	// Tight says that its pauses are tight, so that it fits beside others quickly or
	// not at all.
	Tight bool
	// Work is the reading of its prompt.
	Work time.Duration
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

// compareAt orders requests for the moment now: those with tight pauses first, since
// one of them takes a small part of one server and its objective is the shortest; then
// those that can still be in time; then by when their first event is due.
func compareAt(now time.Time) func(a, b *Request) int {
	return func(a, b *Request) int {
		return cmp.Or(
			compareBool(b.Tight, a.Tight),
			compareBool(a.Due.Before(now), b.Due.Before(now)),
			a.Due.Compare(b.Due),
			cmp.Compare(a.VM, b.VM),
			cmp.Compare(a.ID, b.ID),
		)
	}
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
