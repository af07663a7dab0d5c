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
	tick = 50 * time.Millisecond
	// minSuspension is the shortest difference of the clocks that counts as a suspension. A shorter one may be caused by
	// the scheduling of threads.
	shortest = 10 * time.Millisecond
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
	started time.Time
	booted  time.Duration
	// suspended is the total time in nanoseconds for which the machine was suspended since then. It never decreases.
	asleep atomic.Int64

	mu sync.Mutex
	// registered has the functions that are called after a suspension.
	wakes map[*wake]bool
}

// callback is a function that is called after a suspension. A pointer to it is its identity.
type wake struct {
	call func(suspension time.Duration)
}

// New returns a clock that reads source. It fails if source fails.
func New(source Source) (*Clock, error) {
	sourceStart, err := source()
	if err != nil {
		return nil, err
	}
	return &Clock{source: source, started: time.Now(), booted: sourceStart, wakes: make(map[*wake]bool)}, nil
}

// Now returns the current time. Differences between times include the suspensions that Sync has detected.
func (clock *Clock) Now() time.Time {
	return time.Now().Add(time.Duration(clock.asleep.Load()))
}

// ForTimers converts a time of this clock to one for timers, contexts and connection deadlines of the runtime.
func (clock *Clock) ForTimers(instant time.Time) time.Time {
	return instant.Add(-time.Duration(clock.asleep.Load()))
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
	suspended := sourceNow - clock.booted - time.Since(clock.started)
	previous := clock.asleep.Load()
	suspension := suspended - time.Duration(previous)
	if suspension < shortest || !clock.asleep.CompareAndSwap(previous, int64(suspended)) {
		return 0
	}
	for _, callback := range clock.waiting() {
		callback.call(suspension)
	}
	return suspension
}

func (clock *Clock) waiting() []*wake {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	callbacks := make([]*wake, 0, len(clock.wakes))
	for callback := range clock.wakes {
		callbacks = append(callbacks, callback)
	}
	return callbacks
}

// AfterResume calls call after each suspension with its duration, until stop is called. The function must not block.
func (clock *Clock) AfterWake(call func(suspension time.Duration)) (stop func()) {
	added := &wake{call: call}
	clock.mu.Lock()
	defer clock.mu.Unlock()
	clock.wakes[added] = true
	return func() {
		clock.mu.Lock()
		defer clock.mu.Unlock()
		delete(clock.wakes, added)
	}
}

// Run calls Sync at intervals until ctx is done.
func (clock *Clock) Run(ctx context.Context) {
	for wait.For(ctx, tick) {
		clock.Sync()
	}
}

// WithDeadline returns a context that is cancelled at a time of this clock, with context.DeadlineExceeded as its cause.
// Cancelling it releases its timer.
func (clock *Clock) WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(deadline.Sub(clock.Now()), func() { cancel(context.DeadlineExceeded) })
	stop := clock.AfterWake(func(time.Duration) { timer.Reset(deadline.Sub(clock.Now())) })
	return ctx, func() {
		stop()
		timer.Stop()
		cancel(nil)
	}
}
