package dispatch

import (
	"cmp"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// Key identifies a request among those of all VMs.
type Key struct {
	VM string
	// ID is unique to the VM.
	ID uint64
}

// Request is a caller's request that needs servers.
type Request struct {
	Key

	Service string
	// Tried lists the IDs of the servers that failed the request.
	Tried []string
	// AllowedDataCentres restricts the request to servers in these data centres. Empty means any.
	AllowedDataCentres []string
	// ObjectiveDeadline is when the first event is due. CallerDeadline is until when the caller
	// waits for it.
	ObjectiveDeadline time.Time
	CallerDeadline    time.Time
	// Priority is the priority among the requests to the same service. Zero is the most urgent.
	Priority int
	// Packable reports that a single server serves the whole request beside others, without a split
	// of the prompt: a request to a plain service, or one for which placement.Request.Packable
	// holds.
	Packable bool
	// Prefill is the time that one server takes to prefill the prompt. MinTTFT is the shortest
	// possible time from assignment to the first event.
	Prefill time.Duration
	MinTTFT time.Duration
	// Contained has the fingerprints of which only one request may be in flight at a time.
	Contained []fingerprint.Fingerprint
	// Placement is the input of the policy. TimeToObjective, TimeToCallerDeadline and QueuedPrefill
	// are computed for each attempt.
	Placement placement.Request
}

// placementAt returns the input of the policy at the given time.
func (request *Request) placementAt(now time.Time, queuedPrefill time.Duration) placement.Request {
	input := request.Placement
	input.TimeToObjective = request.ObjectiveDeadline.Sub(now)
	input.TimeToCallerDeadline = request.CallerDeadline.Sub(now)
	input.QueuedPrefill = queuedPrefill
	return input
}

// late reports whether the objective for the first event can no longer be met, whichever server the
// request gets now.
func (request *Request) late(now time.Time) bool {
	return now.Add(request.MinTTFT).After(request.ObjectiveDeadline)
}

// compareAt orders the requests of each service by when they get servers at the given time. First come those that can
// still meet their objective. Among these, those of organisations within their shares of the servers
// come first, then the more urgent priority, and then packable ones, since each takes a small share
// of one server and has the shortest objective. Then requests are ordered by when their first event
// is due. While a service is overloaded with packable requests, those due last go first: otherwise
// each request would be placed at the last moment at which it can meet its objective, and any error
// would make it late.
func (queue *Queue) compareAt(now time.Time) func(a, b *Request) int {
	return func(a, b *Request) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service), // services have no servers in common
			compareBool(a.late(now), b.late(now)),
			cmp.Compare(queue.shares.excess(a), queue.shares.excess(b)),
			queue.shares.comparePriority(a, b),
			compareBool(b.Packable, a.Packable),
			compareDeadline(a, b, a.Packable && queue.overloaded(a.Service)),
			cmp.Compare(a.VM, b.VM),
			cmp.Compare(a.ID, b.ID),
		)
	}
}

// compareDeadline orders requests by when their first event is due, latest first if reversed.
func compareDeadline(a, b *Request, reversed bool) int {
	if reversed {
		return b.ObjectiveDeadline.Compare(a.ObjectiveDeadline)
	}
	return a.ObjectiveDeadline.Compare(b.ObjectiveDeadline)
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

// Assignment is a request with the servers assigned to it.
type Assignment struct {
	Key

	Plan placement.Plan
}
