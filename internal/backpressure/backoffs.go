package backpressure

import (
	"maps"
	"time"
)

// Backoffs has the ends of the servers' backoffs by VM and server ID. A backoff belongs to one
// start of a server, since the ID does, and to the one VM of which the server requested it.
type Backoffs map[string]map[string]time.Time

// Add records a backoff, and reports whether it ends later than the known one.
func (backoffs Backoffs) Add(vm, server string, until time.Time) bool {
	if !until.After(backoffs[vm][server]) {
		return false
	}
	if backoffs[vm] == nil {
		backoffs[vm] = make(map[string]time.Time)
	}
	backoffs[vm][server] = until
	return true
}

// Servers returns the IDs of the servers in backoff for a VM, and removes expired backoffs.
func (backoffs Backoffs) Servers(vm string, now time.Time) []string {
	var inBackoff []string
	for server, until := range backoffs[vm] {
		if now.Before(until) {
			inBackoff = append(inBackoff, server)
			continue
		}
		delete(backoffs[vm], server)
	}
	if len(backoffs[vm]) == 0 {
		delete(backoffs, vm)
	}
	return inBackoff
}

// Retain removes the backoffs of all servers for which exists returns false.
func (backoffs Backoffs) Retain(exists func(server string) bool) {
	for _, servers := range backoffs {
		maps.DeleteFunc(servers, func(id string, _ time.Time) bool { return !exists(id) })
	}
}

// End returns the end of a server's backoff for a VM, or zero, and reports whether it is still to
// come.
func (backoffs Backoffs) End(vm, server string, now time.Time) (time.Time, bool) {
	until := backoffs[vm][server]
	return until, now.Before(until)
}
