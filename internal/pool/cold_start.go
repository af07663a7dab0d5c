package pool

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/backpressure"
	"github.com/mastwinch/mastwinch/internal/catalog"
)

// coldStart describes a server that started recently, or lost its warm state, and accepts only a
// limited rate of requests until it has warmed up.
type coldStart struct {
	until time.Time
	// limit bounds the requests from all VMs together until then.
	limit backpressure.RateLimit
}

// Configure sets the rate of requests that cold servers of each service accept.
func (pool *Pool) Configure(services []catalog.Service) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.coldPerSecond = make(map[string]float64)
	for _, service := range services {
		if service.ColdPerSecond > 0 {
			pool.coldPerSecond[service.Name] = service.ColdPerSecond
		}
	}
	pool.notifyChanged()
}

// setColdStart sets the remaining time for which a server is cold, as just reported. Requests
// already counted against an ongoing cold start stay counted.
func (pool *Pool) setColdStart(server *server, remaining time.Duration) {
	if remaining <= 0 {
		server.coldStart = nil
		return
	}
	if server.coldStart == nil {
		server.coldStart = &coldStart{}
		pool.logger.Info("server is cold", "server", server.entry.ID, "for", remaining)
	}
	server.coldStart.until = pool.now().Add(remaining)
}

// activeColdStart returns the cold start that limits a server now, or nil for a warm server or a
// service without a limit for cold servers.
func (pool *Pool) activeColdStart(server *server, now time.Time) *coldStart {
	if server.coldStart == nil {
		return nil
	}
	if !now.Before(server.coldStart.until) {
		server.coldStart = nil
		return nil
	}
	perSecond := pool.coldPerSecond[server.entry.Service]
	if perSecond == 0 {
		return nil
	}
	server.coldStart.limit, _ = server.coldStart.limit.WithAdvertised(perSecond, now)
	return server.coldStart
}
