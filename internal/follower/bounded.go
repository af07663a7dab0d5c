package follower

import (
	"context"
	"time"
)

// Bounded is a Log that limits the time of each read. If a response consists of
// several parts, the time limit applies to each part, so that reading a large
// amount of content from a slow source is not aborted and restarted.
type Bounded struct {
	log     Log
	timeout time.Duration
}

var _ Log = Bounded{}

// NewBounded returns a log whose responses, and parts of responses, may take
// timeout in addition to the requested wait.
func NewBounded(log Log, timeout time.Duration) Bounded {
	return Bounded{log: log, timeout: timeout}
}

// Read implements Log.
func (bounded Bounded) Read(ctx context.Context, from Position, wait time.Duration) (Page, error) {
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(wait+bounded.timeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	restartTimer := func() { timer.Reset(bounded.timeout) }
	return bounded.log.Read(context.WithValue(limited, partKey{}, restartTimer), from, wait) //nolint:wrapcheck // the log adds the context
}

// partKey is the context key of the function that PartReceived calls.
type partKey struct{}

// PartReceived restarts the time limit of a read through Bounded, after a part of
// the response was received. Without such a limit in ctx it does nothing.
func PartReceived(ctx context.Context) {
	if restartTimer, ok := ctx.Value(partKey{}).(func()); ok {
		restartTimer()
	}
}
