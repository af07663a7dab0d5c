// Package wait provides a sleep that a context can interrupt, and an exponential backoff with jitter.
package wait

import (
	"context"
	"time"
)

// For sleeps for the duration and returns true, or returns false as soon as ctx is done. For a duration of zero or less it
// returns true at once, even if ctx is done.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
