package gateway

import (
	"cmp"
	"time"
)

// rejection is why a request is rejected without a placement, and when capacity is expected again;
// until is zero if that is unknown.
type rejection struct {
	reason Reason
	until  time.Time
}

// backoffExceedsDeadline reports whether all servers requested backoff from this VM until after the
// request's deadline for its next event. The request is then rejected at once; the caller's retry
// goes to another VM, from which the servers may not have requested backoff.
func (forwarder *forwarder) backoffExceedsDeadline() bool {
	backoffEnd, allBackingOff := forwarder.gateway.pool.BackoffEnd(forwarder.service, forwarder.allowedDataCentres)
	if !allBackingOff || !backoffEnd.After(forwarder.nextEventDeadline(forwarder.placementRequest().Packable())) {
		return false
	}
	forwarder.rejection = rejection{reason: ReasonServersBackoff, until: backoffEnd}
	return true
}

// cannotBePlaced reports whether no server will accept the request in time, so that it is rejected
// at once. The servers of an evacuated data centre accept nothing for longer than callers wait.
func (forwarder *forwarder) cannotBePlaced() bool {
	if forwarder.gateway.pool.AllEvacuated(forwarder.service.Name, forwarder.allowedDataCentres) {
		forwarder.rejection = rejection{reason: ReasonServersEvacuated}
		return true
	}
	return forwarder.backoffExceedsDeadline()
}

// rejectionReason returns why a request without a placement is rejected. Unless a reason is known,
// it has been queued for as long as allowed.
func (forwarder *forwarder) rejectionReason() Reason {
	return cmp.Or(forwarder.rejection.reason, ReasonServersBusy)
}
