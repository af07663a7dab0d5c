package pool

import "slices"

// Evacuate lets the servers of these data centres, and of no others, get nothing new. What they work on ends in peace.
func (pool *Pool) Evacuate(dataCentres []string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.evacuated = slices.Clone(dataCentres)
	pool.wake()
}

func (pool *Pool) isEvacuated(server *server) bool {
	return slices.Contains(pool.evacuated, server.entry.DataCentre)
}

// AllEvacuated reports whether a service has servers in those data centres that could get requests, and an evacuation keeps
// them from all of these.
func (pool *Pool) AllEvacuated(service string, keptTo []string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	kept := false
	for _, server := range pool.byService[service] {
		if !server.in(keptTo) || !pool.stays(server, now) {
			continue
		}
		if !pool.isEvacuated(server) {
			return false
		}
		kept = true
	}
	return kept
}
