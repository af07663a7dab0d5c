package backpressure

import (
	"math"
	"time"
)

const (
	// minPerSecond is the lowest effective limit in requests per second. Servers that advertise
	// less, or zero, still get requests at this rate, since only their responses show that the
	// limit is lifted.
	minPerSecond = 0.2
	// maxPerSecond bounds the limits that other VMs report, in requests per second.
	maxPerSecond = 1e6
	// burstTime is the period for which unused requests accumulate. It covers the interval between
	// two evaluations of the queue, during which the server would otherwise idle.
	burstTime = 250 * time.Millisecond
	// maxDebtTime bounds by how much requests that are reported late can exceed a limit: by as many
	// as the limit allows in this period, and one more.
	maxDebtTime = 4 * time.Second
	// idleResetTime is the period without a check after which a sender with a share below one
	// starts again without accumulated requests.
	idleResetTime = time.Minute
	// relapseWindow is the period after a limit was lifted in which its return counts as a relapse.
	// After a relapse, more than minToleratedOmissions consecutive responses without the limit are
	// needed to lift it. Each further relapse doubles the number, up to maxToleratedOmissions.
	// Otherwise a server that advertises its limit only in some responses would get as many
	// requests as one without a limit.
	relapseWindow         = 30 * time.Second
	minToleratedOmissions = 2
	maxToleratedOmissions = 16
	// minResponseInterval is the least time between two responses that count separately. VMs report
	// one response several times.
	minResponseInterval = 100 * time.Millisecond
	// rampStepTime is the time between the steps in which the load increases after a limit is
	// lifted. Each step doubles the rate, so that a server that was overloaded until recently does
	// not get the full load from all VMs at once.
	rampStepTime = 250 * time.Millisecond
	// rampSteps is the number of these steps.
	rampSteps = 8
)

// RateLimit is a server's limit on the requests from all VMs together. It applies to one start of
// the server. The zero value means no limit. A RateLimit is immutable: the With methods return a
// changed copy.
type RateLimit struct {
	// perSecond is the last advertised limit, from zero to maxPerSecond.
	perSecond float64
	// advertisedAt is when the last advertisement was received, or when the request was sent whose
	// response lifted the limit. It is zero if no limit was ever advertised.
	advertisedAt time.Time
	// liftedAt is when the limit was found to be lifted, or zero.
	liftedAt time.Time
	// omissions is the number of responses without the limit since the last one with it. The
	// request for the last of them was sent at lastOmissionAt. The limit is lifted by more than
	// toleratedOmissions of them.
	omissions          int
	lastOmissionAt     time.Time
	toleratedOmissions int
	// tokens is the number of requests that the server could accept at tokensAt. It is negative
	// after the limit was exceeded.
	tokens   float64
	tokensAt time.Time
	// checkedAt is when the limit was last checked for a request.
	checkedAt time.Time
}

// WithAdvertised returns the limit after an advertisement received at the given time, and reports
// whether it differs from the known one. Advertisements received before the last known one are
// ignored.
func (rateLimit RateLimit) WithAdvertised(perSecond float64, at time.Time) (RateLimit, bool) {
	if at.Before(rateLimit.advertisedAt) {
		return rateLimit, false
	}
	if math.IsNaN(perSecond) {
		perSecond = 0
	}
	perSecond = min(max(0, perSecond), maxPerSecond)
	changed := rateLimit.advertisedAt.IsZero() || !rateLimit.liftedAt.IsZero() || perSecond != rateLimit.perSecond
	if rateLimit.advertisedAt.IsZero() {
		rateLimit.tokens = 1
		rateLimit.tokensAt = at
	}
	if !rateLimit.liftedAt.IsZero() {
		rateLimit.toleratedOmissions = rateLimit.toleratedAfter(at.Sub(rateLimit.liftedAt))
	}
	rateLimit.perSecond = perSecond
	rateLimit.advertisedAt = at
	rateLimit.liftedAt = time.Time{}
	rateLimit.omissions = 0
	return rateLimit, changed
}

// toleratedAfter returns how many responses without a limit do not lift it, if it was advertised
// again the given time after it was lifted.
func (rateLimit RateLimit) toleratedAfter(sinceLifted time.Duration) int {
	if sinceLifted > relapseWindow {
		return 0
	}
	return min(maxToleratedOmissions, max(minToleratedOmissions, 2*rateLimit.toleratedOmissions))
}

