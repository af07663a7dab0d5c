package tunnel

import (
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
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

// headerByServer is the field of a refusal that says that the server's port refused the connection.
const headerByServer = "Tunnel-Refused-By-Server"

// IsRefusedByServer reports whether an error says that the server's port refused the connection of another VM.
func IsRefusedByServer(err error) bool {
	var noWay *NoWayError
	if errors.As(err, &noWay) {
		return slices.ContainsFunc(noWay.Errs, IsRefusedByServer)
	}
	var refused *RefusedError
	return errors.As(err, &refused) && refused.ByServer
}

// RefusedError is the refusal of another VM to open a tunnel.
type RefusedError struct {
	Peer string
	// Status is the HTTP status of the refusal. 502 means that the VM did not reach the server.
	Status int
	// ByServer is whether the server's port refused the connection of that VM.
	ByServer bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Peer + " refused to open a tunnel: " + http.StatusText(e.Status)
}
