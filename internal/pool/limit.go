package pool

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/backpressure"
)

const (
	// limitToldFor is for how long a VM that does not decide for others tells of a limit after it heard of it. Those
	// that decide keep it.
	limitToldFor = 10 * time.Second
	// limitTransit is the longest time that a datagram usually takes. What VMs tell each other in turns does not
	// become news by it.
	limitTransit = 100 * time.Millisecond
)

// Limits notes that a server named how many requests a second it takes from all VMs together. The VM that decides counts
// them: a limit that each VM kept for itself would be exceeded by as many times as there are VMs.
func (pool *Pool) Limits(id string, perSecond float64) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.limited(id, pool.vm, perSecond, pool.now()) {
		pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthLimited, PerSecond: perSecond})
	}
}

// limited reports whether that is new.
func (pool *Pool) limited(id, toldBy string, perSecond float64, at time.Time) bool {
	server := pool.servers[id]
	if server == nil {
		return false
	}
	server.watched = false
	limit, changed := server.limit.WithNamed(perSecond, at)
	known, _ := server.limit.Statement()
	if !changed && toldBy != pool.vm && at.Sub(known.At) < limitTransit {
		return false
	}
	server.limit = limit
	pool.limits[id] = server
	if changed {
		pool.logger.Info("server limited", "server", id, "per_second", perSecond, "told_by", toldBy)
	}
	return changed
}

// LiftsLimit notes an answer of a server that names no limit, which was asked for at a moment.
func (pool *Pool) LiftsLimit(id string, asked time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.servers[id]
	if server == nil {
		return
	}
	statement, _ := server.limit.Statement()
	says := statement.Named && asked.After(statement.At)
	if !says && !server.watched {
		return
	}
	pool.unlimited(id, pool.vm, asked)
	server.watched = false
	pool.publisher.Publish(Report{
		Server: id, Phase: PhaseOver, Health: HealthUnlimited, Age: pool.now().Sub(asked),
	})
}

func (pool *Pool) unlimited(id, toldBy string, asked time.Time) {
	server := pool.servers[id]
	if server == nil {
		return
	}
	limit, changed := server.limit.WithLifted(asked, pool.now())
	server.limit = limit
	if changed {
		pool.logger.Info("server not limited any more", "server", id, "told_by", toldBy)
	}
}

// WatchLimit notes that a server is limited as the VM that decides knows, so that an answer without a limit is to be told.
func (pool *Pool) WatchLimit(id string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if server := pool.servers[id]; server != nil && !server.limit.Named() {
		server.watched = true
	}
}

// OwnLimits returns what this VM tells others of limits: all that it knows, or what was said lately.
func (pool *Pool) OwnLimits(all bool) []Report {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	var reports []Report
	for id, server := range pool.limits {
		statement, _ := server.limit.Statement()
		age := now.Sub(statement.At)
		lately := age <= limitToldFor
		if lately || (all && statement.Named) {
			reports = append(reports, reportOf(id, statement, age))
		}
		if !lately && !statement.Named {
			delete(pool.limits, id)
		}
	}
	return reports
}

func reportOf(id string, statement backpressure.Statement, age time.Duration) Report {
	report := Report{Server: id, Phase: PhaseOver, Health: HealthUnlimited, Age: age}
	if statement.Named {
		report.Health = HealthLimited
		report.PerSecond = statement.PerSecond
	}
	return report
}

// Limited returns how many servers named a limit that holds.
func (pool *Pool) Limited() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	limited := 0
	for _, server := range pool.limits {
		if server.limit.Named() {
			limited++
		}
	}
	return limited
}

// limitsNow returns what bounds the requests to a server: the limit that it named, and what it bears while it is cold. All
// of them must let a request through, so the smallest one binds.
func (pool *Pool) limitsNow(server *server, now time.Time) []*backpressure.Limit {
	var limits []*backpressure.Limit
	if server.limit.Holds(now) {
		limits = append(limits, &server.limit)
	}
	if cold := pool.coldNow(server, now); cold != nil {
		limits = append(limits, &cold.limit)
	}
	return limits
}

// withinLimits reports whether a server takes a request now of those who may use a share of what it takes.
func (pool *Pool) withinLimits(server *server, share func() float64, now time.Time) bool {
	for _, limit := range pool.limitsNow(server, now) {
		*limit = limit.WithLook(share(), rand.Float64(), now) //nolint:gosec // no secret
		if !limit.Open(share(), now) {
			return false
		}
	}
	return true
}

// place puts a request at its server and counts it against what the server takes, unless it was told of so late that it may
// have been counted before.
func (pool *Pool) place(server *server, added *sending, now time.Time) {
	server.add(added)
	if now.Sub(added.sentAt) >= pool.settings.RemoteTime {
		return
	}
	for _, limit := range pool.limitsNow(server, now) {
		*limit = limit.WithTaken(pool.publisher.Share(), now)
	}
}

// takesBack notes that a request that counted does not go to the server.
func (server *server) takesBack() {
	server.limit = server.limit.WithReturned()
	if server.cold != nil {
		server.cold.limit = server.cold.limit.WithReturned()
	}
}

// perSecond returns how many requests a second a server takes of those who may use a share, and reports false where
// nothing bounds them.
func (pool *Pool) perSecond(server *server, share func() float64, now time.Time) (float64, bool) {
	limits := pool.limitsNow(server, now)
	least := math.Inf(1)
	for _, limit := range limits {
		least = min(least, limit.PerSecond(share(), now))
	}
	return least, len(limits) > 0
}

// TakesPerSecond returns how many requests a second the servers of a service in those data centres take that want some from a
// VM, and reports whether there are such and all of them named limits or are cold.
func (pool *Pool) TakesPerSecond(service string, keptTo []string, vm string) (float64, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	share := sync.OnceValue(pool.publisher.Share)
	total := 0.0
	for _, server := range pool.byService[service] {
		_, rests := pool.rests.Over(vm, server.entry.ID, now)
		if !server.in(keptTo) || !pool.takes(server, now) || rests {
			continue
		}
		perSecond, bounded := pool.perSecond(server, share, now)
		if !bounded {
			return 0, false
		}
		total += perSecond
	}
	return total, total > 0
}
