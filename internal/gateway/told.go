package gateway

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/coordinator"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
)

// told takes what other VMs tell, and says what they are told.
type told struct {
	*pool.Pool
	*coordinator.Coordinator

	quarantine *quarantine.Book
	tails      map[string]*follower.Tail
	// judges reports whether this VM decides for others.
	judges func() bool
	now    func() time.Time
}

var _ exchange.Sink = told{}

// Blind implements exchange.Sink.
func (told told) Blind() bool {
	for _, tail := range told.tails {
		if tail.Lost() {
			return true
		}
	}
	return false
}

// Own implements exchange.Sink: requests at servers, those on servers lost a moment ago, and limits of servers.
func (told told) Own() []pool.Report {
	reports := told.Pool.Own()
	for _, loss := range told.quarantine.Own() {
		reports = append(reports, pool.Report{
			Server: loss.Server, Phase: phaseOf(loss), Health: pool.HealthLost,
			Fingerprint: loss.Fingerprint, Age: told.now().Sub(loss.At),
		})
	}
	return append(reports, told.OwnLimits(told.judges())...)
}

// Told implements exchange.Sink.
func (told told) Told(vm string, reports []pool.Report) {
	told.Pool.Told(vm, reports)
	for _, report := range reports {
		if report.Fingerprint != fingerprint.None {
			told.noteRequest(report)
		}
	}
}

// noteRequest takes over how a request of another VM came out.
func (told told) noteRequest(report pool.Report) {
	switch report.Health {
	case pool.HealthGood:
		told.quarantine.Served(report.Fingerprint, report.Server)
	case pool.HealthLost:
		told.quarantine.LostElsewhere(quarantine.Loss{
			Fingerprint: report.Fingerprint, Server: report.Server, Ran: report.Phase == pool.PhaseWriting,
		}, report.Age)
	case pool.HealthUntold, pool.HealthFailed, pool.HealthClosed, pool.HealthNotFree, pool.HealthLeaving, pool.HealthResting,
		pool.HealthLimited, pool.HealthUnlimited:
	}
}

// phaseOf is how far a request was on a server when that was lost.
func phaseOf(loss quarantine.Loss) pool.Phase {
	if loss.Ran {
		return pool.PhaseWriting
	}
	return pool.PhaseReading
}

// Quarantined implements exchange.Sink.
func (told told) Quarantined() []quarantine.Entry {
	return told.quarantine.Tell()
}

// ToldQuarantined implements exchange.Sink.
func (told told) ToldQuarantined(entries []quarantine.Entry) {
	told.quarantine.Told(entries)
}
