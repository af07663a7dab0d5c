package pool

import "time"

// ApplyReports applies the reports of another VM.
func (pool *Pool) Told(vm string, reports []Report) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	freed := false
	for _, report := range reports {
		freed = pool.told(vm, report, now) || freed
	}
	if freed {
		pool.wake()
	}
}

// applyReport applies one report, and reports whether it may have freed capacity.
func (pool *Pool) told(vm string, report Report, now time.Time) bool {
	if report.Phase == PhaseNone {
		return false
	}
	if report.Health != HealthUntold {
		pool.toldHealth(vm, report)
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
			server.learnPace(report.Pace, now, pool.settings)
		}
		advanced := report.Phase > known.Phase
		if report.Phase == PhaseOver {
			pool.end(known)
			return true
		}
		if advanced {
			server.lastRead = now
		}
		known.Phase = report.Phase
		known.toldAt = now
		return advanced
	}
	if report.Phase != PhaseOver {
		pool.place(server, &attempt{
			Report: report, vm: vm, sentAt: now.Add(-report.Age), toldAt: now,
		}, now)
	}
	return false
}

// dropExpired drops other VMs' attempts that were not reported for Settings.RemoteTime.
func (pool *Pool) forget(server *server, now time.Time) {
	expiry := now.Add(-pool.settings.RemoteTime)
	kept := server.attempts[:0]
	for _, attempt := range server.attempts {
		if attempt.vm == pool.vm || !attempt.toldAt.Before(expiry) {
			kept = append(kept, attempt)
		}
	}
	server.attempts = kept
}
