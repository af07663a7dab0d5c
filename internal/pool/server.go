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

// server is what is known of one backend server.
type server struct {
	entry directory.Entry
	// missingSince is when it was found not to be listed, or zero.
	missingSince time.Time
	// spoilt says that its entry cannot be read now.
	spoilt bool
	// replaced says that a later start of the server is listed.
	replaced bool
	// closed says that the address belongs to another server by now.
	closed   bool
	ejection ejection.State
	// sendings has the requests of all VMs there, in the order of sending.
	sendings []*sending
	// limit is how many requests it takes from all VMs together.
	limit backpressure.Limit
	// cold is nil for a server that is warm.
	cold *cold
	// leavingToldBy is who first said that it leaves, or empty.
	leavingToldBy string
	// watched says that another VM knows of a limit that this one does not.
	watched bool
	// pace is how long events took lately beside what was expected, and pacedAt
	// when one came last.
	pace    float64
	pacedAt time.Time
	// lastRead is when a prompt was last known to be read.
	lastRead time.Time
	// hidden is the KV memory that the server has in use for what is not known here, in
	// tokens, until hiddenUntil. hiddenFor is for how long it was to count when it was last
	// told.
	hidden      int
	hiddenFor   time.Duration
	hiddenUntil time.Time
}

// view returns what a policy sees, MemoryFree being less than zero by what is
// taken.
func (server *server) view(now time.Time, settings Settings) placement.Server {
	view := placement.Server{
		ID:         server.entry.ID,
		Address:    server.entry.Address,
		DataCentre: server.entry.DataCentre,
		Slots:      server.entry.Slots,
		Suspect:    server.ejection.Ejected(now),
		Limited:    server.limit.Named(),
	}
	free := server.lastRead
	overdue := time.Duration(0)
	for _, sending := range server.sendings {
		if !sending.Helps {
			view.Running++
			view.MinGap = shorter(view.MinGap, sending.Gap)
			addWeight(&view, sending)
		}
		view.MemoryFree -= sending.Memory
		if sending.Phase == PhaseReading {
			view.ReadsLong = view.ReadsLong || !sending.Tight
			free = later(free, sending.sentAt).Add(sending.Work)
			overdue = max(overdue, now.Sub(free)-settings.overdueAfter(sending.Work))
		}
	}
	// A server that owes first events for longer than usual is held up by what is
	// not known here, and looks idle only by what is.
	view.Backlog = max(0, free.Sub(now)) + overdue
	if now.Before(server.hiddenUntil) {
		view.MemoryFree -= server.hidden
	}
	return view
}

// addWeight counts what a request at the server is worth.
func addWeight(view *placement.Server, sending *sending) {
	weight := placement.Weight(sending.Memory)
	if sending.Tight {
		view.Tight++
		view.TightWeight += weight
		view.TightGap = shorter(view.TightGap, sending.Gap)
		return
	}
	view.LooseWeight += weight
	view.LooseGap = shorter(view.LooseGap, sending.Gap)
}

// reading is what the server has to read of prompts without an event yet.
func (server *server) reading() time.Duration {
	var total time.Duration
	for _, sending := range server.sendings {
		if sending.Phase == PhaseReading {
			total += sending.Work
		}
	}
	return total
}

// learnPace takes over how long one event took beside what was expected.
func (server *server) learnPace(ratio float64, now time.Time, settings Settings) {
	current := server.currentPace(now, settings)
	server.pace = current + settings.PaceGain*(ratio-current)
	server.pacedAt = now
}

// currentPace is the pace as it counts now. What is not seen any more returns
// to one, so that a slow server is tried again.
func (server *server) currentPace(now time.Time, settings Settings) float64 {
	if server.pacedAt.IsZero() {
		return 1
	}
	halves := now.Sub(server.pacedAt).Seconds() / settings.PaceHalf.Seconds()
	return 1 + (server.pace-1)*math.Exp2(-halves)
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

// add puts a sending in its place.
func (server *server) add(added *sending) {
	at, _ := slices.BinarySearchFunc(server.sendings, added, func(a, b *sending) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), 1)
	})
	server.sendings = slices.Insert(server.sendings, at, added)
}

func (server *server) remove(removed *sending) {
	server.sendings = slices.DeleteFunc(server.sendings, func(sending *sending) bool { return sending == removed })
}

// in reports whether the server is in one of some data centres, or none is named.
func (server *server) in(dataCentres []string) bool {
	return len(dataCentres) == 0 || slices.Contains(dataCentres, server.entry.DataCentre)
}
