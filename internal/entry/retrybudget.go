package entry

import "sync"

// retryBudget allows retries in proportion to requests, so that retries do not
// multiply the load when many fail.
type retryBudget struct {
	ratio float64
	burst float64

	mu sync.Mutex
	// tokens is from zero to burst.
	tokens float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// earn notes a request.
func (retrybudget *retryBudget) earn() {
	retrybudget.mu.Lock()
	defer retrybudget.mu.Unlock()
	retrybudget.tokens = min(retrybudget.burst, retrybudget.tokens+retrybudget.ratio)
}

// spend takes a retry, if there is one.
func (retrybudget *retryBudget) spend() bool {
	retrybudget.mu.Lock()
	defer retrybudget.mu.Unlock()
	if retrybudget.tokens < 1 {
		return false
	}
	retrybudget.tokens--
	return true
}
