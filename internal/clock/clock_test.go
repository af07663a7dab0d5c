package clock_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/clock"
)

var errNoClock = errors.New("no such clock")

// machine is a simulated machine that can be suspended.
type machine struct {
	startedAt time.Time
	suspended atomic.Int64
}

func (machine *machine) uptime() (time.Duration, error) {
	return time.Since(machine.startedAt) + time.Duration(machine.suspended.Load()), nil
}

func (machine *machine) suspend(duration time.Duration) {
	machine.suspended.Add(int64(duration))
}

func newClock(t *testing.T) (*clock.Clock, *machine) {
	t.Helper()
	machine := &machine{startedAt: time.Now()}
	created, err := clock.New(machine.uptime)
	assert.NilError(t, err)
	return created, machine
}

func TestClockIncludesSuspension(t *testing.T) {
	for name, test := range map[string]struct {
		suspended, want time.Duration
	}{
		"none":          {},
		"slow thread":   {suspended: time.Millisecond},
		"a second":      {suspended: time.Second, want: time.Second},
		"five seconds":  {suspended: 5 * time.Second, want: 5 * time.Second},
		"a long minute": {suspended: time.Minute, want: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, machine := newClock(t)
				before := clock.Now()
				time.Sleep(time.Second)
				machine.suspend(test.suspended)
				assert.Equal(t, clock.Sync(), test.want)
				assert.Equal(t, clock.Sync(), time.Duration(0), "each suspension is reported once")
				assert.Equal(t, clock.Now().Sub(before), time.Second+test.want)
				assert.Equal(t, clock.ForTimers(clock.Now()), time.Now())
			})
		})
	}
}

// TestDeadlineAfterSuspension has a deadline in ten seconds: a suspension of the machine must count towards it, and the
// remaining time must continue to run.
func TestDeadlineAfterSuspension(t *testing.T) {
	for name, test := range map[string]struct {
		suspended, want time.Duration
	}{
		"none":          {want: 10 * time.Second},
		"a second":      {suspended: time.Second, want: 9 * time.Second},
		"five seconds":  {suspended: 5 * time.Second, want: 5 * time.Second},
		"a long minute": {suspended: time.Minute, want: 1050 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, machine := newClock(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go clock.Run(ctx)
				started := time.Now()
				bounded, cancel := clock.WithDeadline(ctx, clock.Now().Add(10*time.Second))
				defer cancel()
				time.Sleep(time.Second)
				machine.suspend(test.suspended)
				<-bounded.Done()
				assert.ErrorIs(t, context.Cause(bounded), context.DeadlineExceeded)
				elapsed := time.Since(started)
				assert.Assert(t, (elapsed-test.want).Abs() <= 50*time.Millisecond, "%s", elapsed)
				stop()
				synctest.Wait()
			})
		})
	}
}

func TestNewFailsWithItsSource(t *testing.T) {
	_, err := clock.New(func() (time.Duration, error) { return 0, errNoClock })
	assert.ErrorIs(t, err, errNoClock)
}

func TestBoottimeDoesNotDecrease(t *testing.T) {
	first, err := clock.Boottime()
	assert.NilError(t, err)
	second, err := clock.Boottime()
	assert.NilError(t, err)
	assert.Assert(t, second >= first && first > 0)
}

// BenchmarkNow measures reading the time.
func BenchmarkNow(b *testing.B) {
	systemClock, err := clock.New(clock.Boottime)
	assert.NilError(b, err)
	for b.Loop() {
		systemClock.Now()
	}
}

// BenchmarkSync measures a check for a suspension, which is made for each request and
// 20 times a second.
func BenchmarkSync(b *testing.B) {
	systemClock, err := clock.New(clock.Boottime)
	assert.NilError(b, err)
	for b.Loop() {
		systemClock.Sync()
	}
}

// BenchmarkTimeNow measures the clock of the runtime, for comparison.
func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
