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

// shareBudgets updates the limits of the retry budgets to the current number of VMs and the
// bounds in force.
func (gateway *Gateway) shareBudgets() {
	gateway.budgetMu.Lock()
	defer gateway.budgetMu.Unlock()
	limits := gateway.retryLimits()
	for _, budget := range gateway.budgets {
		budget.SetLimits(limits)
	}
}

// burstPart is the fraction of a VM's share of the slack that it may spend at once; the
// remainder is refilled evenly over the window. A server crash interrupts many streams at once, so
// most of the slack is available at once for that case.
const burstPart = 0.7

// retryLimits returns this VM's share of the retry budget of all VMs. The slack is divided by the
// number of all VMs ever observed, since one whose heartbeats are missing may still be serving.
func (gateway *Gateway) retryLimits() retrybudget.Limits {
	return gateway.retryLimitsOf(1 / float64(gateway.exchange.KnownCount()))
}

// retryLimitsOf returns the limits for a fraction of the retry budget of all VMs.
func (gateway *Gateway) retryLimitsOf(fraction float64) retrybudget.Limits {
	bounds := gateway.bounds.Load()
	usable := gateway.settings.Request.RetryPart
	return retrybudget.Limits{
		Ratio:  usable * bounds.RetryRatio,
		Burst:  burstPart * usable * bounds.RetrySlack * fraction,
		Refill: time.Duration(burstPart / (1 - burstPart) * float64(bounds.RetryWindow)),
	}
}

// retriesGranted reports whether retries need a grant of the coordinator. That is so when
// one VM's share of the slack is less than one retry, so that no VM could ever retry on its own.
func (gateway *Gateway) retriesGranted() bool {
	return gateway.retryLimits().Burst < 1
}

// mayRetry reports whether a request that was sent to a server before may be sent to another one.
func (forwarder *run) mayRetry(budget *retrybudget.Budget) bool {
	if forwarder.gateway.retriesGranted() {
		return forwarder.granted
	}
	return budget.Spend()
}

// commonRetries are the retry budgets of all VMs, used while this VM is the coordinator. It is safe
// for concurrent use.
type commonRetries struct {
	gateway *Gateway

	mu sync.Mutex
	// budgets has the retry budget of each service by its name.
	budgets map[string]*commonBudget
}

// commonBudget is the retry budget of one service.
type commonBudget struct {
	budget *retrybudget.Budget
	// asked is when the budget was last used.
	asked time.Time
}

var _ coordinator.RetryBudget = (*commonRetries)(nil)

// Earn implements coordinator.RetryBudget.
func (sharedretries *commonRetries) Earn(service string) {
	sharedretries.of(service).Earn()
}

// Spend implements coordinator.RetryBudget.
func (sharedretries *commonRetries) Spend(service string) bool {
	return sharedretries.of(service).Spend()
}

// of returns the retry budget of a service. A VM that becomes coordinator starts with an
// empty budget, because the previous coordinator may have just granted all retries.
func (sharedretries *commonRetries) of(service string) *retrybudget.Budget {
	sharedretries.mu.Lock()
	defer sharedretries.mu.Unlock()
	gateway := sharedretries.gateway
	now := gateway.now()
	limits := gateway.retryLimitsOf(gateway.exchange.Share())
	shared := sharedretries.budgets[service]
	if shared == nil || now.Sub(shared.asked) > gateway.bounds.Load().RetryWindow {
		shared = &commonBudget{budget: retrybudget.NewEmpty(limits, gateway.now)}
		sharedretries.budgets[service] = shared
	}
	shared.asked = now
	shared.budget.SetLimits(limits)
	return shared.budget
}
