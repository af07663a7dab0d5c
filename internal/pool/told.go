package pool

import "time"

// Told takes over what another VM told of its requests.
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

// told takes over one report, and tells whether it may have made room.
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
	for _, known := range server.sendings {
		if known.vm != vm || known.ID != report.ID {
			continue
		}
		if report.Phase < known.Phase {
			return false // told earlier, and late
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
		pool.place(server, &sending{
			Report: report, vm: vm, sentAt: now.Add(-report.Age), toldAt: now,
		}, now)
	}
	return false
}

// forget drops what other VMs have not told of for too long.
func (pool *Pool) forget(server *server, now time.Time) {
	oldest := now.Add(-pool.settings.RemoteTime)
	kept := server.sendings[:0]
	for _, sending := range server.sendings {
		if sending.vm == pool.vm || !sending.toldAt.Before(oldest) {
			kept = append(kept, sending)
		}
	}
	server.sendings = kept
}
