package catalog

import "time"

// Organisation is a customer, known by its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's. It is nil when none is set.
	Priority *int
	// Regions go beside the route's: both hold.
	Regions Regions
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the longest time for sending a head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}
