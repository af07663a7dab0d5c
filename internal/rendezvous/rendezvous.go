// Package rendezvous ranks nodes for a key by rendezvous hashing (highest random weight). All processes that use the same
// list of nodes compute the same ranking, and the removal of a node changes the first node only for the keys that it
// was first for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the position of node in the ranking of nodes for key, zero for the first. It returns len(nodes) if node is
// not among them.
func Rank(key, node string, nodes []string) int {
	nodeWeight := weight(key, node)
	rank := 0
	found := false
	for _, other := range nodes {
		found = found || other == node
		if other != node && precedes(key, other, nodeWeight, node) {
			rank++
		}
	}
	if !found {
		return len(nodes)
	}
	return rank
}

// Order returns a copy of nodes, sorted by their rank for key.
func Order(key string, nodes []string) []string {
	return slices.SortedFunc(slices.Values(nodes), func(a, b string) int { return Compare(key, a, b) })
}

// Compare returns a negative number if a ranks before b for key, a positive one if it ranks after b, and zero if they are
// equal. Nodes of equal weight are ordered by name.
func Compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
}

// precedes reports whether other ranks before node, whose weight is nodeWeight.
func precedes(key, other string, nodeWeight uint64, node string) bool {
	otherWeight := weight(key, other)
	return otherWeight > nodeWeight || (otherWeight == nodeWeight && other < node)
}

// weight returns the hash of key and node. All VMs of a fleet must compute the same value.
func weight(key, node string) uint64 {
	return xxhash.Sum64String(key + "\x00" + node)
}
