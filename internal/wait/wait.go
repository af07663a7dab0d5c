// Package wait waits for a time or for the end of a context.
package wait

import (
	"context"
	"time"
)

// For waits that long, and reports whether it did; it returns early, with
// false, when ctx is done. A time of zero or less is over at once.
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
