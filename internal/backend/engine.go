package backend

import (
	"context"
	"fmt"
	"time"
)

// Engine reaches model engines. Each call names the address of one.
type Engine interface {
	// Generate starts a stream. The error is a *NotRunError when it is
	// certain that nothing ran; after any other the engine may be running.
	Generate(ctx context.Context, address string, dispatch Dispatch) (Stream, error)

	// Resume reads a stream from token from on.
	Resume(ctx context.Context, address, attempt string, from int) (Stream, error)

	// Cancel ends a stream; one that is not there is no error.
	Cancel(ctx context.Context, address, attempt string) error

	// Streams lists what the engine holds.
	Streams(ctx context.Context, address string) ([]StreamInfo, error)

	// Reserve holds memory for a group. Its repeat renews the time.
	Reserve(ctx context.Context, address, id string, reservation Reservation) error

	// Release gives back a reservation; one that is not there is no error.
	Release(ctx context.Context, address, id string) error

	// Load returns the last report of the engine.
	Load(ctx context.Context, address string) (Load, error)
}

// Service reaches plain services.
type Service interface {
	// Call sends a call. Its errors are those of Engine.Generate.
	Call(ctx context.Context, address string, dispatch Dispatch) ([]byte, error)
}

// Dispatch is what is sent to a backend server.
type Dispatch struct {
	// Attempt is unique to one sending of a request.
	Attempt      string
	Request      string
	Organisation string
	// Owner is the incarnation of the entry that sends.
	Owner   string
	Session string
	// Model is empty for plain services.
	Model string
	// Body is the prompt, or the body of a call.
	Body     []byte
	Priority int
	// From is how many tokens of the answer there are already.
	From      int
	MaxTokens int
	TimeLeft  time.Duration
	// Group names the reservations to use, or is empty.
	Group string
	// Key and Fence are set for what may run at most once.
	Key   string
	Fence uint64
}

// Stream is the frames of one answer. It is used by one goroutine.
type Stream interface {
	// Next returns the next frame. After an error the answer may go on.
	Next() (Frame, error)
	Organisation() string
	Request() string
	// TimeLeft is what was left of the stated time when the stream was
	// opened.
	TimeLeft() time.Duration
	Close()
}

// NotRunError says that a backend server certainly did not run a dispatch.
type NotRunError struct {
	Address string
	Reason  string
	// Leaving says that the server takes nothing new.
	Leaving bool
	// Unreachable says that no connection could be made.
	Unreachable bool
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("backend server %s did not run it: %s", e.Address, e.Reason)
}

// StatusError says that a backend server answered with a failure, so that it lives.
type StatusError struct {
	Address string
	Status  int
	Body    string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server %s: status %d: %s", e.Address, e.Status, e.Body)
}

// NotFoundError says that an engine does not hold a stream.
type NotFoundError struct {
	Address string
	Attempt string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("backend server %s: no stream %s", e.Address, e.Attempt)
}
