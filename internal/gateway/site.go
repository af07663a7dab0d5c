package gateway

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/call"
)

// Site describes the VM's place in the deployment, as given by its settings file.
type Site struct {
	VM         string
	DataCentre string
	// Regions has the region of each data centre by the data centre's name.
	Regions map[string]string
	// Address is where callers connect, as host:port.
	Address string
	// ReadyAddress serves the readiness check of the load balancer, the metrics and the status.
	ReadyAddress string
	// PeerAddress is where other VMs send datagrams and HTTP requests.
	PeerAddress string
	// Seeds has the peer addresses of some VMs, used to join the others. Any of them may be
	// unreachable or removed.
	Seeds []string
	// Capacity is the bandwidth of the VM's network link, in Mbit/s.
	Capacity int
	// Heartbeat is the interval at which backend servers write their entries, or zero if it is not
	// configured.
	Heartbeat time.Duration
	// FirstStart is true if all VMs of the system start for the first time.
	FirstStart bool
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// MemoryBytes is the memory that the process may use, or zero if it is not configured.
	MemoryBytes int64
	Bounds      Bounds
	// Ignored are the fields of the settings file that can't be used. The VM serves without them.
	Ignored []call.FieldError
}

// Bounds are the limits that the operator requires the system to keep.
type Bounds struct {
	// Apply is the longest time from the acceptance of a configuration until it is in force.
	Apply time.Duration
	// Evacuate is the same limit for an evacuation of a data centre, or zero if it is not
	// configured.
	Evacuate time.Duration
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// Revoke is how long a key may still be accepted after it was revoked.
	Revoke time.Duration
	// RevokeFailClosed is true if Revoke also holds while the store is unreachable: requests with a
	// key are then refused.
	RevokeFailClosed bool
	// RetryRatio and RetrySlack bound the retries to a service within RetryWindow, over all VMs:
	// RetryRatio retries for each request, and RetrySlack in addition.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// HoldMax is the longest time for which engine memory may be reserved at once.
	HoldMax time.Duration
}

// Bounds of a VM whose settings file does not have them.
const (
	// defaultGrace is the time that process managers commonly wait.
	defaultGrace  = 10 * time.Second
	defaultRevoke = 3 * time.Second
	// defaultRetryRatio and defaultRetrySlack are low, so that retries do not add to an overload.
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 10
	defaultRetryWindow = 10 * time.Second
)

// DefaultBounds returns the bounds of a VM whose settings file has none. Bounds that are zero are not limited.
func DefaultBounds() Bounds {
	return Bounds{
		Grace: defaultGrace, Revoke: defaultRevoke,
		RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack, RetryWindow: defaultRetryWindow,
	}
}

// UnreadBounds returns the bounds at the start of a process, used in place of those that its settings file has but that
// can't be used. Keys that may have been revoked are then refused.
func UnreadBounds() Bounds {
	bounds := DefaultBounds()
	bounds.RevokeFailClosed = true
	return bounds
}

// Known returns the longest time until any statement of the operator must have reached
// this VM.
func (bounds Bounds) Known() time.Duration {
	if bounds.Evacuate == 0 {
		return bounds.Apply
	}
	return min(bounds.Apply, bounds.Evacuate)
}

// memoryFraction returns a fraction of the memory that the process may use, in bytes, or zero if
// that is not configured.
func (site Site) memoryFraction(memoryFraction float64) int64 {
	return int64(memoryFraction * float64(site.MemoryBytes))
}
