package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/placement"
)

// TestPartLeavesTimeForContext has engines that write prompts of 150 k tokens, whose pass
// takes 44 ms longer for their context. Beside such streams parts of long prompts were
// chosen up to 30 ms below the pause in time, and 28 in 100 streams with pauses of 600 ms
// had one just above.
func TestPartLeavesTimeForContext(t *testing.T) {
	const gap = 600 * time.Millisecond
	const context = 150_000
	request := long(190_000)
	request.Engine.Stride = 68
	request.Engine.PerRequest = 2260 * time.Nanosecond
	request.Engine.PerThousand = 4310 * time.Nanosecond
	for parts := 1; parts <= 8; parts++ {
		servers := newServers(parts, func(_ int, server *placement.Server) {
			server.Running, server.LooseWeight, server.LooseGap, server.MinGap = 3, 16, gap, gap
			server.MemoryFree = memoryTokens - context
		})
		servers = append(servers, newServers(1, func(_ int, server *placement.Server) { server.ID = "writer" })...)
		plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
		if !ok {
			continue
		}
		pass := request.Engine.PassTime(3, context) + plan.Part
		beside := len(plan.Helpers) > 0
		assert.Assert(t, !beside || pass <= gap, "%d servers: a pass of %s", parts, pass)
	}
}
