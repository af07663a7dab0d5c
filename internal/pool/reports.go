package pool

import "time"

// HandleReports applies the reports of another VM.
func (pool *Pool) HandleReports(vm string, reports []Report) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	freed := false
	for _, report := range reports {
		freed = pool.applyReport(vm, report, now) || freed
	}
	if freed {
		pool.notifyChanged()
	}
}

// applyReport applies one report, and reports whether it may have freed capacity.
func (pool *Pool) applyReport(vm string, report Report, now time.Time) bool {
	if report.Phase == PhaseUnknown {
		return false
	}
	if report.Health != HealthUnreported {
		pool.applyHealth(vm, report)
		return false
	}
	server := pool.servers[report.Server]
	if server == nil {
		return false
	}
	for _, known := range server.attempts {
		if known.vm != vm || known.ID != report.ID {
			continue
		}
		if report.Phase < known.Phase {
			return false // delayed report of an earlier phase
		}
		if report.Pace > 0 && report.Pace != known.Pace {
			known.Pace = report.Pace
			server.updatePace(report.Pace, now, pool.settings)
		}
		advanced := report.Phase > known.Phase
		if report.Phase == PhaseEnded {
			pool.removeAttempt(known)
			return true
		}
		if advanced {
			server.lastPrefillEnd = now
		}
		known.Phase = report.Phase
		known.reportedAt = now
		return advanced
	}
	if report.Phase != PhaseEnded {
		pool.insertAndCount(server, &attempt{
			Report: report, vm: vm, sentAt: now.Add(-report.Age), reportedAt: now,
		}, now)
	}
	return false
}

// dropExpired drops other VMs' attempts that were not reported for Settings.RemoteReportTTL.
func (pool *Pool) dropExpired(server *server, now time.Time) {
	expiry := now.Add(-pool.settings.RemoteReportTTL)
	kept := server.attempts[:0]
	for _, attempt := range server.attempts {
		if attempt.vm == pool.vm || !attempt.reportedAt.Before(expiry) {
			kept = append(kept, attempt)
		}
	}
	server.attempts = kept
}
