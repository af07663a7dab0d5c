package call

import "time"

// Notice is what a server reports about its own state in the header of any response. The zero value means that it
// reports nothing.
type Notice struct {
	// Draining reports that the server shuts down soon and must get no new requests from any VM.
	Draining bool
	// Backoff is the time for which this VM must send the server no requests, or zero.
	Backoff time.Duration
	// RateLimit is the rate limit that the server advertises.
	RateLimit RateLimit
	// Malformed lists the header values that are not a valid backoff or rate limit.
	Malformed []string
}
