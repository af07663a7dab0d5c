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

// machine is a machine that can be suspended.
type machine struct {
	started time.Time
	asleep  atomic.Int64
}

func (machine *machine) up() (time.Duration, error) {
	return time.Since(machine.started) + time.Duration(machine.asleep.Load()), nil
}

func (machine *machine) suspend(duration time.Duration) {
	machine.asleep.Add(int64(duration))
}

func newClock(t *testing.T) (*clock.Clock, *machine) {
	t.Helper()
	machine := &machine{started: time.Now()}
	made, err := clock.New(machine.up)
	assert.NilError(t, err)
	return made, machine
}

func TestSuspensionCounts(t *testing.T) {
	for name, test := range map[string]struct {
		asleep, want time.Duration
	}{
		"none":          {},
		"slow thread":   {asleep: time.Millisecond},
		"a second":      {asleep: time.Second, want: time.Second},
		"five seconds":  {asleep: 5 * time.Second, want: 5 * time.Second},
		"a long minute": {asleep: time.Minute, want: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, machine := newClock(t)
				before := clock.Now()
				time.Sleep(time.Second)
				machine.suspend(test.asleep)
				assert.Equal(t, clock.Sync(), test.want)
				assert.Equal(t, clock.Sync(), time.Duration(0), "once")
				assert.Equal(t, clock.Now().Sub(before), time.Second+test.want)
				assert.Equal(t, clock.ForTimers(clock.Now()), time.Now())
			})
		})
	}
}

// TestDeadlineAfterSuspension has a deadline in ten seconds: the time asleep counts, and what is left goes on.
func TestDeadlineAfterSuspension(t *testing.T) {
	for name, test := range map[string]struct {
		asleep, want time.Duration
	}{
		"none":          {want: 10 * time.Second},
		"a second":      {asleep: time.Second, want: 9 * time.Second},
		"five seconds":  {asleep: 5 * time.Second, want: 5 * time.Second},
		"a long minute": {asleep: time.Minute, want: 1050 * time.Millisecond},
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
				machine.suspend(test.asleep)
				<-bounded.Done()
				assert.ErrorIs(t, context.Cause(bounded), context.DeadlineExceeded)
				took := time.Since(started)
				assert.Assert(t, (took-test.want).Abs() <= 50*time.Millisecond, "%s", took)
				stop()
				synctest.Wait()
			})
		})
	}
}

func TestNoClock(t *testing.T) {
	_, err := clock.New(func() (time.Duration, error) { return 0, errNoClock })
	assert.ErrorIs(t, err, errNoClock)
}

func TestBoottimeGoesOn(t *testing.T) {
	first, err := clock.Boottime()
	assert.NilError(t, err)
	second, err := clock.Boottime()
	assert.NilError(t, err)
	assert.Assert(t, second >= first && first > 0)
}

// BenchmarkNow is what each reading of the time costs: 82 ns, 72 for time.Now alone as before.
func BenchmarkNow(b *testing.B) {
	made, err := clock.New(clock.Boottime)
	assert.NilError(b, err)
	for b.Loop() {
		made.Now()
	}
}

// BenchmarkSync is what a look costs, one for each request and 20 a second: 306 ns,
// where there was none.
func BenchmarkSync(b *testing.B) {
	made, err := clock.New(clock.Boottime)
	assert.NilError(b, err)
	for b.Loop() {
		made.Sync()
	}
}

// BenchmarkTimeNow is the runtime's own clock, for comparison.
func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
