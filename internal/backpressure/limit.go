package backpressure

import (
	"math"
	"time"
)

const (
	// leastPerSecond is the lowest limit that is kept, in requests a second. A server that names less, or none at all,
	// is asked so often anyway: only its answers tell that the limit is over.
	leastPerSecond = 0.2
	// mostPerSecond bounds what another VM tells, in requests a second.
	mostPerSecond = 1e6
	// savedTime is the time for which a limit may be saved up. It covers the time between looks at what waits, in which
	// a server would be idle.
	savedTime = 250 * time.Millisecond
	// owedTime is the time for which a limit may be overdrawn by requests that were not known in time.
	owedTime = 4 * time.Second
	// forgetTime is after how long without a look those who use a part of a limit begin anew.
	forgetTime = time.Minute
	// relapseTime is for how long after a limit was lifted its return is a relapse. After one the limit is lifted only by
	// more than relapseLeast answers in a row without it, and by more than twice as many after each other one, up to
	// relapseMost: a server that names it in some answers only would else get as much as one that names none.
	relapseTime  = 30 * time.Second
	relapseLeast = 2
	relapseMost  = 16
	// answersApart is the least time between answers that count as two. VMs tell of one several times.
	answersApart = 100 * time.Millisecond
	// stepTime is the time between the steps in which load comes back once a limit is lifted. In each of them it
	// doubles, so that a server which was in need a moment ago does not get all at once from all VMs.
	stepTime = 250 * time.Millisecond
	// steps is how many such steps there are.
	steps = 8
)

// Limit is how many requests a server takes from all VMs together. It holds for one start of the server. The zero value
// is no limit. Limits are values: what changes one returns another.
type Limit struct {
	// perSecond is what the server named last, from zero to mostPerSecond.
	perSecond float64
	// saidAt is when that was heard. It is zero where no limit was ever named.
	saidAt time.Time
	// liftedAt is when it was known that the limit is lifted, or zero.
	liftedAt time.Time
	// unnamed is how many answers came without a limit since one with it, the last one asked for at unnamedAt. More than
	// quiet of them lift the limit.
	unnamed   int
	unnamedAt time.Time
	quiet     int
	// tokens is how many requests the server could take at countedAt. It is below zero after more than it takes.
	tokens    float64
	countedAt time.Time
	// lookedAt is when somebody last wanted to know whether the server takes a request.
	lookedAt time.Time
}

// WithNamed returns the limit after a server named one, which was heard at a moment, and reports whether that differs
// from what was known. What was heard before the last word says nothing.
func (limit Limit) WithNamed(perSecond float64, at time.Time) (Limit, bool) {
	if at.Before(limit.saidAt) {
		return limit, false
	}
	if math.IsNaN(perSecond) {
		perSecond = 0
	}
	perSecond = min(max(0, perSecond), mostPerSecond)
	changed := limit.saidAt.IsZero() || !limit.liftedAt.IsZero() || perSecond != limit.perSecond
	if limit.saidAt.IsZero() {
		limit.tokens = 1
		limit.countedAt = at
	}
	if !limit.liftedAt.IsZero() {
		limit.quiet = limit.quietAfter(at.Sub(limit.liftedAt))
	}
	limit.perSecond = perSecond
	limit.saidAt = at
	limit.liftedAt = time.Time{}
	limit.unnamed = 0
	return limit, changed
}

// quietAfter returns how many answers without a limit do not lift it, after it was named again so long after it was lifted.
func (limit Limit) quietAfter(lifted time.Duration) int {
	if lifted > relapseTime {
		return 0
	}
	return min(relapseMost, max(relapseLeast, 2*limit.quiet))
}

// WithLifted returns the limit after an answer without it, and reports whether that differs from what was known. The answer
// was asked for at a moment: one that was asked for before the limit was heard may have been made before it.
func (limit Limit) WithLifted(askedAt, now time.Time) (Limit, bool) {
	last := limit.saidAt
	if limit.unnamed > 0 {
		last = limit.unnamedAt.Add(answersApart)
	}
	if !limit.Named() || !askedAt.After(last) {
		return limit, false
	}
	limit.unnamed++
	limit.unnamedAt = askedAt
	if limit.unnamed <= limit.quiet {
		return limit, false
	}
	limit.saidAt = askedAt
	limit.liftedAt = now
	return limit, true
}

// Holds reports whether the server gets less than it could.
func (limit Limit) Holds(now time.Time) bool {
	return !limit.saidAt.IsZero() && (limit.liftedAt.IsZero() || now.Sub(limit.liftedAt) < steps*stepTime)
}

// Statement is what a server said last of its limit.
type Statement struct {
	// Named says that it named one. Else it did before, and not in its last answer.
	Named     bool
	PerSecond float64
	// At is when a limit was heard, or when the answer without it was asked for.
	At time.Time
}

// Statement returns what the server said last, and reports false where it never named a limit.
func (limit Limit) Statement() (Statement, bool) {
	return Statement{Named: limit.Named(), PerSecond: limit.perSecond, At: limit.saidAt}, !limit.saidAt.IsZero()
}

// Named reports whether the server named a limit in its last answer.
func (limit Limit) Named() bool {
	return !limit.saidAt.IsZero() && limit.liftedAt.IsZero()
}

// WithLook returns the limit after a look for those who may use a share of the limit. Who uses only a part begins with
// nothing saved up, and so much less as a phase from zero to one says: it does not know what others sent before, and of
// many that are cut off each would begin with one, all in the same moment.
func (limit Limit) WithLook(share, phase float64, now time.Time) Limit {
	if share < 1 && now.Sub(limit.lookedAt) > forgetTime {
		limit.tokens = -phase
		limit.countedAt = now
	}
	limit.lookedAt = now
	return limit
}

// Open reports whether the server takes a request now of those who may use a share of the limit.
func (limit Limit) Open(share float64, now time.Time) bool {
	return !limit.Holds(now) || limit.Available(share, now) >= 1
}

// WithTaken returns the limit after a request went to the server.
func (limit Limit) WithTaken(share float64, now time.Time) Limit {
	if !limit.Holds(now) {
		return limit
	}
	owed := -1 - owedTime.Seconds()*limit.PerSecond(share, now)
	limit.tokens = max(owed, limit.Available(share, now)-1)
	limit.countedAt = now
	return limit
}

// WithReturned returns the limit after a request that counted did not go to the server.
func (limit Limit) WithReturned() Limit {
	limit.tokens++
	return limit
}

// Available is how many requests the server takes now of those who may use a share of the limit.
func (limit Limit) Available(share float64, now time.Time) float64 {
	perSecond := limit.PerSecond(share, now)
	most := 1 + savedTime.Seconds()*perSecond
	return min(most, limit.tokens+perSecond*now.Sub(limit.countedAt).Seconds())
}

// PerSecond is how many requests a second a server whose limit holds gets now of those who may use a share of it.
func (limit Limit) PerSecond(share float64, now time.Time) float64 {
	perSecond := share * max(leastPerSecond, limit.perSecond)
	if limit.liftedAt.IsZero() {
		return perSecond
	}
	step := 1 + now.Sub(limit.liftedAt)/stepTime
	return math.Ldexp(max(1, perSecond), int(step))
}
