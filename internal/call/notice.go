package call

import "time"

// Notice is what a server says of itself in the head of an answer, whatever it answers. The zero value says nothing.
type Notice struct {
	// Leaving says that the server ends soon, and wants nothing new from anybody.
	Leaving bool
	// Rest is for how long the server wants nothing from this VM, or zero.
	Rest time.Duration
	// Limit is how many requests the server takes from all VMs together.
	Limit Limit
	// Unreadable has what the server gave for a rest that is no time, or for a limit that is no number.
	Unreadable []string
}
