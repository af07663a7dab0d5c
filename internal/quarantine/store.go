package quarantine

import "context"

// Store persists entries across restarts of the VMs.
type Store interface {
	// Put writes an entry, and replaces an earlier one of the same request.
	Put(ctx context.Context, entry Entry) error
	// List returns all entries, except for those that cannot be decoded.
	List(ctx context.Context) ([]Entry, error)
}
