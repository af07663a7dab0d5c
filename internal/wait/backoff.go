package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with jitter between the attempts of an operation. The delay doubles with each attempt,
// so that many clients that retry together don't overload the server for long. The jitter keeps them from retrying at
// the same time. A Backoff is not safe for concurrent use.
type Backoff struct {
	initial, maximum, next time.Duration
}

// NewBackoff returns a backoff whose delays, before jitter, grow from initial to maximum.
func NewBackoff(initial, maximum time.Duration) *Backoff {
	return &Backoff{initial: initial, maximum: maximum, next: initial}
}

// Wait sleeps before the next attempt. It returns false as soon as ctx is done.
func (backoff *Backoff) Wait(ctx context.Context) bool {
	delay := Jittered(backoff.next)
	backoff.next = min(backoff.maximum, 2*backoff.next)
	return For(ctx, delay)
}

// Reset sets the next delay back to the initial one.
func (backoff *Backoff) Reset() {
	backoff.next = backoff.initial
}

// Jittered returns a random duration from half of maximum to maximum. A maximum of 1 ns or less is returned unchanged.
func Jittered(maximum time.Duration) time.Duration {
	if maximum <= 1 {
		return maximum
	}
	return maximum/2 + rand.N(maximum/2) //nolint:gosec // not security-sensitive
}
