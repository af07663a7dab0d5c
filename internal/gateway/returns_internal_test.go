package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFirstAttemptOfCaller checks the time of the first attempt that is estimated for the last caller of a route with a
// timeout of 10 s.
func TestFirstAttemptOfCaller(t *testing.T) {
	const routeTimeout = 10 * time.Second
	repeat := func(count int, timeLeft ...time.Duration) []time.Duration {
		var all []time.Duration
		for range count {
			all = append(all, timeLeft...)
		}
		return all
	}
	for name, test := range map[string]struct {
		timeLeft []time.Duration
		// want is the time since the first attempt of the last caller.
		want time.Duration
	}{
		"first caller":                             {timeLeft: []time.Duration{routeTimeout}},
		"caller that retries":                      {timeLeft: []time.Duration{routeTimeout, 9300 * time.Millisecond}, want: 700 * time.Millisecond},
		"first caller retries":                     {timeLeft: []time.Duration{9300 * time.Millisecond}, want: 700 * time.Millisecond},
		"half of the callers retry":                {timeLeft: repeat(20, routeTimeout, 9*time.Second), want: time.Second},
		"callers start with less than the timeout": {timeLeft: repeat(20, 5*time.Second)},
		"callers start with less, one retries":     {timeLeft: append(repeat(20, 5*time.Second), 4*time.Second), want: time.Second},
		"callers start with various times":         {timeLeft: repeat(10, routeTimeout, 5*time.Second, 3*time.Second)},
		"callers start with more, one retries":     {timeLeft: append(repeat(3, 12*time.Second), 11*time.Second), want: time.Second},
		"a difference of 5 ms is no retry":         {timeLeft: append(repeat(20, routeTimeout), routeTimeout-5*time.Millisecond)},
		"no time left":                             {timeLeft: []time.Duration{routeTimeout, routeTimeout, 0}, want: routeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			returns := newRetryDetector(func() time.Time { return now })
			var got time.Duration
			for _, timeLeft := range test.timeLeft {
				got = now.Sub(returns.firstTriedAt("chat", routeTimeout, timeLeft))
				now = now.Add(time.Second)
			}
			assert.Assert(t, (got-test.want).Abs() < timeLeftTolerance, "%s", got)
		})
	}
}
