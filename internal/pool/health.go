package pool

import (
	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Succeeded notes a good answer of a server to a request.
func (pool *Pool) Succeeded(id string, request fingerprint.Fingerprint) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.succeeded(id)
	pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthGood, Fingerprint: request})
}

func (pool *Pool) succeeded(id string) {
	if server := pool.servers[id]; server != nil {
		server.ejection.Succeeded()
	}
}

// Failed notes a failure of a server, and reports whether it is suspect now.
func (pool *Pool) Failed(id string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthFailed})
	return pool.failed(id)
}

// FailedUnder notes that the connection to a server broke while it had a request, which counts as a failure,
// and reports whether it is suspect now. The phase is how far the request was.
func (pool *Pool) FailedUnder(id string, request fingerprint.Fingerprint, phase Phase) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.publisher.Publish(Report{Server: id, Phase: phase, Health: HealthLost, Fingerprint: request})
	return pool.failed(id)
}

func (pool *Pool) failed(id string) bool {
	server := pool.servers[id]
	if server == nil {
		return false
	}
	return server.ejection.Failed(pool.now(), pool.settings.ejection())
}

// Closed notes that a server said itself that it takes nothing more.
func (pool *Pool) Closed(id string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthClosed})
	pool.closed(id)
}

func (pool *Pool) closed(id string) {
	if server := pool.servers[id]; server != nil && !server.closed {
		server.closed = true
		pool.logger.Info("server closed", "server", id)
	}
}

// Leaves notes that a server said in an answer that it leaves. The list may be without that for as long as its source
// is away, in which it would go on getting requests.
func (pool *Pool) Leaves(id string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.leaves(id, pool.vm) {
		pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthLeaving})
	}
}

// leaves reports whether that is new. It holds for this start of the server, whatever its entry says later.
func (pool *Pool) leaves(id, toldBy string) bool {
	server := pool.servers[id]
	if server == nil || server.entry.Leaving {
		return false
	}
	server.entry.Leaving = true
	server.leavingToldBy = toldBy
	pool.logger.Info("server leaves", "server", id, "told_by", toldBy)
	return true
}

// Leaving returns how many servers are known to leave.
func (pool *Pool) Leaving() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	leaving := 0
	for _, server := range pool.servers {
		if server.entry.Leaving {
			leaving++
		}
	}
	return leaving
}

// NotFree notes that a server said how much KV memory it has left, which was too little for
// wanted tokens of a request that is noted there already. What it has in use beyond what
// is known here counts from now on, at all VMs: it mostly belongs to a VM that was killed,
// and is free again when nobody renews it.
func (pool *Pool) NotFree(service *catalog.Service, id string, wanted, free int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.servers[id]
	if server == nil || service.Engine == nil {
		return
	}
	known := -wanted
	for _, sending := range server.sendings {
		known += sending.Memory
	}
	hidden := max(0, service.Engine.MemoryTokens-free-known)
	pool.hide(server, hidden)
	pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthNotFree, Memory: hidden})
}

// hide lets hidden memory count, each time for twice as long as the last time, unless that is
// long over: mostly it is that of a request which just ended, and released in a moment.
func (pool *Pool) hide(server *server, tokens int) {
	now := pool.now()
	settings := pool.settings
	if now.Sub(server.hiddenUntil) > settings.HiddenMax {
		server.hiddenFor = 0
	}
	server.hidden = tokens
	server.hiddenFor = min(settings.HiddenMax, max(settings.HiddenMin, 2*server.hiddenFor))
	server.hiddenUntil = now.Add(server.hiddenFor)
}

// toldHealth takes over how a server did for a request of another VM.
func (pool *Pool) toldHealth(vm string, report Report) {
	switch report.Health {
	case HealthGood:
		pool.succeeded(report.Server)
	case HealthFailed:
		pool.failed(report.Server)
	case HealthLost:
		// One that is told again counted before: else one broken answer made a server suspect for five failures.
		if report.Age == 0 {
			pool.failed(report.Server)
		}
	case HealthClosed:
		pool.closed(report.Server)
	case HealthNotFree:
		if server := pool.servers[report.Server]; server != nil {
			pool.hide(server, report.Memory)
		}
	case HealthLeaving:
		pool.leaves(report.Server, vm)
	case HealthResting:
		if pool.servers[report.Server] != nil {
			pool.rests.Add(vm, report.Server, pool.now().Add(report.Rest))
		}
	case HealthLimited:
		pool.limited(report.Server, vm, report.PerSecond, pool.now().Add(-report.Age))
	case HealthUnlimited:
		pool.unlimited(report.Server, vm, pool.now().Add(-report.Age))
	case HealthUntold:
	}
}
