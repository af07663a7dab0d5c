package pool

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
)

// BackOff records that a server requested a backoff from this VM for a duration, and publishes it. It
// is no failure, which a later successful response would clear.
func (pool *Pool) BackOff(id string, duration time.Duration) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.backOff(id, duration)
}

func (pool *Pool) backOff(id string, duration time.Duration) {
	if pool.servers[id] == nil || !pool.inBackoff.Add(pool.vm, id, pool.now().Add(duration)) {
		return
	}
	pool.logger.Info("server requested backoff", "server", id, "long", duration)
	pool.publishBackoff(id, duration)
}

// publishBackoff reports to other VMs for how long a server accepts nothing from this one.
func (pool *Pool) publishBackoff(id string, duration time.Duration) {
	pool.publisher.Publish(Report{Server: id, Phase: PhaseEnded, Health: HealthBackoff, Backoff: duration})
}

// BackoffServers returns the IDs of the servers that are in backoff for a VM.
func (pool *Pool) BackoffServers(vm string) []string {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.inBackoff.Servers(vm, pool.now())
}

// BackoffEnd returns when the first backoff of a service's servers in the allowed data centres
// ends. It reports false unless all usable servers there are in backoff for this VM.
func (pool *Pool) BackoffEnd(service *catalog.Service, allowed []string) (time.Time, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	var first time.Time
	for _, server := range pool.byService[service.Name] {
		if !server.inDataCentres(allowed) || !pool.acceptsRequests(server, now) {
			continue
		}
		until, inBackoff := pool.inBackoff.End(pool.vm, server.entry.ID, now)
		if !inBackoff {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}
