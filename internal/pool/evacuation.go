package pool

import "slices"

// Evacuate stops new requests to the servers of the given data centres, which replace those given
// before. Requests in flight there run to completion.
func (pool *Pool) Evacuate(dataCentres []string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.evacuated = slices.Clone(dataCentres)
	pool.notifyChanged()
}

func (pool *Pool) isEvacuated(server *server) bool {
	return slices.Contains(pool.evacuated, server.entry.DataCentre)
}

// AllEvacuated reports whether a service has otherwise usable servers in the allowed data centres,
// and all of them are excluded by an evacuation. An empty list allows all data centres.
func (pool *Pool) AllEvacuated(service string, allowed []string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	excluded := false
	for _, server := range pool.byService[service] {
		if !server.inDataCentres(allowed) || !pool.isUsable(server, now) {
			continue
		}
		if !pool.isEvacuated(server) {
			return false
		}
		excluded = true
	}
	return excluded
}
