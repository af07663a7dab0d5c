// Package retrybudget allows retries in proportion to requests, so that
// retries do not multiply the load when many fail.
package retrybudget

import (
	"sync"
	"time"
)

// Limits are what a budget allows.
type Limits struct {
	// Ratio is the retries that each request earns.
	Ratio float64
	// Burst is the most retries at once.
	Burst float64
	// Refill is how long an empty budget takes to be full again without
	// requests. Zero means that only requests earn.
	Refill time.Duration
}

// Budget is a budget of retries. In any time of length Refill it allows at most
// twice Burst, and Ratio for each request in it.
type Budget struct {
	now func() time.Time

	mu     sync.Mutex
	limits Limits
	// tokens is from zero to limits.Burst.
	tokens float64
	// refilled is when tokens was last brought up to date.
	refilled time.Time
}

// New returns a full budget.
func New(limits Limits, now func() time.Time) *Budget {
	return &Budget{now: now, limits: limits, tokens: limits.Burst, refilled: now()}
}

// NewEmpty returns an empty budget.
func NewEmpty(limits Limits, now func() time.Time) *Budget {
	return &Budget{now: now, limits: limits, refilled: now()}
}

// SetLimits changes what the budget allows. What was saved above the new burst
// is lost.
func (budget *Budget) SetLimits(limits Limits) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.refill()
	budget.limits = limits
	budget.tokens = min(budget.tokens, limits.Burst)
}

// Earn notes a request.
func (budget *Budget) Earn() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens = min(budget.limits.Burst, budget.tokens+budget.limits.Ratio)
}

// Spend takes a retry, if there is one.
func (budget *Budget) Spend() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.refill()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

func (budget *Budget) refill() {
	now := budget.now()
	elapsed := now.Sub(budget.refilled)
	budget.refilled = now
	if budget.limits.Refill <= 0 {
		return
	}
	earned := budget.limits.Burst * elapsed.Seconds() / budget.limits.Refill.Seconds()
	budget.tokens = min(budget.limits.Burst, budget.tokens+earned)
}
