package placement

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawCandidates draws servers, with many equal ones among them.
func drawCandidates(t *rapid.T) []candidate {
	count := rapid.IntRange(1, 30).Draw(t, "servers")
	list := make([]candidate, 0, count)
	for i := range count {
		server := &Server{
			Slots:      10,
			Running:    rapid.IntRange(8, 10).Draw(t, "running"),
			Packable:   rapid.IntRange(0, 2).Draw(t, "tight"),
			Backlog:    time.Duration(rapid.IntRange(0, 3).Draw(t, "backlog")) * time.Millisecond,
			MemoryFree: 1000 * rapid.IntRange(0, 4).Draw(t, "memory"),
		}
		list = append(list, candidate{Server: server, index: i, cost: float64(rapid.IntRange(0, 2).Draw(t, "harm"))})
	}
	return list
}

// sorted returns all servers by ascending cost.
func sorted(costs []candidate) []candidate {
	list := slices.Clone(costs)
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.Backlog, b.Backlog))
	})
	return list
}

// decodeServerInOrder returns the decode server by a linear search over all servers in ascending
// order of cost.
func decodeServerInOrder(order []candidate, parts int, request Request) (candidate, bool) {
	last := order[parts-1]
	var best candidate
	for i, server := range order {
		if !server.canDecode(request) {
			continue
		}
		worse := server.worse(last)
		if worse && (best.Server != nil || i < parts) {
			continue
		}
		if best.Server == nil || cmp.Or(cmp.Compare(server.Packable, best.Packable), cmp.Compare(server.MemoryFree, best.MemoryFree)) < 0 {
			best = server
		}
		if worse {
			break
		}
	}
	return best, best.Server != nil
}

// TestSelectionMatchesFullSort compares the selection of prefill servers and decode server with one
// that sorts all servers.
func TestSelectionMatchesFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := drawCandidates(t)
		parts := rapid.IntRange(1, len(costs)).Draw(t, "parts")
		request := Request{Memory: 1000 * rapid.IntRange(0, 4).Draw(t, "needed")}
		order := sorted(costs)
		prefillServers := lowestCost(costs, parts)
		for i := range prefillServers {
			assert.Equal(t, prefillServers[i].index, order[i].index)
		}
		decodeServer, found := chooseDecodeServer(costs, prefillServers, request)
		expected, expectedFound := decodeServerInOrder(order, parts, request)
		assert.Equal(t, found, expectedFound)
		if found {
			assert.Equal(t, decodeServer.index, expected.index)
			all := withDecodeServer(prefillServers, decodeServer)
			assert.Equal(t, len(all), parts)
			assert.Equal(t, all[0].index, decodeServer.index)
		}
	})
}
