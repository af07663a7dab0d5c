package gateway

import "time"

// timings has the timing of a request. It is logged when the request ends, so that its log line
// shows the cause of a late response.
type timings struct {
	// waited is the total time that the request was queued for placement.
	waited time.Duration
	// placedAfter is when the request was last placed, and predicted is when its first
	// event was then expected; both are measured from its arrival.
	placedAfter time.Duration
	predicted   time.Duration
	// firstEventAfter is when the caller received the first event, measured from the request's
	// arrival; zero means that it received none.
	firstEventAfter time.Duration
	// longestPause is the longest time between two events that the caller received.
	longestPause time.Duration
	// lastEventAt is when the caller received the last event.
	lastEventAt time.Time
}

// place records that the request was placed, how long it had been queued, and the
// predicted time to its first event.
func (timings *timings) place(waited, sinceArrival, predicted time.Duration) {
	timings.waited += waited
	timings.placedAfter = sinceArrival
	timings.predicted = sinceArrival + predicted
}

// passEvent records that the caller received an event.
func (timings *timings) passEvent(arrivedAt, now time.Time) {
	if timings.lastEventAt.IsZero() {
		timings.firstEventAfter = now.Sub(arrivedAt)
	} else {
		timings.longestPause = max(timings.longestPause, now.Sub(timings.lastEventAt))
	}
	timings.lastEventAt = now
}
