package catalog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/catalog"
)

// TestPassTime reckons passes of the engines of the users' large fleet.
func TestPassTime(t *testing.T) {
	engine := &catalog.Engine{
		Stride: 68, Step: 1020 * time.Microsecond, PerRequest: 2260 * time.Nanosecond, PerThousand: 4310 * time.Nanosecond,
	}
	for name, test := range map[string]struct {
		requests, context int
		want              time.Duration
	}{
		"alone":                       {want: 69_360 * time.Microsecond},
		"ten short ones":              {requests: 10, context: 60_000, want: 88_481_600 * time.Nanosecond},
		"one that fills the memory":   {requests: 1, context: 232_000, want: 137_508_240 * time.Nanosecond},
		"many, and the memory filled": {requests: 10, context: 232_000, want: 138_891_360 * time.Nanosecond},
	} {
		t.Run(name, func(t *testing.T) {
			got := engine.PassTime(test.requests, test.context)
			assert.Assert(t, (got-test.want).Abs() < time.Microsecond, "%s", got)
		})
	}
}
