package gateway

import "time"

// account has the timing of a request. It is logged when the request ends, so that its log line
// shows the cause of a late response.
type account struct {
	// waited is the total time that the request was queued for placement.
	waited time.Duration
	// placed is when the request was last placed, and predicted is when its first
	// event was then expected; both are measured from its arrival.
	placed    time.Duration
	predicted time.Duration
	// first is when the caller received the first event, measured from the request's
	// arrival; zero means that it received none.
	first time.Duration
	// pause is the longest time between two events that the caller received.
	pause time.Duration
	// last is when the caller received the last event.
	last time.Time
}

// place records that the request was placed, how long it had been queued, and the
// predicted time to its first event.
func (timings *account) place(waited, sinceArrival, predicted time.Duration) {
	timings.waited += waited
	timings.placed = sinceArrival
	timings.predicted = sinceArrival + predicted
}

// pass records that the caller received an event.
func (timings *account) pass(arrivedAt, now time.Time) {
	if timings.last.IsZero() {
		timings.first = now.Sub(arrivedAt)
	} else {
		timings.pause = max(timings.pause, now.Sub(timings.last))
	}
	timings.last = now
}
