package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// distant opens connections after a time, or never for zero.
type distant struct {
	after time.Duration
}

func (distant *distant) Dial(ctx context.Context, _ string) (net.Conn, error) {
	opened := make(<-chan time.Time)
	if distant.after > 0 {
		opened = time.After(distant.after)
	}
	select {
	case <-opened:
		near, _ := net.Pipe()
		return near, nil
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}

// TestOpeningsWaitAsLongAsTheyTake opens connections one after the other to a server that changes how long it takes.
func TestOpeningsWaitAsLongAsTheyTake(t *testing.T) {
	const never = 0
	ms := func(counts ...int) []time.Duration {
		times := make([]time.Duration, 0, len(counts))
		for _, count := range counts {
			times = append(times, time.Duration(count)*time.Millisecond)
		}
		return times
	}
	for name, test := range map[string]struct {
		after []time.Duration
		// waits is how long each one is waited for.
		waits []time.Duration
	}{
		"near":                          {after: ms(3, 3), waits: ms(3, 3)},
		"near and then dark":            {after: ms(3, never), waits: ms(3, 150)},
		"dark":                          {after: ms(never, never, never, never), waits: ms(150, 300, 500, 500)},
		"dark and then near":            {after: ms(never, never, 3, never), waits: ms(150, 300, 3, 150)},
		"far":                           {after: ms(240, 240, 240), waits: ms(150, 240, 240)},
		"far and then dark":             {after: ms(100, never, never), waits: ms(100, 400, 500)},
		"farther than is waited for":    {after: ms(900, 900, 900), waits: ms(150, 300, 500)},
		"far and then dark for an hour": {after: ms(100, 3_600_000), waits: ms(100, 400)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				openings := newOpenings(DefaultSettings(), time.Now)
				for at, after := range test.after {
					started := time.Now()
					_, err := openings.dial(t.Context(), &distant{after: after}, "a")
					assert.Equal(t, time.Since(started), test.waits[at])
					assert.Equal(t, err == nil, after == test.waits[at])
				}
				time.Sleep(2 * DefaultSettings().OpenMemory)
				openings.sweep()
				assert.Equal(t, len(openings.byAddress), 0)
			})
		})
	}
}

// TestCallerThatLeavesIsNoMiss ends the opening of a connection from outside: nothing is learnt of the server.
func TestCallerThatLeavesIsNoMiss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		openings := newOpenings(DefaultSettings(), time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := openings.dial(ctx, &distant{}, "a")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, len(openings.byAddress), 0)
	})
}
