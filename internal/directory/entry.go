// Package directory describes the backend servers in the platform's server list.
package directory

import "time"

// Entry is one backend server in the list. It is immutable.
type Entry struct {
	// ID is unique to one start of the server, so that data kept under it applies to that start alone.
	ID string
	// Started is when the server started, or zero if it is not advertised. Of two starts under one key of the list,
	// the later one is the current one.
	Started time.Time
	// Service is the name of the service that the server offers.
	Service string
	// Address is an IP address and a port.
	Address    string
	DataCentre string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Draining is set when the server is draining, and so must not receive new requests.
	Draining bool
	// ColdRemaining is the time for which the server was still cold when the entry was written, or zero. A cold server
	// can handle only few requests.
	ColdRemaining time.Duration
}

// Newer reports whether the entry is newer than another one of its key: it is of a later start, or of the same start
// and draining where the other is not, since a server never stops draining. If either entry has no start time, neither
// is newer.
func (entry Entry) Newer(other Entry) bool {
	if entry.Started.IsZero() || other.Started.IsZero() {
		return false
	}
	if entry.Started.Equal(other.Started) {
		return entry.Draining && !other.Draining
	}
	return entry.Started.After(other.Started)
}
