package gateway

import (
	"context"
	"time"
)

// Pauses of a request for which no connection can be opened, from unsentBefore failures in a row on. Without them, a request that reaches no server is placed and fails hundreds of times a second.
const (
	unsentBefore   = 3
	unsentPause    = 10 * time.Millisecond
	unsentPauseMax = 320 * time.Millisecond
)

// pauseIfUnsent pauses before the next attempt after several in a row that opened no connection.
func (forwarder *forwarder) pauseIfUnsent(ctx context.Context, result result) {
	if !result.notSent {
		forwarder.unsent = 0
		forwarder.unsentBackoff.Reset()
		return
	}
	forwarder.unsent++
	if forwarder.unsent >= unsentBefore {
		forwarder.unsentBackoff.Wait(ctx)
	}
}
