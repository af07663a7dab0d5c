package reachability

import "time"

// probes are the short requests that tell links that are cut from servers that take long: each has a connection of its own, and
// a sound server responds to it at once. They are sent only while the links are in doubt, since they cost.
type probes struct {
	// inFlight is the number of probes that have not ended.
	inFlight int
	// startedAt is when the last one was started.
	startedAt time.Time
	// silentInterval is the time until the next probe while the links are silent. It doubles with each one that a server
	// answered: then the servers take long, and nothing else is known by asking again.
	silentInterval time.Duration
}

// TakeProbe reports whether a probe is due, and records its start. ProbeEnded must follow.
func (links *Links) TakeProbe(now time.Time) bool {
	verdict := links.Verdict(now)
	if verdict == Reachable || links.probes.inFlight >= links.settings.MinUnreached {
		return false
	}
	if now.Sub(links.probes.startedAt) < links.probeInterval(verdict) {
		return false
	}
	links.probes.startedAt = now
	links.probes.inFlight++
	return true
}

// probeInterval returns the time from the start of one probe to the next while links are in doubt. A second server is probed
// beside the first one when that doesn't answer soon, since one server alone may be at fault.
func (links *Links) probeInterval(verdict Verdict) time.Duration {
	switch {
	case links.probes.inFlight > 0:
		return links.settings.ProbeStagger
	case verdict == Unreachable, links.unreached() > 0:
		return links.settings.ProbeInterval
	default:
		return links.probes.silentInterval
	}
}

// ProbeEnded records the end of a probe, and whether a byte of the server arrived. Opened, Failed and Unanswered are recorded
// besides.
func (links *Links) ProbeEnded(answered bool, now time.Time) {
	links.probes.inFlight--
	if !answered {
		return
	}
	interval := links.probes.silentInterval
	links.Heard(now)
	clear(links.unopened)
	links.probes.silentInterval = min(2*interval, links.settings.ProbeIntervalMax)
}
