package coordinator_test

import "github.com/mastwinch/mastwinch/internal/coordinator"

// anyRetries grants all retries.
type anyRetries struct{}

var _ coordinator.Retries = anyRetries{}

// Earn implements coordinator.Retries.
func (anyRetries) Earn(string) {}

// Spend implements coordinator.Retries.
func (anyRetries) Spend(string) bool { return true }
