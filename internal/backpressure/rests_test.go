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

// TestRestsAgainstOracle draws rests of several VMs, and compares who rests with the plain list of all that was asked for.
func TestRestsAgainstOracle(t *testing.T) {
	type asked struct {
		vm, server string
		until      time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		rests := make(backpressure.Rests)
		now := start()
		var all []asked
		gone := make(map[string]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			rest := asked{
				vm:     fmt.Sprintf("vm-%d", rapid.IntRange(1, 3).Draw(t, "vm")),
				server: fmt.Sprintf("s%d", rapid.IntRange(1, 4).Draw(t, "server")),
				until:  now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "long")) * time.Millisecond),
			}
			if !gone[rest.server] {
				rests.Add(rest.vm, rest.server, rest.until)
				all = append(all, rest)
			}
			if rapid.IntRange(0, 15).Draw(t, "goes") == 0 {
				gone[rest.server] = true
				rests.Forget(func(server string) bool { return !gone[server] })
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passes")) * time.Millisecond)
			var want []string
			for _, asked := range all {
				holds := asked.vm == rest.vm && asked.until.After(now) && !gone[asked.server]
				if holds && !slices.Contains(want, asked.server) {
					want = append(want, asked.server)
				}
			}
			got := rests.Servers(rest.vm, now)
			slices.Sort(got)
			slices.Sort(want)
			assert.DeepEqual(t, got, want)
			_, resting := rests.Over(rest.vm, rest.server, now)
			assert.Equal(t, resting, slices.Contains(want, rest.server))
		}
	})
}
