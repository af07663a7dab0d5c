// Package directory has the backend servers as the platform lists them.
package directory

import "time"

// Entry is one backend server in the list. It is immutable.
type Entry struct {
	// ID is unique to one start of the server: what is known under it is known of that start.
	ID string
	// Started is when it started, or zero where that is not told. Of two starts under one key of the list
	// the later one is there.
	Started time.Time
	Service string
	// Address is an IP number and a port.
	Address    string
	DataCentre string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving says that nothing new may go there.
	Leaving bool
	// ColdLeft is for how much longer it was cold when that was written, or zero. A cold server bears few requests.
	ColdLeft time.Duration
}

// Newer reports whether an entry is of a later moment than another one of its key: of a later start, or of the same one
// that leaves, which it never takes back. Of entries that tell no start none is newer.
func (entry Entry) Newer(other Entry) bool {
	if entry.Started.IsZero() || other.Started.IsZero() {
		return false
	}
	if entry.Started.Equal(other.Started) {
		return entry.Leaving && !other.Leaving
	}
	return entry.Started.After(other.Started)
}
