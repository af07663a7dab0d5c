package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDown guards against requests that count as lost although they crossed the end of the process that they were sent to, and against
// ones that don't although it served.
func TestDown(t *testing.T) {
	const end = 10 * time.Second
	for name, test := range map[string]struct {
		from, to time.Duration
		want     bool
	}{
		"long before":              {from: end - time.Second, to: end - 500*time.Millisecond},
		"ended before it closes":   {from: end - time.Second, to: end - closingTime - time.Millisecond},
		"while it closes":          {from: end - time.Second, to: end - closingTime/2, want: true},
		"after its end":            {from: end + time.Millisecond, to: end + 2*time.Millisecond, want: true},
		"while it starts":          {from: end + restartPause + servingTime/2, to: end + time.Second, want: true},
		"after it has started":     {from: end + restartPause + servingTime, to: end + time.Second},
		"across its end and start": {from: end - time.Second, to: end + time.Minute, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			process := &process{startTimes: []time.Time{at(0), at(end + restartPause)}, endTimes: []time.Time{at(end)}}
			assert.Equal(t, process.down(at(test.from), at(test.to)), test.want)
		})
	}
}
