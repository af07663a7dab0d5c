package backpressure_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/backpressure"
)

// TestBackoffsAgainstOracle compares the servers in backoff for several VMs with a plain list of
// all drawn backoffs.
func TestBackoffsAgainstOracle(t *testing.T) {
	type backoff struct {
		vm, server string
		until      time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		backoffs := make(backpressure.Backoffs)
		now := start()
		var all []backoff
		removed := make(map[string]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			drawn := backoff{
				vm:     fmt.Sprintf("vm-%d", rapid.IntRange(1, 3).Draw(t, "vm")),
				server: fmt.Sprintf("s%d", rapid.IntRange(1, 4).Draw(t, "server")),
				until:  now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "long")) * time.Millisecond),
			}
			if !removed[drawn.server] {
				backoffs.Add(drawn.vm, drawn.server, drawn.until)
				all = append(all, drawn)
			}
			if rapid.IntRange(0, 15).Draw(t, "goes") == 0 {
				removed[drawn.server] = true
				backoffs.Retain(func(server string) bool { return !removed[server] })
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passes")) * time.Millisecond)
			var want []string
			for _, backoff := range all {
				active := backoff.vm == drawn.vm && backoff.until.After(now) && !removed[backoff.server]
				if active && !slices.Contains(want, backoff.server) {
					want = append(want, backoff.server)
				}
			}
			got := backoffs.Servers(drawn.vm, now)
			slices.Sort(got)
			slices.Sort(want)
			assert.DeepEqual(t, got, want)
			_, inBackoff := backoffs.End(drawn.vm, drawn.server, now)
			assert.Equal(t, inBackoff, slices.Contains(want, drawn.server))
		}
	})
}
