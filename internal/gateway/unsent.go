package gateway

import (
	"context"
	"time"

	"github.com/mastwinch/mastwinch/internal/wait"
)

// Pauses of a request to which no connection can be opened: from unsentBefore failures in a row on, each pause is twice as long
// as the one before. Without them, a request that reaches no server is placed and fails hundreds of times a second.
const (
	unsentBefore    = 3
	unsentPause     = 10 * time.Millisecond
	unsentPauseMax  = 320 * time.Millisecond
	unsentDoublings = 5
)

// pauseIfUnsent pauses before the next attempt after several in a row that opened no connection.
func (forwarder *forwarder) pauseIfUnsent(ctx context.Context, result result) {
	if !result.notSent {
		forwarder.unsent = 0
		return
	}
	forwarder.unsent++
	if excess := forwarder.unsent - unsentBefore; excess >= 0 {
		wait.For(ctx, min(unsentPauseMax, unsentPause<<min(excess, unsentDoublings)))
	}
}
