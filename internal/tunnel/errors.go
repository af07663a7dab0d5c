package tunnel

import (
	"net/http"
	"strings"
)

// NoWayError is returned when no way to a server could be opened. Errs has the error of each.
type NoWayError struct {
	Errs []error
}

// Error implements error.
func (e *NoWayError) Error() string {
	texts := make([]string, 0, len(e.Errs))
	for _, err := range e.Errs {
		texts = append(texts, err.Error())
	}
	return "no way to the server: " + strings.Join(texts, "; ")
}

// Unwrap returns the errors of all ways.
func (e *NoWayError) Unwrap() []error {
	return e.Errs
}

// RefusedError is the refusal of another VM to open a tunnel.
type RefusedError struct {
	Peer string
	// Status is the HTTP status of the refusal. 502 means that the VM did not reach the server.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Peer + " refused to open a tunnel: " + http.StatusText(e.Status)
}
