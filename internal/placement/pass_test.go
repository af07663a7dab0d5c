package placement_test

import (
	"slices"
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

// TestSameSeedKeepsToAServer has servers that are alike, of which one after the other is full: a VM
// that always gives the same seed goes to the same one while it has room, so that kept
// connections are used again; VMs with other seeds go elsewhere.
func TestSameSeedKeepsToAServer(t *testing.T) {
	policy := placement.New(placement.DefaultSettings())
	chosen := func(servers []placement.Server, seed uint64) string {
		request := short()
		request.Seed = seed
		plan, ok := policy.Place(servers, request)
		assert.Assert(t, ok)
		return plan.Server.ID
	}
	servers := newServers(12, func(_ int, server *placement.Server) { server.Running, server.Tight = 11, 11 })
	counts := make(map[string]int)
	for seed := range uint64(200) {
		first := chosen(servers, seed)
		counts[first]++
		for left := range servers {
			if servers[left].ID == first {
				continue
			}
			others := slices.Clone(servers)
			others[left].Running = others[left].Slots
			assert.Equal(t, chosen(others, seed), first, "while %s is full", servers[left].ID)
		}
	}
	for server, count := range counts {
		assert.Assert(t, count < 50, "%d of 200 at %s", count, server)
	}
	assert.Assert(t, len(counts) >= 10, "%v", counts)
}
