// Package ejection keeps servers that fail out of use for a time that grows with
// each further failure.
package ejection

import "time"

// Limits say when a server is ejected, and for how long.
type Limits struct {
	// After is how many failures in a row eject a server.
	After int
	// Time is how long the first ejection lasts; each further failure doubles it
	// up to TimeMax.
	Time    time.Duration
	TimeMax time.Duration
}

// State is what is known of one server. The zero value is a sound server.
type State struct {
	// failures counts those since the last good answer.
	failures int
	until    time.Time
}

// Succeeded notes a good answer.
func (state *State) Succeeded() {
	*state = State{}
}

// Failed notes a failure, and reports whether the server is ejected.
func (state *State) Failed(now time.Time, limits Limits) bool {
	state.failures++
	over := state.failures - limits.After
	if over < 0 {
		return false
	}
	duration := limits.Time
	for range over {
		duration = min(2*duration, limits.TimeMax)
	}
	state.until = now.Add(duration)
	return true
}

// Ejected reports whether the server is kept out of use now.
func (state *State) Ejected(now time.Time) bool {
	return now.Before(state.until)
}

// Try notes that a request goes to a server whose ejection is over, as a trial:
// no other request is to go there until it has come out.
func (state *State) Try(now time.Time, limits Limits) {
	if state.failures >= limits.After && !now.Before(state.until) {
		state.until = now.Add(limits.Time)
	}
}
