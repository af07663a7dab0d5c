package upstream

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/tunnel"
)

// PathError is returned for a request that was sent and whose connection broke for a reason that may lie between this VM and the
// server: it led through another VM, or was abandoned since this VM's own links are cut.
type PathError struct {
	Address string
	// Via is the address of the VM that the connection led through, or empty for an abandoned one.
	Via string
	Err error
}

// Error implements error.
func (e *PathError) Error() string {
	if e.Via == "" {
		return "abandoned connection to " + e.Address + ": links of this VM are cut: " + e.Err.Error()
	}
	return "connection to " + e.Address + " through " + e.Via + " broke: " + e.Err.Error()
}

// ServerEnded reports whether the server ended or reset the connection, as the VM that it led through has told.
func (e *PathError) ServerEnded() bool {
	return e.Via != "" && (errors.Is(e.Err, io.EOF) || errors.Is(e.Err, io.ErrUnexpectedEOF) || errors.Is(e.Err, tunnel.ErrServerReset))
}

// Unwrap returns the error of the connection.
func (e *PathError) Unwrap() error {
	return e.Err
}