// WithOmitted returns the limit after a response without it, and reports whether the response
// lifted it. The response to a request that was sent before the advertisement was received is
// ignored, since it may have been made earlier.
func (rateLimit RateLimit) WithOmitted(sentAt, now time.Time) (RateLimit, bool) {
	earliest := rateLimit.advertisedAt
	if rateLimit.omissions > 0 {
		earliest = rateLimit.lastOmissionAt.Add(minResponseInterval)
	}
	if !rateLimit.Advertised() || !sentAt.After(earliest) {
		return rateLimit, false
	}
	rateLimit.omissions++
	rateLimit.lastOmissionAt = sentAt
	if rateLimit.omissions <= rateLimit.toleratedOmissions {
		return rateLimit, false
	}
	rateLimit.advertisedAt = sentAt
	rateLimit.liftedAt = now
	return rateLimit, true
}

// InForce reports whether the limit, or the increase in steps after it was lifted, bounds the
// requests to the server.
func (rateLimit RateLimit) InForce(now time.Time) bool {
	return !rateLimit.advertisedAt.IsZero() && (rateLimit.liftedAt.IsZero() || now.Sub(rateLimit.liftedAt) < rampSteps*rampStepTime)
}

// Advertisement is the last known advertisement of a server's limit.
type Advertisement struct {
	// Advertised is set unless the limit was lifted by responses without it.
	Advertised bool
	PerSecond  float64
	// At is when the limit was received, or when the request for the response without it was sent.
	At time.Time
}

// Advertisement returns the last advertisement, and false if the server never advertised a limit.
func (rateLimit RateLimit) Advertisement() (Advertisement, bool) {
	return Advertisement{Advertised: rateLimit.Advertised(), PerSecond: rateLimit.perSecond, At: rateLimit.advertisedAt}, !rateLimit.advertisedAt.IsZero()
}

// Advertised reports whether the limit was not lifted since its last advertisement.
func (rateLimit RateLimit) Advertised() bool {
	return !rateLimit.advertisedAt.IsZero() && rateLimit.liftedAt.IsZero()
}

// WithCheck returns the limit after a check by a sender that may use the given share of it. After
// idleResetTime without a check, a sender with a share below one starts with no accumulated
// requests, less the phase from zero to one: it has no record of what others sent before. Without
// the phases, each of many partitioned VMs would start with one request, all at the same moment.
func (rateLimit RateLimit) WithCheck(share, phase float64, now time.Time) RateLimit {
	if share < 1 && now.Sub(rateLimit.checkedAt) > idleResetTime {
		rateLimit.tokens = -phase
		rateLimit.tokensAt = now
	}
	rateLimit.checkedAt = now
	return rateLimit
}

// Allows reports whether the limit allows a request now from a sender that may use the given share
// of it.
func (rateLimit RateLimit) Allows(share float64, now time.Time) bool {
	return !rateLimit.InForce(now) || rateLimit.Available(share, now) >= 1
}

// WithRequest returns the limit after a request was sent to the server.
func (rateLimit RateLimit) WithRequest(share float64, now time.Time) RateLimit {
	if !rateLimit.InForce(now) {
		return rateLimit
	}
	maxDebt := -1 - maxDebtTime.Seconds()*rateLimit.PerSecond(share, now)
	rateLimit.tokens = max(maxDebt, rateLimit.Available(share, now)-1)
	rateLimit.tokensAt = now
	return rateLimit
}

// WithRefund returns the limit after a counted request was not sent to the server.
func (rateLimit RateLimit) WithRefund() RateLimit {
	rateLimit.tokens++
	return rateLimit
}

// Available is the number of requests that a sender with the given share of the limit may send now.
func (rateLimit RateLimit) Available(share float64, now time.Time) float64 {
	perSecond := rateLimit.PerSecond(share, now)
	burst := 1 + burstTime.Seconds()*perSecond
	return min(burst, rateLimit.tokens+perSecond*now.Sub(rateLimit.tokensAt).Seconds())
}

// PerSecond is the number of requests per second that a sender with the given share of a limit in
// force may send now.
func (rateLimit RateLimit) PerSecond(share float64, now time.Time) float64 {
	perSecond := share * max(minPerSecond, rateLimit.perSecond)
	if rateLimit.liftedAt.IsZero() {
		return perSecond
	}
	step := 1 + now.Sub(rateLimit.liftedAt)/rampStepTime
	return math.Ldexp(max(1, perSecond), int(step))
}
