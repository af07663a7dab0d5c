package gateway

import (
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/coordinator"
	"github.com/mastwinch/mastwinch/internal/retrybudget"
)

// budget returns the retry budget of a service, which it creates on first use.
func (gateway *Gateway) budget(service string) *retrybudget.Budget {
	gateway.budgetMu.Lock()
	defer gateway.budgetMu.Unlock()
	budget := gateway.budgets[service]
	if budget == nil {
		budget = retrybudget.New(gateway.retryLimits(), gateway.now)
		gateway.budgets[service] = budget
	}
	return budget
}

// updateRetryLimits updates the limits of the retry budgets to the current number of VMs and the
// bounds in force.
func (gateway *Gateway) updateRetryLimits() {
	gateway.budgetMu.Lock()
	defer gateway.budgetMu.Unlock()
	limits := gateway.retryLimits()
	for _, budget := range gateway.budgets {
		budget.SetLimits(limits)
	}
}

// burstFraction is the fraction of a VM's share of the slack that it may spend at once; the
// remainder is refilled evenly over the window. A server crash interrupts many streams at once, so
// most of the slack is available at once for that case.
const burstFraction = 0.7

// retryLimits returns this VM's share of the retry budget of all VMs. The slack is divided by the
// number of all VMs ever observed, since one whose heartbeats are missing may still be serving.
func (gateway *Gateway) retryLimits() retrybudget.Limits {
	return gateway.retryLimitsForShare(1 / float64(gateway.exchange.KnownCount()))
}

// retryLimitsForShare returns the limits for a fraction of the retry budget of all VMs.
func (gateway *Gateway) retryLimitsForShare(fraction float64) retrybudget.Limits {
	bounds := gateway.bounds.Load()
	usable := gateway.settings.Request.RetryBudgetFraction
	return retrybudget.Limits{
		Ratio:  usable * bounds.RetryRatio,
		Burst:  burstFraction * usable * bounds.RetrySlack * fraction,
		Refill: time.Duration(burstFraction / (1 - burstFraction) * float64(bounds.RetryWindow)),
	}
}

// coordinatorGrantsRetries reports whether retries need a grant of the coordinator. That is so when
// one VM's share of the slack is less than one retry, so that no VM could ever retry on its own.
func (gateway *Gateway) coordinatorGrantsRetries() bool {
	return gateway.retryLimits().Burst < 1
}

// mayRetry reports whether a request that was sent to a server before may be sent to another one.
func (forwarder *forwarder) mayRetry(budget *retrybudget.Budget) bool {
	if forwarder.gateway.coordinatorGrantsRetries() {
		return forwarder.retryGranted
	}
	return budget.Spend()
}

// sharedRetries are the retry budgets of all VMs, used while this VM is the coordinator. It is safe
// for concurrent use.
type sharedRetries struct {
	gateway *Gateway

	mu sync.Mutex
	// budgets has the retry budget of each service by its name.
	budgets map[string]*sharedBudget
}

// sharedBudget is the retry budget of one service.
type sharedBudget struct {
	budget *retrybudget.Budget
	// lastUsed is when the budget was last used.
	lastUsed time.Time
}

var _ coordinator.RetryBudget = (*sharedRetries)(nil)

// Earn implements coordinator.RetryBudget.
func (sharedretries *sharedRetries) Earn(service string) {
	sharedretries.budgetOf(service).Earn()
}

// Spend implements coordinator.RetryBudget.
func (sharedretries *sharedRetries) Spend(service string) bool {
	return sharedretries.budgetOf(service).Spend()
}

// Left implements coordinator.RetryBudget.
func (sharedretries *sharedRetries) Left(service string) float64 {
	return sharedretries.budgetOf(service).Left()
}

// budgetOf returns the retry budget of a service. A VM that becomes coordinator starts with an
// empty budget, because the previous coordinator may have just granted all retries.
func (sharedretries *sharedRetries) budgetOf(service string) *retrybudget.Budget {
	sharedretries.mu.Lock()
	defer sharedretries.mu.Unlock()
	gateway := sharedretries.gateway
	now := gateway.now()
	limits := gateway.retryLimitsForShare(gateway.exchange.Share())
	shared := sharedretries.budgets[service]
	if shared == nil || now.Sub(shared.lastUsed) > gateway.bounds.Load().RetryWindow {
		shared = &sharedBudget{budget: retrybudget.NewEmpty(limits, gateway.now)}
		sharedretries.budgets[service] = shared
	}
	shared.lastUsed = now
	shared.budget.SetLimits(limits)
	return shared.budget
}
