// Package clock tells a time that goes on while the machine is suspended.
//
// The runtime's steady clock stands still meanwhile, so that what is old looks young after a
// wake-up: the proof of a configuration with a key that was taken away, a caller who left, memory that an
// engine set aside for a time. The time of day goes on, and may jump.
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
	// tick is the time between looks whether the machine was suspended.
	tick = 50 * time.Millisecond
	// shortest is the shortest suspension that counts; what is shorter is as good as a slow thread.
	shortest = 10 * time.Millisecond
)

// Source tells for how long the machine has run, with the time in which it was suspended.
type Source func() (time.Duration, error)

// Boottime is the source of the system.
func Boottime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, errors.Wrap(err, "clock")
	}
	return time.Duration(now.Nano()), nil
}

// Clock is a clock that goes on while the machine is suspended.
type Clock struct {
	source Source
	// started and booted are when the clock was made, by the runtime and by the source.
	started time.Time
	booted  time.Duration
	// asleep is for how long the machine was suspended since then. It never shrinks.
	asleep atomic.Int64

	mu sync.Mutex
	// wakes has what is to be called after a suspension.
	wakes map[*wake]bool
}

// wake is a call after a suspension.
type wake struct {
	call func(slept time.Duration)
}

// New returns a clock on a source.
func New(source Source) (*Clock, error) {
	booted, err := source()
	if err != nil {
		return nil, err
	}
	return &Clock{source: source, started: time.Now(), booted: booted, wakes: make(map[*wake]bool)}, nil
}

// Now returns the time. Its differences count the suspensions that Sync has found.
func (clock *Clock) Now() time.Time {
	return time.Now().Add(time.Duration(clock.asleep.Load()))
}

// ForTimers returns a moment of this clock as the runtime's timers, contexts and connections take it.
func (clock *Clock) ForTimers(moment time.Time) time.Time {
	return moment.Add(-time.Duration(clock.asleep.Load()))
}

// Sync looks whether the machine was suspended since the last look, and if so calls who waits for that and returns
// for how long. It is for the moment before something is decided by an age.
func (clock *Clock) Sync() time.Duration {
	up, err := clock.source()
	if err != nil {
		return 0 // it answered when the clock was made, and the next look asks again
	}
	// The runtime's clock is read last, so that a thread that had to wait between the two does not
	// look like a suspension.
	asleep := up - clock.booted - time.Since(clock.started)
	known := clock.asleep.Load()
	slept := asleep - time.Duration(known)
	if slept < shortest || !clock.asleep.CompareAndSwap(known, int64(asleep)) {
		return 0
	}
	for _, wake := range clock.waiting() {
		wake.call(slept)
	}
	return slept
}

func (clock *Clock) waiting() []*wake {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	waiting := make([]*wake, 0, len(clock.wakes))
	for wake := range clock.wakes {
		waiting = append(waiting, wake)
	}
	return waiting
}

// AfterWake calls after each suspension, with how long it was, until stop is called. The call must not block.
func (clock *Clock) AfterWake(call func(slept time.Duration)) (stop func()) {
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

// Run looks at intervals until ctx is done.
func (clock *Clock) Run(ctx context.Context) {
	for wait.For(ctx, tick) {
		clock.Sync()
	}
}

// WithDeadline returns a context that ends at a moment of this clock, with context.DeadlineExceeded as its cause.
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
