package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is the time between tries that fail. It doubles with each failure, so that many who try together do not offer
// for long what the other side cannot take, and is drawn at random, so that they do not come back together.
type Backoff struct {
	least, most, next time.Duration
}

// NewBackoff returns times that grow from least to most.
func NewBackoff(least, most time.Duration) *Backoff {
	return &Backoff{least: least, most: most, next: least}
}

// Wait waits before the next try. It reports false when ctx is done first.
func (backoff *Backoff) Wait(ctx context.Context) bool {
	pause := Drawn(backoff.next)
	backoff.next = min(backoff.most, 2*backoff.next)
	return For(ctx, pause)
}

// Reset lets the next time be the least again.
func (backoff *Backoff) Reset() {
	backoff.next = backoff.least
}

// Drawn returns a time drawn from half of most to most.
func Drawn(most time.Duration) time.Duration {
	if most <= 1 {
		return most
	}
	return most/2 + rand.N(most/2) //nolint:gosec // no secret
}
