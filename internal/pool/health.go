package pool

import (
	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// RecordSuccess records a successful response of a server, and publishes it.
func (pool *Pool) RecordSuccess(id string, request fingerprint.Fingerprint) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.recordSuccess(id)
	pool.publisher.Publish(Report{Server: id, Phase: PhaseEnded, Health: HealthSucceeded, Fingerprint: request})
}

func (pool *Pool) recordSuccess(id string) {
	if server := pool.servers[id]; server != nil {
		server.ejection.RecordSuccess()
	}
}

// RecordFailure records a failure of a server, publishes it, and reports whether the server is
// suspect now.
func (pool *Pool) RecordFailure(id string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.publisher.Publish(Report{Server: id, Phase: PhaseEnded, Health: HealthFailed})
	return pool.recordFailure(id)
}

// RecordConnectionLoss records that the connection to a server broke during a request, which counts
// as a failure, publishes it, and reports whether the server is suspect now. The phase is that of
// the request when the connection broke. The parts of its prompt are published unless it had events.
func (pool *Pool) RecordConnectionLoss(id string, request fingerprint.Set, phase Phase) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.publisher.Publish(lossReport(HealthConnectionLost, id, request, phase))
	return pool.recordFailure(id)
}

// PublishLossThroughVM publishes that a server ended a connection that led through another VM during a request. It doesn't
// count as a failure of the server.
func (pool *Pool) PublishLossThroughVM(id string, request fingerprint.Set, phase Phase) {
	pool.publisher.Publish(lossReport(HealthLostThroughVM, id, request, phase))
}

// lossReport returns the report of a server that was lost under a request.
func lossReport(health Health, id string, request fingerprint.Set, phase Phase) Report {
	report := Report{Server: id, Phase: phase, Health: health, Fingerprint: request.Request}
	if phase != PhaseDecode {
		report.Parts = request.Parts
	}
	return report
}

func (pool *Pool) recordFailure(id string) bool {
	server := pool.servers[id]
	if server == nil {
		return false
	}
	return server.ejection.RecordFailure(pool.now(), pool.settings.ejection())
}

// MarkClosed records that a server accepts no more requests, since the response from its address was
// that this belongs to another server by now, and publishes it.
func (pool *Pool) MarkClosed(id string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.publisher.Publish(Report{Server: id, Phase: PhaseEnded, Health: HealthClosed})
	pool.closed(id)
}

// closed marks a server as closed.
func (pool *Pool) closed(id string) {
	if server := pool.servers[id]; server != nil && !server.closed {
		server.closed = true
		pool.logger.Info("server closed", "server", id)
	}
}

// MarkDraining records that a server announced its draining in a response. The server list may lack
// this while its source is unavailable, and the server would otherwise continue to get requests.
func (pool *Pool) MarkDraining(id string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.markDraining(id, pool.vm) {
		pool.publisher.Publish(Report{Server: id, Phase: PhaseEnded, Health: HealthDraining})
	}
}

// markDraining reports whether the server was not known to drain before. The mark stays for this
// start of the server, even if a later list entry lacks it.
func (pool *Pool) markDraining(id, reportedBy string) bool {
	server := pool.servers[id]
	if server == nil || server.entry.Draining {
		return false
	}
	server.entry.Draining = true
	server.drainingReportedBy = reportedBy
	pool.logger.Info("server is draining", "server", id, "told_by", reportedBy)
	return true
}

// Draining returns the number of servers known to be draining.
func (pool *Pool) Draining() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	draining := 0
	for _, server := range pool.servers {
		if server.entry.Draining {
			draining++
		}
	}
	return draining
}

// RecordFreeMemory records that a server reported its free KV memory, in tokens, when it had too
// little for a request that wants the given number of tokens and is already recorded there. Memory
// in use beyond the recorded requests counts from now on, at all VMs. It mostly belongs to a VM
// that was killed, and the server frees it when its reservation is not renewed.
func (pool *Pool) RecordFreeMemory(service *catalog.Service, id string, wanted, free int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.servers[id]
	if server == nil || service.Engine == nil {
		return
	}
	known := -wanted
	for _, attempt := range server.attempts {
		known += attempt.Memory
	}
	hidden := max(0, service.Engine.MemoryTokens-free-known)
	pool.setHiddenMemory(server, hidden)
	pool.publisher.Publish(Report{Server: id, Phase: PhaseEnded, Health: HealthUnreportedMemory, Memory: hidden})
}

// setHiddenMemory counts memory in use that no VM reported. The first period is short,
// Settings.HiddenMin, since such memory mostly belongs to a request that just ended, and is released
// within moments. The period doubles on each repetition, up to Settings.HiddenMax. It starts again
// at HiddenMin if the last one ended more than HiddenMax ago.
func (pool *Pool) setHiddenMemory(server *server, tokens int) {
	now := pool.now()
	settings := pool.settings
	if now.Sub(server.hiddenUntil) > settings.HiddenMax {
		server.hiddenDuration = 0
	}
	server.hiddenMemory = tokens
	server.hiddenDuration = min(settings.HiddenMax, max(settings.HiddenMin, 2*server.hiddenDuration))
	server.hiddenUntil = now.Add(server.hiddenDuration)
}

// applyHealth applies another VM's report about the health of a server.
func (pool *Pool) applyHealth(vm string, report Report) {
	switch report.Health {
	case HealthSucceeded:
		pool.recordSuccess(report.Server)
	case HealthFailed:
		pool.recordFailure(report.Server)
	case HealthConnectionLost:
		// Repeated reports have an age and were counted before. Counting them again made a server
		// suspect for five failures after one broken response.
		if report.Age == 0 {
			pool.recordFailure(report.Server)
		}
	case HealthClosed:
		pool.closed(report.Server)
	case HealthUnreportedMemory:
		if server := pool.servers[report.Server]; server != nil {
			pool.setHiddenMemory(server, report.Memory)
		}
	case HealthDraining:
		pool.markDraining(report.Server, vm)
	case HealthBackoff:
		if pool.servers[report.Server] != nil {
			pool.inBackoff.Add(vm, report.Server, pool.now().Add(report.Backoff))
		}
	case HealthReceiverBackoff:
		pool.backOff(report.Server, report.Backoff)
	case HealthRateLimited:
		pool.recordRateLimit(report.Server, vm, report.PerSecond, pool.now().Add(-report.Age))
	case HealthNoRateLimit:
		pool.recordNoRateLimit(report.Server, vm, pool.now().Add(-report.Age))
	case HealthUnreported, HealthLostThroughVM:
	}
}
