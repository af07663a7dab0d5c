// Package rendezvous ranks nodes for a key by highest random weight: all who
// know the same nodes agree, and a node that goes moves only its own keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the place of node among nodes for key, zero being first. A node
// that is not among them comes last.
func Rank(key, node string, nodes []string) int {
	own := weight(key, node)
	rank := 0
	found := false
	for _, other := range nodes {
		found = found || other == node
		if other != node && before(key, other, own, node) {
			rank++
		}
	}
	if !found {
		return len(nodes)
	}
	return rank
}

// Order returns nodes in the order of their rank for key.
func Order(key string, nodes []string) []string {
	return slices.SortedFunc(slices.Values(nodes), func(a, b string) int { return Compare(key, a, b) })
}

// Compare orders two nodes by their rank for key.
func Compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
}

func before(key, other string, own uint64, node string) bool {
	theirs := weight(key, other)
	return theirs > own || (theirs == own && other < node)
}

func weight(key, node string) uint64 {
	return xxhash.Sum64String(key + "\x00" + node)
}
