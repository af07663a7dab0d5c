package gateway

import (
	"cmp"
	"time"
)

// givenUp is why a request is rejected without a placement, and when capacity is expected again;
// until is zero if that is unknown.
type givenUp struct {
	reason Reason
	until  time.Time
}

// restTooLong reports whether all servers requested backoff from this VM until after the
// request's deadline for its next event. The request is then rejected at once; the caller's retry
// goes to another VM, from which the servers may not have requested backoff.
func (forwarder *run) restTooLong() bool {
	backoffEnd, allBackingOff := forwarder.gateway.pool.BackoffEnd(forwarder.service, forwarder.keptTo)
	if !allBackingOff || !backoffEnd.After(forwarder.due(forwarder.placementRequest().Packable())) {
		return false
	}
	forwarder.givenUp = givenUp{reason: ReasonResting, until: backoffEnd}
	return true
}

// hopeless reports whether no server will accept the request in time, so that it is rejected
// at once. The servers of an evacuated data centre accept nothing for longer than callers wait.
func (forwarder *run) hopeless() bool {
	if forwarder.gateway.pool.AllEvacuated(forwarder.service.Name, forwarder.keptTo) {
		forwarder.givenUp = givenUp{reason: ReasonEvacuated}
		return true
	}
	return forwarder.restTooLong()
}

// unplaced returns why a request without a placement is rejected. Unless a reason is known,
// it has been queued for as long as allowed.
func (forwarder *run) unplaced() Reason {
	return cmp.Or(forwarder.givenUp.reason, ReasonBusy)
}
