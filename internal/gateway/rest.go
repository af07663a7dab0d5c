package gateway

// restTooLong reports whether all servers want nothing from this VM until the request is late, so that it is given up
// at once. Its caller's next try goes to another VM, which they may not have asked.
func (run *run) restTooLong() bool {
	over, resting := run.gateway.pool.RestOver(run.service)
	if !resting || !over.After(run.due(run.placementRequest().Tight())) {
		return false
	}
	run.rested = over
	return true
}

// unplaced is why a request is given up that found no servers.
func (run *run) unplaced() Reason {
	if run.rested.IsZero() {
		return ReasonBusy // held for long enough
	}
	return ReasonResting
}
