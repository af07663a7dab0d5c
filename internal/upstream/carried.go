package upstream

import (
	"hash/maphash"
	"slices"
)

// carried has the IDs of the requests that a connection has carried.
type carried struct {
	seed maphash.Seed
	// hashes are those of the IDs. IDs with the same hash count as the same, for which another connection is used.
	hashes []uint64
}

func newCarried() carried {
	return carried{seed: maphash.MakeSeed()}
}

func (carried *carried) add(id string) {
	carried.hashes = append(carried.hashes, maphash.String(carried.seed, id))
}

func (carried *carried) has(id string) bool {
	return slices.Contains(carried.hashes, maphash.String(carried.seed, id))
}

func (carried *carried) count() int {
	return len(carried.hashes)
}
