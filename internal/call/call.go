// Package call defines the data of one request and its response that the gateway
// uses, independently of the protocols of callers and servers.
package call

import "time"

// Head is the metadata of a request, as decoded from its header.
type Head struct {
	// ID is the request ID that the caller chose. Each retry by the caller has
	// another one.
	ID string
	// TimeToCallerDeadline is the time until the caller deadline, or zero if the caller gave
	// none.
	TimeToCallerDeadline time.Duration
	// Key is the idempotency key, or empty if the caller gave none.
	Key string
	// Prompt is nil for a call to a plain service.
	Prompt *Prompt
	// LastEvent is the ID of the last event that the caller received of a stream,
	// or empty.
	LastEvent string
}

// Prompt describes a prompt for a model engine.
type Prompt struct {
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// MaxTokens is the maximum length of the response in tokens.
	MaxTokens int
	// SharedParts has the IDs of the parts that other prompts may have too, in order. The last part
	// of a prompt is its own and is not among them.
	SharedParts []string
}

// Dispatch is the metadata that is sent to a server with the caller's request.
type Dispatch struct {
	// Instance is the ID of the server that may run the request.
	Instance string
	// TimeToCallerDeadline is the time until the caller deadline.
	TimeToCallerDeadline time.Duration
	// Organisation is the organisation of a request with a key, or empty.
	Organisation string
	// LastEvent is the ID of the event after which a stream is resumed, or empty.
	LastEvent string
	// Helpers are the engines that prefill parts of the prompt.
	Helpers []Helper
	// Urgency is the scheduling priority at an engine. Requests with lower values
	// are processed first.
	Urgency Urgency
}

// Urgency is the scheduling priority of a request at an engine.
type Urgency int

// Values of Urgency. Engines process UrgencyHigh first.
const (
	// UrgencyNone leaves the priority to the engine.
	UrgencyNone Urgency = iota
	UrgencyHigh
	UrgencyNormal
	UrgencyLow
)

// Helper is an engine that prefills a part of a prompt for another engine.
type Helper struct {
	Address string
	// Ticket is the ID of the memory reserved at the helper. It is empty if the
	// helper only prefills.
	Ticket string
}

// Response is the metadata of a server's response, as decoded from its status and
// header.
type Response struct {
	// ID is the ID of the request to which the server responds.
	ID string
	// NotRun reports that the server did not run the request and never will.
	NotRun bool
	// Misdirected reports that the address now belongs to another server.
	Misdirected bool
	// Sealed reports that the response carries the seal that shows that it
	// came from a server.
	Sealed bool
	// FailedServer is the address of the server that failed, or empty.
	FailedServer string
	// IdleTimeout is how long the server keeps an idle connection open, or zero if
	// it did not advertise that.
	IdleTimeout time.Duration
	// Stream reports that the body is a stream of events.
	Stream bool
	// ContentEncoded reports that the body has a content encoding, such as compression.
	ContentEncoded bool
}

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Problem
}
