package pool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// TestUnreportedMemory guards against requests to a server without free memory: the server reports
// less free memory than the known requests leave. The difference counts at this VM and at others
// until a reservation would have expired.
func TestUnreportedMemory(t *testing.T) {
	fixture, other := newFixture(), newFixture()
	for _, pool := range []*pool.Pool{fixture.Pool, other.Pool} {
		pool.Replace(listedServers(2))
	}
	plan := placement.Plan{Server: placement.Server{ID: "s1"}, MemoryShares: []int{50_000}}
	activeRequest := fixture.Start(plan, placement.Request{Memory: 50_000})
	fixture.RecordFreeMemory(engines(), "s1", 50_000, 20_000)
	activeRequest.Finish()
	other.HandleReports("vm-1", fixture.publisher.reports)
	assert.Equal(t, fixture.server(t, "s1").MemoryFree, 20_000)
	assert.Equal(t, other.server(t, "s1").MemoryFree, 20_000)
	assert.Equal(t, fixture.server(t, "s2").MemoryFree, memoryTokens)
	fixture.Start(plan, placement.Request{Memory: 50_000})
	fixture.RecordFreeMemory(engines(), "s1", 50_000, 40_000)
	assert.Equal(t, fixture.server(t, "s1").MemoryFree, -10_000, "the request's own memory counts too")
	for _, span := range []time.Duration{200, 400, 800, 1600, 3200, 3500, 3500} {
		fixture.advance(span*time.Millisecond - time.Millisecond)
		assert.Equal(t, fixture.server(t, "s1").MemoryFree, -10_000, "after %d ms", span)
		fixture.advance(time.Millisecond)
		assert.Equal(t, fixture.server(t, "s1").MemoryFree, memoryTokens-50_000, "the server is tried again")
		fixture.RecordFreeMemory(engines(), "s1", 50_000, 40_000)
	}
	fixture.advance(10 * time.Second)
	fixture.RecordFreeMemory(engines(), "s1", 50_000, 40_000)
	fixture.advance(100 * time.Millisecond)
	assert.Equal(t, fixture.server(t, "s1").MemoryFree, memoryTokens-50_000, "the period starts again at its minimum")
	fixture.RecordFreeMemory(engines(), "unknown", 1, 1)
}
