package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/gateway"
)

// TestSettleTimeGrowsWithVMs holds what the smallest VMs need: where there were 76
// of them, 4 ms were over before a VM had told all others what it took.
func TestSettleTimeGrowsWithVMs(t *testing.T) {
	settings := gateway.DefaultSettings().Request
	tests := map[string]struct {
		members  int
		min, max time.Duration
	}{
		"six VMs":    {members: 6, min: 4 * time.Millisecond, max: 5 * time.Millisecond},
		"ninety VMs": {members: 90, min: 10 * time.Millisecond, max: 20 * time.Millisecond},
		"320 VMs":    {members: 320, min: 30 * time.Millisecond, max: 50 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settle := settings.SettleTime(test.members)
			assert.Assert(t, settle >= test.min && settle <= test.max, "%s", settle)
		})
	}
}
