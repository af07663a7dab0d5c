package pool

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/backpressure"
)

const (
	// limitReportDuration is for how long a VM that doesn't coordinate repeats the reports of a
	// limit after it observed it. Coordinators report their limits for as long as they are in
	// force.
	limitToldFor = 10 * time.Second
	// datagramTransitTime is the usual upper bound on the transit time of a datagram. A limit that
	// VMs repeat to each other is not taken for a newer one if it differs by less than this.
	limitTransit = 100 * time.Millisecond
)

// RecordRateLimit records that a server advertised how many requests per second it accepts from all
// VMs together. The coordinator counts requests against it: a limit enforced by each VM alone would
// be exceeded by a factor of the number of VMs.
func (pool *Pool) Limits(id string, perSecond float64) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.limited(id, pool.vm, perSecond, pool.now()) {
		pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthLimited, PerSecond: perSecond})
	}
}

// recordRateLimit reports whether the limit changed.
func (pool *Pool) limited(id, reportedBy string, perSecond float64, at time.Time) bool {
	server := pool.servers[id]
	if server == nil {
		return false
	}
	server.watched = false
	limit, changed := server.limit.WithNamed(perSecond, at)
	known, _ := server.limit.Statement()
	if !changed && reportedBy != pool.vm && at.Sub(known.At) < limitTransit {
		return false
	}
	server.limit = limit
	pool.limits[id] = server
	if changed {
		pool.logger.Info("server advertised a rate limit", "server", id, "per_second", perSecond, "told_by", reportedBy)
	}
	return changed
}

// RecordNoRateLimit records a response without a rate limit to a request that was sent at the given
// time.
func (pool *Pool) LiftsLimit(id string, sentAt time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.servers[id]
	if server == nil {
		return
	}
	advertisement, _ := server.limit.Statement()
	isNewer := advertisement.Named && sentAt.After(advertisement.At)
	if !isNewer && !server.watched {
		return
	}
	pool.unlimited(id, pool.vm, sentAt)
	server.watched = false
	pool.publisher.Publish(Report{
		Server: id, Phase: PhaseOver, Health: HealthUnlimited, Age: pool.now().Sub(sentAt),
	})
}

func (pool *Pool) unlimited(id, reportedBy string, sentAt time.Time) {
	server := pool.servers[id]
	if server == nil {
		return
	}
	limit, changed := server.limit.WithLifted(sentAt, pool.now())
	server.limit = limit
	if changed {
		pool.logger.Info("server rate limit lifted", "server", id, "told_by", reportedBy)
	}
}

// WatchRateLimit records that the coordinator has a rate limit for a server that this VM doesn't
// have, so that this VM reports the next response without a limit.
func (pool *Pool) WatchLimit(id string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if server := pool.servers[id]; server != nil && !server.limit.Named() {
		server.watched = true
	}
}

// OwnLimitReports returns the reports of rate limits that this VM sends to others: all limits in
// force, or only those observed recently.
func (pool *Pool) OwnLimits(all bool) []Report {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	var reports []Report
	for id, server := range pool.limits {
		advertisement, _ := server.limit.Statement()
		age := now.Sub(advertisement.At)
		isRecent := age <= limitToldFor
		if isRecent || (all && advertisement.Named) {
			reports = append(reports, reportOf(id, advertisement, age))
		}
		if !isRecent && !advertisement.Named {
			delete(pool.limits, id)
		}
	}
	return reports
}

func reportOf(id string, advertisement backpressure.Statement, age time.Duration) Report {
	report := Report{Server: id, Phase: PhaseOver, Health: HealthUnlimited, Age: age}
	if advertisement.Named {
		report.Health = HealthLimited
		report.PerSecond = advertisement.PerSecond
	}
	return report
}

// RateLimited returns the number of servers whose last response advertised a rate limit.
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

// activeLimits returns the limits on the requests to a server: the one that it advertised, and the
// one of its cold start. A request must be within all of them, so the smallest one is effective.
func (pool *Pool) limitsNow(server *server, now time.Time) []*backpressure.Limit {
	var limits []*backpressure.Limit
	if server.limit.Holds(now) {
		limits = append(limits, &server.limit)
	}
	if coldStart := pool.coldNow(server, now); coldStart != nil {
		limits = append(limits, &coldStart.limit)
	}
	return limits
}

// withinLimits reports whether a server accepts a request now from a VM or coordinator that may use
// the given share of the limits.
func (pool *Pool) withinLimits(server *server, share func() float64, now time.Time) bool {
	for _, limit := range pool.limitsNow(server, now) {
		*limit = limit.WithLook(share(), rand.Float64(), now) //nolint:gosec // not security-sensitive
		if !limit.Open(share(), now) {
			return false
		}
	}
	return true
}

// insertAndCount adds an attempt to its server and counts it against the server's limits. Attempts
// reported so late that they may have been counted before are not counted again.
func (pool *Pool) place(server *server, added *attempt, now time.Time) {
	server.add(added)
	if now.Sub(added.sentAt) >= pool.settings.RemoteTime {
		return
	}
	for _, limit := range pool.limitsNow(server, now) {
		*limit = limit.WithTaken(pool.publisher.Share(), now)
	}
}

// refundLimits undoes the count of a request that is not sent to the server.
func (server *server) takesBack() {
	server.limit = server.limit.WithReturned()
	if server.coldStart != nil {
		server.coldStart.limit = server.coldStart.limit.WithReturned()
	}
}

// perSecond returns how many requests per second a server accepts from a sender that may use the
// given share of its limits, and false if no limit applies.
func (pool *Pool) perSecond(server *server, share func() float64, now time.Time) (float64, bool) {
	limits := pool.limitsNow(server, now)
	lowest := math.Inf(1)
	for _, limit := range limits {
		lowest = min(lowest, limit.PerSecond(share(), now))
	}
	return lowest, len(limits) > 0
}

// AcceptedRate returns how many requests per second a service's servers in the allowed data centres
// accept for a VM, leaving out those that are in backoff for it. It reports false if there are no
// such servers, or one of them has no limit.
func (pool *Pool) AcceptedRate(service string, allowed []string, vm string) (float64, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	share := sync.OnceValue(pool.publisher.Share)
	total := 0.0
	for _, server := range pool.byService[service] {
		_, inBackoff := pool.rests.Over(vm, server.entry.ID, now)
		if !server.in(allowed) || !pool.takes(server, now) || inBackoff {
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
