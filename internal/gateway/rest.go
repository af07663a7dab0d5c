package gateway

import (
	"cmp"
	"time"
)

// givenUp is why a request is given up that found no place, and until when there is none.
type givenUp struct {
	reason Reason
	until  time.Time
}

// restTooLong reports whether all servers want nothing from this VM until the request is late, so that it is given up
// at once. Its caller's next try goes to another VM, which they may not have asked.
func (run *run) restTooLong() bool {
	over, resting := run.gateway.pool.RestOver(run.service, run.keptTo)
	if !resting || !over.After(run.due(run.placementRequest().Tight())) {
		return false
	}
	run.givenUp = givenUp{reason: ReasonResting, until: over}
	return true
}

// hopeless reports whether no server will take the request in time, so that it is given up at once. Servers of data
// centres that the operator empties take nothing for longer than callers wait.
func (run *run) hopeless() bool {
	if run.gateway.pool.AllEvacuated(run.service.Name, run.keptTo) {
		run.givenUp = givenUp{reason: ReasonEvacuated}
		return true
	}
	return run.restTooLong()
}

// unplaced is why a request is given up that found no servers. Where nothing more is known it was held for long enough.
func (run *run) unplaced() Reason {
	return cmp.Or(run.givenUp.reason, ReasonBusy)
}
