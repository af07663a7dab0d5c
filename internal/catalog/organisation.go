package catalog

import "time"

// Organisation is a customer, identified by its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority, or is nil for none.
	Priority *int
	// Regions restrict the organisation's requests, in addition to the route's regions.
	Regions Regions
}

// Limits are the limits on callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the time limit for receiving the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
}
