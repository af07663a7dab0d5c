package pool

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
)

// Rests notes that a server wants nothing from this VM for so long. It is no failure, which any good answer would take
// back.
func (pool *Pool) Rests(id string, long time.Duration) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.servers[id] == nil || !pool.rests.Add(pool.vm, id, pool.now().Add(long)) {
		return
	}
	pool.logger.Info("server rests", "server", id, "long", long)
	pool.tellRest(id, long)
}

// tellRest tells other VMs for how long a server wants nothing from this one.
func (pool *Pool) tellRest(id string, long time.Duration) {
	pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthResting, Rest: long})
}

// Resting returns the servers that want nothing from a VM now.
func (pool *Pool) Resting(vm string) []string {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.rests.Servers(vm, pool.now())
}

// RestOver returns when the first server of a service in those data centres has rested, where all that may be used want
// nothing from this VM now.
func (pool *Pool) RestOver(service *catalog.Service, keptTo []string) (time.Time, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	var first time.Time
	for _, server := range pool.byService[service.Name] {
		if !server.in(keptTo) || !pool.takes(server, now) {
			continue
		}
		until, rests := pool.rests.Over(pool.vm, server.entry.ID, now)
		if !rests {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}
