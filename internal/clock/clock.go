// Package clock provides a monotonic clock that includes the time in which the machine is suspended.
//
// The monotonic clock of the runtime stops during a suspension, so that ages are too small afterwards: a configuration
// with a revoked key would seem recently confirmed, a caller's deadline would be missed, and an expired reservation of
// engine memory would seem valid. The wall clock includes suspensions, but may be set to another time.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mastwinch/mastwinch/internal/wait"
)

const (
	// pollInterval is the time between checks for a suspension.
	pollInterval = 50 * time.Millisecond
	// minSuspension is the shortest difference of the clocks that counts as a suspension. A shorter one may be caused by
	// the scheduling of threads.
	minSuspension = 10 * time.Millisecond
)

// Source returns the time since the machine was started, including the time in which it was suspended.
type Source func() (time.Duration, error)

// Boottime is the Source that reads CLOCK_BOOTTIME of the system.
func Boottime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, errors.Wrap(err, "clock: read CLOCK_BOOTTIME")
	}
	return time.Duration(now.Nano()), nil
}

// Clock is a clock that includes suspensions of the machine. It is safe for concurrent use.
type Clock struct {
	source Source
	// startedAt and sourceStart are the times at which the clock was created, by the runtime and by the source.
	startedAt   time.Time
	sourceStart time.Duration
	// suspended is the total time in nanoseconds for which the machine was suspended since then. It never decreases.
	suspended atomic.Int64

	mu sync.Mutex
	// registered has the functions that are called after a suspension.
	registered map[*callback]bool
}

// callback is a function that is called after a suspension. A pointer to it is its identity.
type callback struct {
	call func(suspension time.Duration)
}

// New returns a clock that reads source. It fails if source fails.
func New(source Source) (*Clock, error) {
	sourceStart, err := source()
	if err != nil {
		return nil, err
	}
	return &Clock{source: source, startedAt: time.Now(), sourceStart: sourceStart, registered: make(map[*callback]bool)}, nil
}

// Now returns the current time. Differences between times include the suspensions that Sync has detected.
func (clock *Clock) Now() time.Time {
	return time.Now().Add(time.Duration(clock.suspended.Load()))
}

// ForTimers converts a time of this clock to one for timers, contexts and connection deadlines of the runtime.
func (clock *Clock) ForTimers(instant time.Time) time.Time {
	return instant.Add(-time.Duration(clock.suspended.Load()))
}

// Sync checks whether the machine was suspended since the last check. If so, it calls the functions registered with
// AfterResume and returns the duration of the suspension; otherwise it returns zero. Call it before a decision that
// depends on an age.
func (clock *Clock) Sync() time.Duration {
	sourceNow, err := clock.source()
	if err != nil {
		return 0 // the source worked in New, and the next check reads it again
	}
	// The clock of the runtime is read last, so that a delay of the thread between the two reads does not
	// count as a suspension.
	suspended := sourceNow - clock.sourceStart - time.Since(clock.startedAt)
	previous := clock.suspended.Load()
	suspension := suspended - time.Duration(previous)
	if suspension < minSuspension || !clock.suspended.CompareAndSwap(previous, int64(suspended)) {
		return 0
	}
	for _, callback := range clock.callbacks() {
		callback.call(suspension)
	}
	return suspension
}

func (clock *Clock) callbacks() []*callback {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	callbacks := make([]*callback, 0, len(clock.registered))
	for callback := range clock.registered {
		callbacks = append(callbacks, callback)
	}
	return callbacks
}

// AfterResume calls call after each suspension with its duration, until stop is called. The function must not block.
func (clock *Clock) AfterResume(call func(suspension time.Duration)) (stop func()) {
	added := &callback{call: call}
	clock.mu.Lock()
	defer clock.mu.Unlock()
	clock.registered[added] = true
	return func() {
		clock.mu.Lock()
		defer clock.mu.Unlock()
		delete(clock.registered, added)
	}
}

// Run calls Sync at intervals until ctx is done.
func (clock *Clock) Run(ctx context.Context) {
	for wait.For(ctx, pollInterval) {
		clock.Sync()
	}
}

// WithDeadline returns a context that is cancelled at a time of this clock, with context.DeadlineExceeded as its cause.
// Cancelling it releases its timer.
func (clock *Clock) WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(deadline.Sub(clock.Now()), func() { cancel(context.DeadlineExceeded) })
	stop := clock.AfterResume(func(time.Duration) { timer.Reset(deadline.Sub(clock.Now())) })
	return ctx, func() {
		stop()
		timer.Stop()
		cancel(nil)
	}
}
