package gateway

import (
	"time"

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
	bounds := gateway.bounds.Load()
	share := gateway.settings.Request.RetryPart * bounds.RetrySlack / float64(gateway.exchange.Known())
	return retrybudget.Limits{
		Ratio:  gateway.settings.Request.RetryPart * bounds.RetryRatio,
		Burst:  burstPart * share,
		Refill: time.Duration(burstPart / (1 - burstPart) * float64(bounds.RetryWindow)),
	}
}
