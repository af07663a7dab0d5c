package upstream

import (
	"maps"
	"sync"
	"time"
)

// endsRetention is how long it counts whether responses stated their end. It is longer than VMs of two versions run side by side
// in an update of a data centre.
const endsRetention = 10 * time.Minute

// Kind groups requests whose responses are likely to state their ends alike.
type Kind struct {
	Service string
	Route   string
}

// ends knows which kinds of requests had responses that did not state their own end, by a length or by chunks. It is safe for concurrent
// use.
type ends struct {
	now func() time.Time

	mu sync.Mutex
	// stated and unstated have when a kind last had a response that stated its end, and one that did not.
	stated   map[Kind]time.Time
	unstated map[Kind]time.Time
	// services has when a service last had one that did not.
	services map[string]time.Time
}

func newEnds(now func() time.Time) *ends {
	return &ends{
		now: now, stated: make(map[Kind]time.Time), unstated: make(map[Kind]time.Time), services: make(map[string]time.Time),
	}
}

// record records whether a response stated its end.
func (ends *ends) record(kind Kind, stated bool) {
	ends.mu.Lock()
	defer ends.mu.Unlock()
	now := ends.now()
	if stated {
		ends.stated[kind] = now
		return
	}
	ends.unstated[kind] = now
	ends.services[kind.Service] = now
}

// mayBeUnstated reports whether a response to a request of a kind has to be expected not to state its end: one of the same kind did
// not, or one of the same service where none of the kind is known.
func (ends *ends) mayBeUnstated(kind Kind) bool {
	ends.mu.Lock()
	defer ends.mu.Unlock()
	switch {
	case ends.isRetained(ends.unstated[kind]):
		return true
	case ends.isRetained(ends.stated[kind]):
		return false
	default:
		return ends.isRetained(ends.services[kind.Service])
	}
}

func (ends *ends) isRetained(last time.Time) bool {
	return !last.IsZero() && ends.now().Sub(last) < endsRetention
}

// sweep forgets what is older than endsRetention.
func (ends *ends) sweep() {
	ends.mu.Lock()
	defer ends.mu.Unlock()
	maps.DeleteFunc(ends.stated, func(_ Kind, last time.Time) bool { return !ends.isRetained(last) })
	maps.DeleteFunc(ends.unstated, func(_ Kind, last time.Time) bool { return !ends.isRetained(last) })
	maps.DeleteFunc(ends.services, func(_ string, last time.Time) bool { return !ends.isRetained(last) })
}
