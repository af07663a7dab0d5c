package pool

import (
	"maps"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/fairshare"
)

// Usage returns what organisations use of the servers of a service that get requests. It is derived
// from the requests that all VMs report, so that a VM which takes over as coordinator knows it from
// the reports that it has received.
func (pool *Pool) Usage(service *catalog.Service) fairshare.Usage {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	usage := fairshare.Usage{Fraction: pool.publisher.Share(), Used: make(map[fairshare.Organisation]fairshare.Use)}
	for _, server := range pool.byService[service.Name] {
		if !pool.acceptsRequests(server, now) || server.ejection.Ejected(now) {
			continue
		}
		pool.dropExpired(server, now)
		usage.Servers++
		usage.Slots += server.entry.Slots
		for _, attempt := range server.attempts {
			usage.Used[attempt.Organisation] = usage.Used[attempt.Organisation].With(fairshare.LengthOf(service.Engine == nil || attempt.Packable), attempt.occupied(service.Engine, server.entry.Slots))
		}
	}
	for flow, prefill := range pool.prefills {
		if flow.Service == service.Name && !prefill.Idle(fairshare.PrefillWindow, now) {
			usage.Used[flow.Organisation] = usage.Used[flow.Organisation].With(flow.Length, prefill.PerSecond(fairshare.PrefillWindow, now))
		}
	}
	return usage
}

// forgetPrefills forgets organisations without a recent prefill. It does nothing if it was called
// less than a PrefillWindow ago.
func (pool *Pool) forgetPrefills(now time.Time) {
	if now.Sub(pool.prefillsForgottenAt) < fairshare.PrefillWindow {
		return
	}
	pool.prefillsForgottenAt = now
	maps.DeleteFunc(pool.prefills, func(_ fairshare.Flow, prefill fairshare.Rate) bool { return prefill.Idle(fairshare.PrefillWindow, now) })
}

// CountedPrefills returns the number of organisations, by service and length of request, whose prefills
// are counted.
func (pool *Pool) CountedPrefills() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.prefills)
}

// occupied returns what an attempt takes of its server, which has the given number of slots, beside
// the time of its prefill.
func (attempt *attempt) occupied(engine *catalog.Engine, slots int) float64 {
	if attempt.PrefillOnly {
		slots = 0
	}
	memoryFraction := 0.0
	if engine != nil && engine.MemoryTokens > 0 {
		memoryFraction = float64(attempt.Memory) / float64(engine.MemoryTokens)
	}
	return fairshare.Occupied(slots, memoryFraction)
}

// countPrefill adds the prefill of a new attempt to what its organisation uses of the service.
func (pool *Pool) countPrefill(server *server, added *attempt, now time.Time) {
	if added.PrefillTime <= 0 {
		return
	}
	flow := fairshare.Flow{Service: server.entry.Service, Organisation: added.Organisation, Length: fairshare.LengthOf(added.Packable)}
	pool.prefills[flow] = pool.prefills[flow].WithAmount(added.PrefillTime.Seconds(), fairshare.PrefillWindow, now)
}
