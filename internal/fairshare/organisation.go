// Package fairshare divides the servers of a service among organisations, so that one that sends
// far more than usual does not take the servers away from those that send no more than before.
//
// It answers one load: requests of several organisations that together need more servers than there
// are. It has no clock, lock or goroutine: what is in use and what is queued is passed in, and all
// amounts are in servers, so that a slot of twelve counts as a twelfth.
package fairshare

import "github.com/cespare/xxhash/v2"

// Organisation identifies an organisation by the hash of its name, so that reports between VMs stay
// short. Two names with the same hash would share one share.
type Organisation uint64

// Anonymous stands for all callers without an organisation.
const Anonymous Organisation = 0

// Of returns the organisation with the given name. Callers without an organisation have no name.
func Of(name string) Organisation {
	if name == "" {
		return Anonymous
	}
	return Organisation(xxhash.Sum64String(name))
}
