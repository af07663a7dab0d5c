// Package retrybudget limits retries to a ratio of requests, so that retries do not multiply the
// load when many requests fail.
package retrybudget

import (
	"sync"
	"time"
)

// Limits configure a Budget.
type Limits struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the capacity of the budget, in retries.
	Burst float64
	// Refill is the time in which an empty budget is refilled without requests. Zero disables
	// refilling, so that only requests add to the budget.
	Refill time.Duration
}

// Budget is a token bucket of retries. In any window of length Refill it allows at most twice
// Burst, and Ratio for each request in the window. It is safe for concurrent use.
type Budget struct {
	now func() time.Time

	mu     sync.Mutex
	limits Limits
	// tokens is the number of available retries, from zero to limits.Burst.
	tokens float64
	// refilled is the time of the last refill.
	refilled time.Time
}

// New returns a full budget. The function now is its clock.
func New(limits Limits, now func() time.Time) *Budget {
	return &Budget{now: now, limits: limits, tokens: limits.Burst, refilled: now()}
}

// NewEmpty returns an empty budget. The function now is its clock.
func NewEmpty(limits Limits, now func() time.Time) *Budget {
	return &Budget{now: now, limits: limits, refilled: now()}
}

// SetLimits changes the limits. Retries in excess of the new burst are discarded.
func (budget *Budget) SetLimits(limits Limits) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.refill()
	budget.limits = limits
	budget.tokens = min(budget.tokens, limits.Burst)
}

// Earn adds the retries earned by one request, up to the burst.
func (budget *Budget) Earn() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens = min(budget.limits.Burst, budget.tokens+budget.limits.Ratio)
}

// Spend removes one retry from the budget. It reports false, and removes nothing, if less than one
// is available.
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

// Left returns how many retries are available.
func (budget *Budget) Left() float64 {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.refill()
	return budget.tokens
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
