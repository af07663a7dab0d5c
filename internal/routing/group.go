package routing

import (
	"cmp"
	"fmt"
	"slices"
)

// groupFill is the part of an engine's memory that a group uses, in percent;
// the rest stays for others.
const groupFill = 90

const percent = 100

// groupFor returns enough of the servers to hold a request that no single one
// can, by ID: those first that have the memory free, and of them those first
// that are given to long prompts. All entries reserve in the order of IDs, so
// that groups that gather at once cannot wait for each other in a circle.
func groupFor(servers []Server, request Request) Decision {
	smallest := slices.MinFunc(servers, func(a, b Server) int { return cmp.Compare(a.Memory, b.Memory) })
	most := max(1, smallest.Memory*groupFill/percent)
	size := (request.Need() + most - 1) / most
	if size > len(servers) {
		return refuse(RefusalTooLong, fmt.Sprintf("%d tokens need %d engines of %d", request.Need(), size, len(servers)))
	}
	share := (request.Need() + size - 1) / size
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
		Reason:  fmt.Sprintf("group of %d for %d tokens", len(group), request.Need()),
		Long:    true,
	}
}

// fitsOne reports whether any server's memory can hold the request.
func fitsOne(servers []Server, request Request) bool {
	return slices.ContainsFunc(servers, func(server Server) bool {
		return server.Memory*groupFill/percent >= request.Need()
	})
}
