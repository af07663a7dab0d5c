package pool

// Succeeded notes a good answer of a server.
func (pool *Pool) Succeeded(id string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.succeeded(id)
	pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthGood})
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

// toldHealth takes over how a server did for a request of another VM.
func (pool *Pool) toldHealth(report Report) {
	switch report.Health {
	case HealthGood:
		pool.succeeded(report.Server)
	case HealthFailed:
		pool.failed(report.Server)
	case HealthClosed:
		pool.closed(report.Server)
	case HealthUntold:
	}
}
