package gateway

import "time"

// Site is what a VM learns of its place from its settings.
type Site struct {
	VM         string
	DataCentre string
	// Regions has the region of each data centre, by its name.
	Regions map[string]string
	// Address is where callers connect.
	Address string
	// ReadyAddress is where the balancer asks whether the VM is ready.
	ReadyAddress string
	// PeerAddress is where other VMs send datagrams and calls.
	PeerAddress string
	// Seeds has the addresses at which some VMs take datagrams. They may be away or gone.
	Seeds []string
	// Capacity is that of the VM's link, in Mbit/s.
	Capacity int
	// Heartbeat is how often backend servers write their entries, or zero where that is not told.
	Heartbeat time.Duration
	// First says that all VMs of the system start for the first time.
	First bool
	// Store is the address of the platform's store.
	Store string
	// MemoryBytes is what the process may use, or zero.
	MemoryBytes int64
	Bounds      Bounds
}

// Bounds are what the operator holds the system to.
type Bounds struct {
	// Apply is how long after it was accepted a configuration must be in force.
	Apply time.Duration
	// Evacuate is the same for the wish that a data centre's servers get nothing, or zero where that is not told.
	Evacuate time.Duration
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// Revoke is how long after its removal a key may still be served.
	Revoke time.Duration
	// RevokeFailClosed says that Revoke holds whatever is away.
	RevokeFailClosed bool
	// RetryRatio and RetrySlack bound retries to a service in RetryWindow, over
	// all VMs: RetryRatio for each request, and RetrySlack beside.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// HoldMax is the longest time for which memory may be set aside at once.
	HoldMax time.Duration
}

// Known is within what time all that the operator states must be known.
func (bounds Bounds) Known() time.Duration {
	if bounds.Evacuate == 0 {
		return bounds.Apply
	}
	return min(bounds.Apply, bounds.Evacuate)
}

// part returns that part of the memory that the process may use, in bytes, or zero where that is not told.
func (site Site) part(part float64) int64 {
	return int64(part * float64(site.MemoryBytes))
}
