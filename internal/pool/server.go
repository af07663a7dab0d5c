package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/backpressure"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/ejection"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// server is the state of one start of a backend server.
type server struct {
	entry directory.Entry
	// missingSince is when the server was found missing from the list, or zero for a listed one.
	missingSince time.Time
	// removed is set once the server is known to be removed from the list, which a later outage of the list's source
	// does not change.
	removed bool
	// entryInvalid is set while the server's list entry cannot be parsed.
	entryInvalid bool
	// replaced is set once a later start of the server is listed.
	replaced bool
	// closed is set once the server's address is found to belong to another server.
	closed   bool
	ejection ejection.State
	// attempts has the requests of all VMs there, in the order of sending.
	attempts []*attempt
	// limit is the advertised limit on the requests from all VMs together.
	limit backpressure.RateLimit
	// coldStart is nil for a warm server.
	coldStart *coldStart
	// drainingReportedBy is the source that first reported the draining: a VM or listSource. It is
	// empty for a server that is not draining.
	drainingReportedBy string
	// limitWatched is set while another VM has a rate limit for the server that this VM doesn't
	// have.
	limitWatched bool
	// pace is the moving average of observed to expected time between events, and paceUpdatedAt is
	// when the last value was added.
	pace          float64
	paceUpdatedAt time.Time
	// lastPrefillEnd is when the last known prefill ended.
	lastPrefillEnd time.Time
	// hiddenMemory is the KV memory, in tokens, in use by requests that no VM has reported. It
	// counts until hiddenUntil. hiddenDuration is the period for which it was last set to count.
	hiddenMemory   int
	hiddenDuration time.Duration
	hiddenUntil    time.Time
}

// snapshot returns the server as a placement policy sees it. MemoryFree is negative: minus the
// memory in use, to which Pool.Eligible adds the engine's total.
func (server *server) snapshot(now time.Time, settings Settings) placement.Server {
	snapshot := placement.Server{
		ID:          server.entry.ID,
		Address:     server.entry.Address,
		DataCentre:  server.entry.DataCentre,
		Slots:       server.entry.Slots,
		Suspect:     server.ejection.Ejected(now),
		RateLimited: server.limit.Advertised(),
	}
	idleAt := server.lastPrefillEnd
	overdue := time.Duration(0)
	for _, attempt := range server.attempts {
		if !attempt.PrefillOnly {
			snapshot.Running++
			snapshot.MinInterTokenObjective = shorter(snapshot.MinInterTokenObjective, attempt.InterTokenObjective)
			addWeight(&snapshot, attempt)
		}
		snapshot.MemoryFree -= attempt.Memory
		if attempt.Phase == PhasePrefill {
			snapshot.PrefillsLong = snapshot.PrefillsLong || !attempt.Packable
			idleAt = later(idleAt, attempt.sentAt).Add(attempt.PrefillTime)
			overdue = max(overdue, now.Sub(idleAt)-settings.overdueAfter(attempt.PrefillTime))
		}
	}
	// A server whose first events are overdue is delayed by work that is not reported here. By the
	// reported work alone it would look idle.
	snapshot.Backlog = max(0, idleAt.Sub(now)) + overdue
	if now.Before(server.hiddenUntil) {
		snapshot.MemoryFree -= server.hiddenMemory
	}
	return snapshot
}

// addWeight adds the weight of an attempt to the snapshot's sums.
func addWeight(snapshot *placement.Server, attempt *attempt) {
	weight := placement.Weight(attempt.Memory)
	if attempt.Packable {
		snapshot.Packable++
		snapshot.PackableWeight += weight
		snapshot.PackableInterTokenObjective = shorter(snapshot.PackableInterTokenObjective, attempt.InterTokenObjective)
		return
	}
	snapshot.OtherWeight += weight
	snapshot.OtherInterTokenObjective = shorter(snapshot.OtherInterTokenObjective, attempt.InterTokenObjective)
}

// pendingPrefill is the total prefill time of the attempts without an event so far.
func (server *server) pendingPrefill() time.Duration {
	var total time.Duration
	for _, attempt := range server.attempts {
		if attempt.Phase == PhasePrefill {
			total += attempt.PrefillTime
		}
	}
	return total
}

// updatePace adds the ratio of observed to expected time of one event interval to the pace.
func (server *server) updatePace(ratio float64, now time.Time, settings Settings) {
	current := server.currentPace(now, settings)
	server.pace = current + settings.PaceWeight*(ratio-current)
	server.paceUpdatedAt = now
}

// currentPace is the pace as it counts now. Without new values it decays to one, so that a slow
// server is tried again.
func (server *server) currentPace(now time.Time, settings Settings) float64 {
	if server.paceUpdatedAt.IsZero() {
		return 1
	}
	halfLives := now.Sub(server.paceUpdatedAt).Seconds() / settings.PaceHalfLife.Seconds()
	return 1 + (server.pace-1)*math.Exp2(-halfLives)
}

func shorter(a, b time.Duration) time.Duration {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// insert adds an attempt in the order of sending.
func (server *server) insert(added *attempt) {
	at, _ := slices.BinarySearchFunc(server.attempts, added, func(a, b *attempt) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), 1)
	})
	server.attempts = slices.Insert(server.attempts, at, added)
}

func (server *server) remove(removed *attempt) {
	server.attempts = slices.DeleteFunc(server.attempts, func(attempt *attempt) bool { return attempt == removed })
}

// inDataCentres reports whether the server is in one of the given data centres. An empty list
// allows all.
func (server *server) inDataCentres(dataCentres []string) bool {
	return len(dataCentres) == 0 || slices.Contains(dataCentres, server.entry.DataCentre)
}
