// Package call has the parts of one request as the gateway sees them,
// whichever protocol the caller and the server speak.
package call

import "time"

// Head is what a caller states of a request.
type Head struct {
	// ID is the caller's, different for each of its tries.
	ID string
	// Time is how long the caller waits from now on.
	Time time.Duration
	// Key is empty when none was given.
	Key string
	// Prompt is nil for a call to a plain service.
	Prompt *Prompt
	// LastEvent is the last event that the caller has of a stream, or empty.
	LastEvent string
}

// Prompt describes a prompt for a model engine.
type Prompt struct {
	// Tokens is the length of the prompt.
	Tokens int
	// MaxTokens is the most tokens of an answer.
	MaxTokens int
}

// Dispatch is what a server is told beside the caller's request.
type Dispatch struct {
	// Instance is the server that may run the request.
	Instance string
	// Time is what is left for the request.
	Time time.Duration
	// Organisation is empty for a request without a key.
	Organisation string
	// LastEvent is the event after which a stream goes on, or empty.
	LastEvent string
	// Helpers read parts of the prompt.
	Helpers []Helper
	// Urgency orders requests at an engine, the lowest first.
	Urgency Urgency
}

// Urgency is the rank of a request at an engine.
type Urgency int

// Urgencies.
const (
	// UrgencyNone leaves the rank to the engine.
	UrgencyNone Urgency = iota
	UrgencyHigh
	UrgencyNormal
	UrgencyLow
)

// Helper is an engine that reads a part of a prompt for another.
type Helper struct {
	Address string
	// Ticket names memory that is set aside there. It is empty when the helper
	// only reads.
	Ticket string
}

// Answer is what a server says beside the status and the body.
type Answer struct {
	// ID is the request that is answered.
	ID string
	// NotRun says that the server did not run the request and never will.
	NotRun bool
	// Misdirected says that the address belongs to another server by now.
	Misdirected bool
	// Whole says that the answer carries the server's mark of origin.
	Whole bool
	// AtServer is the address of the server at fault, or empty.
	AtServer string
	// Idle is how long the server keeps the connection, or zero.
	Idle time.Duration
	// Stream says that the body is a series of events.
	Stream bool
	// Encoded says that the body is not the server's own bytes.
	Encoded bool
}

// FieldError says which field of a request is wrong.
type FieldError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Problem
}
