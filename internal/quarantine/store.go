package quarantine

import "context"

// Store is where entries outlast the VMs.
type Store interface {
	// Put keeps an entry instead of an earlier one of the same request.
	Put(ctx context.Context, entry Entry) error
	// List returns the entries. What cannot be read is left out.
	List(ctx context.Context) ([]Entry, error)
}
