package routing

import (
	"cmp"
	"fmt"
	"slices"
)

// groupMemoryPercent is the maximum percentage of an engine's memory that one request
// may use; the remainder is for other requests.
const groupMemoryPercent = 90

const percent = 100

// chooseGroup returns enough servers to hold a request that does not fit a single one.
// It prefers servers with enough free memory, then those with the lowest LongRank. The
// group is sorted by ID: all entry processes reserve memory in the order of IDs, so
// that concurrent reservations cannot deadlock.
func chooseGroup(servers []Server, request Request) Decision {
	smallest := slices.MinFunc(servers, func(a, b Server) int { return cmp.Compare(a.Memory, b.Memory) })
	maxShare := max(1, smallest.Memory*groupMemoryPercent/percent)
	size := (request.RequiredMemory() + maxShare - 1) / maxShare
	if size > len(servers) {
		return refuse(RefusalTooLong, fmt.Sprintf("%d tokens need %d engines, %d are eligible", request.RequiredMemory(), size, len(servers)))
	}
	share := (request.RequiredMemory() + size - 1) / size
	candidates := slices.SortedFunc(slices.Values(servers), func(a, b Server) int {
		return cmp.Or(
			compareTrueFirst(a.Free >= share, b.Free >= share),
			cmp.Compare(a.LongRank, b.LongRank),
		)
	})
	group := slices.SortedFunc(slices.Values(candidates[:size]), func(a, b Server) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return Decision{
		Servers: group,
		Reason:  fmt.Sprintf("group of %d for %d tokens", len(group), request.RequiredMemory()),
		Long:    true,
	}
}

// fitsSingleServer reports whether the memory of at least one server, used up to
// groupMemoryPercent, can hold the request.
func fitsSingleServer(servers []Server, request Request) bool {
	return slices.ContainsFunc(servers, func(server Server) bool {
		return server.Memory*groupMemoryPercent/percent >= request.RequiredMemory()
	})
}
