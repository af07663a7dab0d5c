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
	// limit after it observed it. Coordinators report limits for as long as they are advertised.
	limitReportDuration = 10 * time.Second
	// datagramTransitTime is the usual upper bound on the transit time of a datagram. A limit that
	// VMs repeat to each other is not taken for a newer one if it differs by less than this.
	datagramTransitTime = 100 * time.Millisecond
)

// RecordRateLimit records that a server advertised how many requests per second it accepts from all
// VMs together. The coordinator counts requests against it: a limit enforced by each VM alone would
// be exceeded by a factor of the number of VMs.
func (pool *Pool) RecordRateLimit(id string, perSecond float64) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.recordRateLimit(id, pool.vm, perSecond, pool.now()) {
		pool.publisher.Publish(Report{Server: id, Phase: PhaseEnded, Health: HealthRateLimited, PerSecond: perSecond})
	}
}

// recordRateLimit reports whether the limit changed.
func (pool *Pool) recordRateLimit(id, reportedBy string, perSecond float64, at time.Time) bool {
	server := pool.servers[id]
	if server == nil {
		return false
	}
	server.limitWatched = false
	limit, changed := server.limit.WithAdvertised(perSecond, at)
	known, _ := server.limit.Advertisement()
	if !changed && reportedBy != pool.vm && at.Sub(known.At) < datagramTransitTime {
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
func (pool *Pool) RecordNoRateLimit(id string, sentAt time.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.servers[id]
	if server == nil {
		return
	}
	advertisement, _ := server.limit.Advertisement()
	isNewer := advertisement.Advertised && sentAt.After(advertisement.At)
	if !isNewer && !server.limitWatched {
		return
	}
	pool.recordNoRateLimit(id, pool.vm, sentAt)
	server.limitWatched = false
	pool.publisher.Publish(Report{
		Server: id, Phase: PhaseEnded, Health: HealthNoRateLimit, Age: pool.now().Sub(sentAt),
	})
}

func (pool *Pool) recordNoRateLimit(id, reportedBy string, sentAt time.Time) {
	server := pool.servers[id]
	if server == nil {
		return
	}
	limit, changed := server.limit.WithOmitted(sentAt, pool.now())
	server.limit = limit
	if changed {
		pool.logger.Info("server rate limit lifted", "server", id, "told_by", reportedBy)
	}
}

// WatchRateLimit records that the coordinator has a rate limit for a server that this VM doesn't
// have, so that this VM reports the next response without a limit.
func (pool *Pool) WatchRateLimit(id string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if server := pool.servers[id]; server != nil && !server.limit.Advertised() {
		server.limitWatched = true
	}
}

// OwnLimitReports returns the reports of rate limits that this VM sends to others: those of limits
// that were advertised or lifted recently and, if all is set, of all others that are advertised.
func (pool *Pool) OwnLimitReports(all bool) []Report {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	var reports []Report
	for id, server := range pool.limits {
		advertisement, _ := server.limit.Advertisement()
		age := now.Sub(advertisement.At)
		isRecent := age <= limitReportDuration
		if isRecent || (all && advertisement.Advertised) {
			reports = append(reports, limitReport(id, advertisement, age))
		}
		if !isRecent && !advertisement.Advertised {
			delete(pool.limits, id)
		}
	}
	return reports
}

func limitReport(id string, advertisement backpressure.Advertisement, age time.Duration) Report {
	report := Report{Server: id, Phase: PhaseEnded, Health: HealthNoRateLimit, Age: age}
	if advertisement.Advertised {
		report.Health = HealthRateLimited
		report.PerSecond = advertisement.PerSecond
	}
	return report
}

// RateLimited returns the number of servers whose advertised rate limit was not lifted.
func (pool *Pool) RateLimited() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	limited := 0
	for _, server := range pool.limits {
		if server.limit.Advertised() {
			limited++
		}
	}
	return limited
}

// activeLimits returns the limits on the requests to a server: the one that it advertised, and the
// one of its cold start. A request must be within all of them, so the smallest one is effective.
func (pool *Pool) activeLimits(server *server, now time.Time) []*backpressure.RateLimit {
	var limits []*backpressure.RateLimit
	if server.limit.InForce(now) {
		limits = append(limits, &server.limit)
	}
	if coldStart := pool.activeColdStart(server, now); coldStart != nil {
		limits = append(limits, &coldStart.limit)
	}
	return limits
}

// withinLimits reports whether a server accepts a request now from a VM or coordinator that may use
// the given share of the limits.
func (pool *Pool) withinLimits(server *server, share func() float64, now time.Time) bool {
	for _, limit := range pool.activeLimits(server, now) {
		*limit = limit.WithCheck(share(), rand.Float64(), now) //nolint:gosec // not security-sensitive
		if !limit.Allows(share(), now) {
			return false
		}
	}
	return true
}

// insertAndCount adds an attempt to its server and counts it against the server's limits, and its
// prefill as used by its organisation. Attempts
// reported so late that they may have been counted before are not counted again.
func (pool *Pool) insertAndCount(server *server, added *attempt, now time.Time) {
	server.insert(added)
	if now.Sub(added.sentAt) >= pool.settings.RemoteReportTTL {
		return
	}
	for _, limit := range pool.activeLimits(server, now) {
		*limit = limit.WithRequest(pool.publisher.Share(), now)
	}
	pool.countPrefill(server, added, now)
}

// refundLimits undoes the count of a request that is not sent to the server.
func (server *server) refundLimits() {
	server.limit = server.limit.WithRefund()
	if server.coldStart != nil {
		server.coldStart.limit = server.coldStart.limit.WithRefund()
	}
}

// perSecond returns how many requests per second a server accepts from a sender that may use the
// given share of its limits, and false if no limit applies.
func (pool *Pool) perSecond(server *server, share func() float64, now time.Time) (float64, bool) {
	limits := pool.activeLimits(server, now)
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
		_, inBackoff := pool.inBackoff.End(vm, server.entry.ID, now)
		if !server.inDataCentres(allowed) || !pool.acceptsRequests(server, now) || inBackoff {
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
