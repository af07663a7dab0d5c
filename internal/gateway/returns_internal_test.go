package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturns has callers of a route of ten seconds, the last of whom is looked at.
func TestReturns(t *testing.T) {
	const whole = 10 * time.Second
	repeat := func(count int, left ...time.Duration) []time.Duration {
		var all []time.Duration
		for range count {
			all = append(all, left...)
		}
		return all
	}
	for name, test := range map[string]struct {
		left []time.Duration
		// want is how long ago the last one tried first.
		want time.Duration
	}{
		"the first caller":                     {left: []time.Duration{whole}},
		"one that came back":                   {left: []time.Duration{whole, 9300 * time.Millisecond}, want: 700 * time.Millisecond},
		"the first one came back":              {left: []time.Duration{9300 * time.Millisecond}, want: 700 * time.Millisecond},
		"half of them came back":               {left: repeat(20, whole, 9*time.Second), want: time.Second},
		"callers have less than their route":   {left: repeat(20, 5*time.Second)},
		"one of these came back":               {left: append(repeat(20, 5*time.Second), 4*time.Second), want: time.Second},
		"callers have all kinds of times":      {left: repeat(10, whole, 5*time.Second, 3*time.Second)},
		"callers have more than their route":   {left: append(repeat(3, 12*time.Second), 11*time.Second), want: time.Second},
		"a few milliseconds make no return":    {left: append(repeat(20, whole), whole-5*time.Millisecond)},
		"nothing is known of a time that ends": {left: []time.Duration{whole, whole, 0}, want: whole},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			returns := newReturns(func() time.Time { return now })
			var got time.Duration
			for _, left := range test.left {
				got = now.Sub(returns.since("chat", whole, left))
				now = now.Add(time.Second)
			}
			assert.Assert(t, (got-test.want).Abs() < returnsSame, "%s", got)
		})
	}
}
