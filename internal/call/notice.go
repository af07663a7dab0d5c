package call

import "time"

// Notice is what a server says of itself in the head of an answer, whatever it answers. The zero value says nothing.
type Notice struct {
	// Leaving says that the server ends soon, and wants nothing new from anybody.
	Leaving bool
	// Rest is for how long the server wants nothing from this VM, or zero.
	Rest time.Duration
	// Unreadable is what the server gave for a rest and is no time, or empty.
	Unreadable string
}
