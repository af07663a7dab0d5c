package follower

import (
	"context"
	"time"
)

// Bounded is a log whose questions must be answered in time. A question that is
// answered in several parts may take that long for each of them, so that much
// content of a slow source is not begun again and again.
type Bounded struct {
	log      Log
	patience time.Duration
}

var _ Log = Bounded{}

// NewBounded returns a log of which each answer, or part of one, may take patience
// beyond what it is asked to wait.
func NewBounded(log Log, patience time.Duration) Bounded {
	return Bounded{log: log, patience: patience}
}

// Read implements Log.
func (bounded Bounded) Read(ctx context.Context, from Position, wait time.Duration) (Page, error) {
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(wait+bounded.patience, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	extend := func() { timer.Reset(bounded.patience) }
	return bounded.log.Read(context.WithValue(limited, partKey{}, extend), from, wait) //nolint:wrapcheck // the log says what failed
}

// partKey is the key of what PartRead calls.
type partKey struct{}

// PartRead notes that a part of an answer has come, so that the next one has its
// time too.
func PartRead(ctx context.Context) {
	if extend, ok := ctx.Value(partKey{}).(func()); ok {
		extend()
	}
}
