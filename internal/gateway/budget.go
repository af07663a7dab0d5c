package gateway

import (
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/coordinator"
	"github.com/mastwinch/mastwinch/internal/retrybudget"
)

// budget returns the retry budget of a service.
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

// shareBudgets brings the retry budgets up to date with the number of VMs.
func (gateway *Gateway) shareBudgets() {
	gateway.budgetMu.Lock()
	defer gateway.budgetMu.Unlock()
	limits := gateway.retryLimits()
	for _, budget := range gateway.budgets {
		budget.SetLimits(limits)
	}
}

// burstPart is the part of a VM's share of the slack that it may spend at once;
// the rest comes back evenly over the window. A server that dies cuts many
// streams at once, so most of it is kept for that.
const burstPart = 0.7

// retryLimits is this VM's share of the budget over all VMs. The slack is
// divided by all VMs that were ever known, since one that is not heard may
// still serve.
func (gateway *Gateway) retryLimits() retrybudget.Limits {
	return gateway.retryLimitsOf(1 / float64(gateway.exchange.Known()))
}

// retryLimitsOf is a part of the budget over all VMs.
func (gateway *Gateway) retryLimitsOf(part float64) retrybudget.Limits {
	bounds := gateway.bounds.Load()
	used := gateway.settings.Request.RetryPart
	return retrybudget.Limits{
		Ratio:  used * bounds.RetryRatio,
		Burst:  burstPart * used * bounds.RetrySlack * part,
		Refill: time.Duration(burstPart / (1 - burstPart) * float64(bounds.RetryWindow)),
	}
}

// retriesGranted reports whether retries are granted by the VM that decides. They are where one VM's share has no whole
// retry, so that none would ever be made.
func (gateway *Gateway) retriesGranted() bool {
	return gateway.retryLimits().Burst < 1
}

// mayRetry reports whether a request that has servers may go there, which some had before.
func (run *run) mayRetry(budget *retrybudget.Budget) bool {
	if run.gateway.retriesGranted() {
		return run.granted
	}
	return budget.Spend()
}

// commonRetries are the retries of all VMs, where this one grants them.
type commonRetries struct {
	gateway *Gateway

	mu sync.Mutex
	// budgets has those of each service for which retries are granted here.
	budgets map[string]*commonBudget
}

// commonBudget is what a service's retries are taken from.
type commonBudget struct {
	budget *retrybudget.Budget
	// asked is when a request for the service came last.
	asked time.Time
}

var _ coordinator.Retries = (*commonRetries)(nil)

// Earn implements coordinator.Retries.
func (commonretries *commonRetries) Earn(service string) {
	commonretries.of(service).Earn()
}

// Spend implements coordinator.Retries.
func (commonretries *commonRetries) Spend(service string) bool {
	return commonretries.of(service).Spend()
}

// of returns the budget of a service. A VM that begins to decide begins with an empty one: another one may just have granted all.
func (commonretries *commonRetries) of(service string) *retrybudget.Budget {
	commonretries.mu.Lock()
	defer commonretries.mu.Unlock()
	gateway := commonretries.gateway
	now := gateway.now()
	limits := gateway.retryLimitsOf(gateway.exchange.Share())
	common := commonretries.budgets[service]
	if common == nil || now.Sub(common.asked) > gateway.bounds.Load().RetryWindow {
		common = &commonBudget{budget: retrybudget.NewEmpty(limits, gateway.now)}
		commonretries.budgets[service] = common
	}
	common.asked = now
	common.budget.SetLimits(limits)
	return common.budget
}
