package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// TestMemoryThatNoVMTellsOf has a server with less memory left than is known of: what it has in use
// besides counts here and at other VMs, until it would have lapsed.
func TestMemoryThatNoVMTellsOf(t *testing.T) {
	world, other := newWorld(), newWorld()
	for _, pool := range []*pool.Pool{world.Pool, other.Pool} {
		pool.Replace(listedUpTo(2))
	}
	plan := placement.Plan{Server: placement.Server{ID: "s1"}, Shares: []int{50_000}}
	use := world.Start(plan, placement.Request{Memory: 50_000})
	world.NotFree(engines(), "s1", 50_000, 20_000)
	use.Over()
	other.Told("vm-1", world.published.reports)
	assert.Equal(t, world.server(t, "s1").MemoryFree, 20_000)
	assert.Equal(t, other.server(t, "s1").MemoryFree, 20_000)
	assert.Equal(t, world.server(t, "s2").MemoryFree, memoryTokens)
	world.Start(plan, placement.Request{Memory: 50_000})
	world.NotFree(engines(), "s1", 50_000, 40_000)
	assert.Equal(t, world.server(t, "s1").MemoryFree, -10_000, "what it asked for counts besides")
	for _, span := range []time.Duration{200, 400, 800, 1600, 3200, 3500, 3500} {
		world.pass(span*time.Millisecond - time.Millisecond)
		assert.Equal(t, world.server(t, "s1").MemoryFree, -10_000, "after %d ms", span)
		world.pass(time.Millisecond)
		assert.Equal(t, world.server(t, "s1").MemoryFree, memoryTokens-50_000, "it is tried again")
		world.NotFree(engines(), "s1", 50_000, 40_000)
	}
	world.pass(10 * time.Second)
	world.NotFree(engines(), "s1", 50_000, 40_000)
	world.pass(100 * time.Millisecond)
	assert.Equal(t, world.server(t, "s1").MemoryFree, memoryTokens-50_000, "that was another time")
	world.NotFree(engines(), "unknown", 1, 1)
}
