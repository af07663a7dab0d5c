package coordinator_test

import "github.com/mastwinch/mastwinch/internal/coordinator"

// unlimitedRetries implements coordinator.RetryBudget without a limit.
type unlimitedRetries struct{}

var _ coordinator.Retries = unlimitedRetries{}

// Earn implements coordinator.Retries.
func (unlimitedRetries) Earn(string) {}

// Spend implements coordinator.Retries.
func (unlimitedRetries) Spend(string) bool { return true }
