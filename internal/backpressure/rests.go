package backpressure

import (
	"maps"
	"time"
)

// Rests has until when servers want nothing from a VM, by the VM and the server's ID. A rest is of one start of a
// server, since its ID is, and of one VM: the others were not asked.
type Rests map[string]map[string]time.Time

// Add notes a rest, and reports whether it ends later than was known.
func (rests Rests) Add(vm, server string, until time.Time) bool {
	if !until.After(rests[vm][server]) {
		return false
	}
	if rests[vm] == nil {
		rests[vm] = make(map[string]time.Time)
	}
	rests[vm][server] = until
	return true
}

// Servers returns the servers that want nothing from a VM now, and forgets those that have rested.
func (rests Rests) Servers(vm string, now time.Time) []string {
	var resting []string
	for server, until := range rests[vm] {
		if now.Before(until) {
			resting = append(resting, server)
			continue
		}
		delete(rests[vm], server)
	}
	if len(rests[vm]) == 0 {
		delete(rests, vm)
	}
	return resting
}

// Forget drops rests of servers that are not there any more.
func (rests Rests) Forget(there func(server string) bool) {
	for _, servers := range rests {
		maps.DeleteFunc(servers, func(id string, _ time.Time) bool { return !there(id) })
	}
}

// Over returns when a server has rested from a VM, and reports whether it still has to.
func (rests Rests) Over(vm, server string, now time.Time) (time.Time, bool) {
	until := rests[vm][server]
	return until, now.Before(until)
}
