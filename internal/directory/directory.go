// Package directory has the backend servers as the platform lists them.
package directory

// Entry is one backend server in the list. It is immutable.
type Entry struct {
	// ID is unique to one start of the server.
	ID      string
	Service string
	// Address is an IP number and a port.
	Address    string
	DataCentre string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving says that nothing new may go there.
	Leaving bool
}
