package pool

import (
	"maps"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
)

// rests has until when servers want nothing from a VM, by the VM and the server's ID. A rest is of one start of a
// server, since its ID is, and of one VM: the others were not asked.
type rests map[string]map[string]time.Time

// add notes a rest, and reports whether it ends later than was known.
func (rests rests) add(vm, server string, until time.Time) bool {
	if !until.After(rests[vm][server]) {
		return false
	}
	if rests[vm] == nil {
		rests[vm] = make(map[string]time.Time)
	}
	rests[vm][server] = until
	return true
}

// servers returns the servers that want nothing from a VM now, and forgets those that have rested.
func (rests rests) servers(vm string, now time.Time) []string {
	var resting []string
	for server, until := range rests[vm] {
		if now.Before(until) {
			resting = append(resting, server)
			continue
		}
		delete(rests[vm], server)
	}
	if len(rests[vm]) == 0 {
		delete(rests, vm)
	}
	return resting
}

// forget drops rests of servers that are not there any more.
func (rests rests) forget(there map[string]*server) {
	for _, servers := range rests {
		maps.DeleteFunc(servers, func(id string, _ time.Time) bool { return there[id] == nil })
	}
}

// over returns when a server has rested from a VM, and reports whether it still has to.
func (rests rests) over(vm, server string, now time.Time) (time.Time, bool) {
	until := rests[vm][server]
	return until, now.Before(until)
}

// Rests notes that a server wants nothing from this VM for so long. It is no failure, which any good answer would take
// back.
func (pool *Pool) Rests(id string, long time.Duration) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.servers[id] == nil || !pool.rests.add(pool.vm, id, pool.now().Add(long)) {
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
	return pool.rests.servers(vm, pool.now())
}

// RestOver returns when the first server of a service has rested, where all that may be used want nothing from this VM
// now.
func (pool *Pool) RestOver(service *catalog.Service) (time.Time, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	var first time.Time
	for _, server := range pool.byService[service.Name] {
		if !pool.takes(server, now) {
			continue
		}
		until, rests := pool.rests.over(pool.vm, server.entry.ID, now)
		if !rests {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}
