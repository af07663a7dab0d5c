package gateway

import "time"

// account is what became of a request on its way, for the last line of its log:
// from these lines alone one can tell why it was late.
type account struct {
	// waited is how long it waited for places in all.
	waited time.Duration
	// placed is when it was last placed, and predicted when its first event was
	// expected then, both from its arrival.
	placed    time.Duration
	predicted time.Duration
	// first is when the caller got the first event, from the request's arrival, or
	// zero when it got none.
	first time.Duration
	// pause is the longest time between two events that the caller got.
	pause time.Duration
	// last is when the caller got the last event.
	last time.Time
}

// place notes that the request was placed after a wait, with a prediction.
func (account *account) place(waited, sinceArrival, predicted time.Duration) {
	account.waited += waited
	account.placed = sinceArrival
	account.predicted = sinceArrival + predicted
}

// pass notes that the caller got an event.
func (account *account) pass(arrived, now time.Time) {
	if account.last.IsZero() {
		account.first = now.Sub(arrived)
	} else {
		account.pause = max(account.pause, now.Sub(account.last))
	}
	account.last = now
}
