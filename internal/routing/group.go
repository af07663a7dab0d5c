package routing

import (
	"cmp"
	"fmt"
	"slices"
)

// groupFill is the part of an engine's memory that a group uses, in percent;
// the rest stays for others.
const groupFill = 90

// groupFor returns enough of the servers to hold a request that no single one
// can, those with most free memory first, by ID. All entries reserve in the
// order of IDs, so that groups that gather at once cannot wait for each other
// in a circle.
func groupFor(servers []Server, request Request) Decision {
	candidates := slices.SortedFunc(slices.Values(servers), func(a, b Server) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.ID, b.ID))
	})
	held := 0
	for i, server := range candidates {
		held += server.Memory * groupFill / 100
		if held < request.Need() {
			continue
		}
		group := slices.SortedFunc(slices.Values(candidates[:i+1]), func(a, b Server) int {
			return cmp.Compare(a.ID, b.ID)
		})
		return Decision{
			Servers: group,
			Reason:  fmt.Sprintf("group of %d for %d tokens", len(group), request.Need()),
			Long:    true,
		}
	}
	return refuse(RefusalTooLong, fmt.Sprintf("%d tokens, all engines hold %d", request.Need(), held))
}

// fitsOne reports whether any server's memory can hold the request.
func fitsOne(servers []Server, request Request) bool {
	return slices.ContainsFunc(servers, func(server Server) bool {
		return server.Memory*groupFill/100 >= request.Need()
	})
}
