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

// distant is a network.Dialer that opens each connection after a delay. With a zero delay it never does.
type distant struct {
	delay time.Duration
}

func (distant *distant) Dial(ctx context.Context, _ string) (net.Conn, error) {
	opened := make(<-chan time.Time)
	if distant.delay > 0 {
		opened = time.After(distant.delay)
	}
	select {
	case <-opened:
		conn, _ := net.Pipe()
		return conn, nil
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}

// TestDialTimeoutFollowsEarlierConnections opens connections one after the other to a server whose delay changes. The
// timeout of each must follow from the earlier ones.
func TestDialTimeoutFollowsEarlierConnections(t *testing.T) {
	const never = 0
	ms := func(counts ...int) []time.Duration {
		times := make([]time.Duration, 0, len(counts))
		for _, count := range counts {
			times = append(times, time.Duration(count)*time.Millisecond)
		}
		return times
	}
	for name, test := range map[string]struct {
		// delay has the delay of each connection, zero if it never opens.
		delay []time.Duration
		// waits has the expected time until each attempt ends.
		waits []time.Duration
	}{
		"near":                            {delay: ms(3, 3), waits: ms(3, 3)},
		"near, then unreachable":          {delay: ms(3, never), waits: ms(3, 150)},
		"unreachable":                     {delay: ms(never, never, never, never), waits: ms(150, 300, 500, 500)},
		"unreachable, then near":          {delay: ms(never, never, 3, never), waits: ms(150, 300, 3, 150)},
		"far":                             {delay: ms(240, 240, 240), waits: ms(150, 240, 240)},
		"far, then unreachable":           {delay: ms(100, never, never), waits: ms(100, 400, 500)},
		"delay above the maximum timeout": {delay: ms(900, 900, 900), waits: ms(150, 300, 500)},
		"far, then an hour of delay":      {delay: ms(100, 3_600_000), waits: ms(100, 400)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := newHistory(DefaultSettings(), time.Now)
				for index, delay := range test.delay {
					startedAt := time.Now()
					_, err := history.dial(t.Context(), &distant{delay: delay}, "a")
					assert.Equal(t, time.Since(startedAt), test.waits[index])
					assert.Equal(t, err == nil, delay == test.waits[index])
				}
				time.Sleep(2 * DefaultSettings().HistoryRetention)
				history.sweep()
				assert.Equal(t, len(history.byAddress), 0)
			})
		})
	}
}

// TestCancelledDialIsNotRecorded ends an attempt through the context of its caller: this says nothing about the server,
// so it must not count as a timeout.
func TestCancelledDialIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		history := newHistory(DefaultSettings(), time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := history.dial(ctx, &distant{}, "a")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, len(history.byAddress), 0)
	})
}
