package network

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// IsRefused reports whether an error says that nothing listens at the address: the machine runs, and the process there does not.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
