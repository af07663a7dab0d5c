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

// peerSink handles the messages of other VMs and provides what is sent to them.
type peerSink struct {
	*pool.Pool
	*coordinator.Coordinator

	quarantine *quarantine.Tracker
	tails      map[string]*follower.Tail
	// isCoordinator reports whether this VM is one of the coordinators.
	isCoordinator func() bool
	now           func() time.Time
}

var _ exchange.Sink = peerSink{}

// StoreUnavailable implements exchange.Sink. It reports whether the last read of any source failed.
func (peerSink peerSink) StoreUnavailable() bool {
	for _, tail := range peerSink.tails {
		if tail.Lost() {
			return true
		}
	}
	return false
}

// OwnReports implements exchange.Sink. It returns this VM's requests at servers, those whose server
// connection was lost recently, and the rate limits of servers.
func (peerSink peerSink) OwnReports() []pool.Report {
	reports := peerSink.Pool.OwnReports()
	for _, loss := range peerSink.quarantine.RecentLosses() {
		reports = append(reports, lossReport(loss, peerSink.now()))
	}
	return append(reports, peerSink.OwnLimitReports(peerSink.isCoordinator())...)
}

// HandleReports implements exchange.Sink. It applies the reports of another VM.
func (peerSink peerSink) HandleReports(vm string, reports []pool.Report) {
	peerSink.Pool.HandleReports(vm, reports)
	for _, report := range reports {
		if report.Fingerprint != fingerprint.None {
			peerSink.recordRequest(report)
		}
	}
}

// recordRequest records how a request of another VM ended.
func (peerSink peerSink) recordRequest(report pool.Report) {
	switch report.Health {
	case pool.HealthSucceeded:
		peerSink.quarantine.RecordCompletion(report.Fingerprint, report.Server)
	case pool.HealthConnectionLost, pool.HealthLostThroughVM:
		peerSink.quarantine.RecordRemoteLoss(quarantine.Loss{
			Fingerprint: report.Fingerprint, Server: report.Server, HadEvent: report.Phase == pool.PhaseDecode, Parts: report.Parts,
			ThroughVM: report.Health == pool.HealthLostThroughVM, Ended: report.Ended,
		}, report.Age)
	case pool.HealthUnreported, pool.HealthFailed, pool.HealthClosed, pool.HealthUnreportedMemory, pool.HealthDraining, pool.HealthBackoff,
		pool.HealthRateLimited, pool.HealthNoRateLimit, pool.HealthReceiverBackoff:
	}
}

// lossReport returns the report of a loss that was reported before.
func lossReport(loss quarantine.Loss, now time.Time) pool.Report {
	return pool.Report{
		Server: loss.Server, Phase: phaseOf(loss), Health: healthOf(loss), Fingerprint: loss.Fingerprint, Parts: loss.Parts,
		Age: max(now.Sub(loss.At), time.Millisecond), Ended: loss.Ended,
	}
}

// phaseOf returns the phase of a request when the connection to its server was lost.
func phaseOf(loss quarantine.Loss) pool.Phase {
	if loss.HadEvent {
		return pool.PhaseDecode
	}
	return pool.PhasePrefill
}

// healthOf returns the health that a loss is reported with.
func healthOf(loss quarantine.Loss) pool.Health {
	if loss.ThroughVM {
		return pool.HealthLostThroughVM
	}
	return pool.HealthConnectionLost
}

// Suspects implements exchange.Sink.
func (peerSink peerSink) Suspects() []quarantine.Suspect {
	return peerSink.quarantine.Suspects()
}

// HandleSuspects implements exchange.Sink.
func (peerSink peerSink) HandleSuspects(vm string, suspects []quarantine.Suspect) {
	peerSink.quarantine.ApplySuspects(vm, suspects)
}

// Begun implements exchange.Sink.
func (peerSink peerSink) Begun() []quarantine.Begun {
	return peerSink.quarantine.RecentBegun()
}

// HandleBegun implements exchange.Sink.
func (peerSink peerSink) HandleBegun(begun []quarantine.Begun) {
	for _, response := range begun {
		peerSink.quarantine.RecordRemoteBegun(response.Part, peerSink.now().Sub(response.At))
	}
}

// Quarantined implements exchange.Sink. It returns the quarantined requests to send to other VMs.
func (peerSink peerSink) Quarantined() []quarantine.Entry {
	return peerSink.quarantine.PublishableEntries()
}

// HandleQuarantined implements exchange.Sink. It applies the quarantined requests of another VM.
func (peerSink peerSink) HandleQuarantined(entries []quarantine.Entry) {
	peerSink.quarantine.ApplyEntries(entries)
}
