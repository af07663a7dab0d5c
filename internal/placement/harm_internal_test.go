package placement

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawHarmed draws servers with many alike among them.
func drawHarmed(t *rapid.T) []harmed {
	count := rapid.IntRange(1, 30).Draw(t, "servers")
	list := make([]harmed, 0, count)
	for i := range count {
		server := &Server{
			Slots:      10,
			Running:    rapid.IntRange(8, 10).Draw(t, "running"),
			Tight:      rapid.IntRange(0, 2).Draw(t, "tight"),
			Backlog:    time.Duration(rapid.IntRange(0, 3).Draw(t, "backlog")) * time.Millisecond,
			MemoryFree: 1000 * rapid.IntRange(0, 4).Draw(t, "memory"),
		}
		list = append(list, harmed{Server: server, index: i, harm: float64(rapid.IntRange(0, 2).Draw(t, "harm"))})
	}
	return list
}

// sorted returns the servers least harm first, all of them sorted.
func sorted(harms []harmed) []harmed {
	list := slices.Clone(harms)
	slices.SortStableFunc(list, func(a, b harmed) int {
		return cmp.Or(cmp.Compare(a.harm, b.harm), cmp.Compare(a.Backlog, b.Backlog))
	})
	return list
}

// writerInOrder returns the writer by walking along all servers in their order.
func writerInOrder(order []harmed, parts int, request Request) (harmed, bool) {
	last := order[parts-1]
	var best harmed
	for i, server := range order {
		if !server.writes(request) {
			continue
		}
		worse := server.worse(last)
		if worse && (best.Server != nil || i < parts) {
			continue
		}
		if best.Server == nil || cmp.Or(cmp.Compare(server.Tight, best.Tight), cmp.Compare(server.MemoryFree, best.MemoryFree)) < 0 {
			best = server
		}
		if worse {
			break
		}
	}
	return best, best.Server != nil
}

// TestReadersAndWriterAreThoseOfASort compares the choice with one that sorts all servers.
func TestReadersAndWriterAreThoseOfASort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harms := drawHarmed(t)
		parts := rapid.IntRange(1, len(harms)).Draw(t, "parts")
		request := Request{Memory: 1000 * rapid.IntRange(0, 4).Draw(t, "needed")}
		order := sorted(harms)
		readers := leastHarmed(harms, parts)
		for i := range readers {
			assert.Equal(t, readers[i].index, order[i].index)
		}
		writer, found := writerAmong(harms, readers, request)
		expected, expectedFound := writerInOrder(order, parts, request)
		assert.Equal(t, found, expectedFound)
		if found {
			assert.Equal(t, writer.index, expected.index)
			all := withWriter(readers, writer)
			assert.Equal(t, len(all), parts)
			assert.Equal(t, all[0].index, writer.index)
		}
	})
}
