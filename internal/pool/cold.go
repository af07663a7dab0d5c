package pool

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/backpressure"
	"github.com/mastwinch/mastwinch/internal/catalog"
)

// cold is that a server started a moment ago, or lost what made it quick, and takes few requests until then.
type cold struct {
	until time.Time
	// limit is how many it takes meanwhile from all VMs together.
	limit backpressure.Limit
}

// Configure takes over how many requests a second cold servers of the services take.
func (pool *Pool) Configure(services []catalog.Service) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.coldPerSecond = make(map[string]float64)
	for _, service := range services {
		if service.ColdPerSecond > 0 {
			pool.coldPerSecond[service.Name] = service.ColdPerSecond
		}
	}
	pool.wake()
}

// noteCold notes for how much longer a server is cold, as was heard just now. What was counted against it holds on.
func (pool *Pool) noteCold(server *server, left time.Duration) {
	if left <= 0 {
		server.cold = nil
		return
	}
	if server.cold == nil {
		server.cold = &cold{}
		pool.logger.Info("server is cold", "server", server.entry.ID, "for", left)
	}
	server.cold.until = pool.now().Add(left)
}

// coldNow returns what bounds a cold server, or nil for one that is warm or takes as much as ever.
func (pool *Pool) coldNow(server *server, now time.Time) *cold {
	if server.cold == nil {
		return nil
	}
	if !now.Before(server.cold.until) {
		server.cold = nil
		return nil
	}
	perSecond := pool.coldPerSecond[server.entry.Service]
	if perSecond == 0 {
		return nil
	}
	server.cold.limit, _ = server.cold.limit.WithNamed(perSecond, now)
	return server.cold
}
