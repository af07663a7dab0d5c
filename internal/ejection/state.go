// Package ejection excludes failing servers for a period that doubles with each further failure.
package ejection

import "time"

// Limits define when a server is ejected, and for how long.
type Limits struct {
	// After is the number of consecutive failures that eject a server.
	After int
	// Time is the duration of the first ejection. Each further failure doubles it, up to TimeMax.
	Time    time.Duration
	TimeMax time.Duration
}

// State is the ejection state of one server. The zero value is a healthy server.
type State struct {
	// failures counts the failures since the last success.
	failures int
	until    time.Time
}

// RecordSuccess records a success, which ends an ejection and resets the count of failures.
func (state *State) RecordSuccess() {
	*state = State{}
}

// RecordFailure records a failure, and reports whether the server is ejected.
func (state *State) RecordFailure(now time.Time, limits Limits) bool {
	state.failures++
	excess := state.failures - limits.After
	if excess < 0 {
		return false
	}
	duration := limits.Time
	for range excess {
		duration = min(2*duration, limits.TimeMax)
	}
	state.until = now.Add(duration)
	return true
}

// Ejected reports whether the server is ejected now.
func (state *State) Ejected(now time.Time) bool {
	return now.Before(state.until)
}

// StartProbe records that a request is sent to a server whose ejection has ended, as a probe: the
// server counts as ejected for Limits.Time again, or until the probe succeeds, so that no other
// request goes there meanwhile.
func (state *State) StartProbe(now time.Time, limits Limits) {
	if state.failures >= limits.After && !now.Before(state.until) {
		state.until = now.Add(limits.Time)
	}
}
