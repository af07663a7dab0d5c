package platformserver

import (
	"sync"
	"time"
)

// Run is one request that a server began to work on.
type Run struct {
	// ID is the request's.
	ID       string
	Service  string
	Instance string
	// Organisation is the one that the system named.
	Organisation string
	// KeySeen says that the caller's key was handed on.
	KeySeen bool
	// Target and Body are as the server got them.
	Target string
	Body   string
	At     time.Time
}

// Arrival is one request that reached the server that it was meant for, and what that one says of itself in its answer.
type Arrival struct {
	// ID is the request's.
	ID       string
	Instance string
	At       time.Time
	// Leaving says that the server says that it leaves, and Rest for how long it turns the VM away, or zero.
	Leaving bool
	Rest    time.Duration
	// Limited says that the server names a limit, of so many requests a second from all VMs.
	Limited bool
	Limit   float64
}

// Record has what all servers got and ran, in order.
type Record struct {
	mu         sync.Mutex
	runs       []Run
	arrivals   []Arrival
	violations []string
}

func (record *Record) begin(run Run) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.runs = append(record.runs, run)
}

func (record *Record) arrive(arrival Arrival) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.arrivals = append(record.arrivals, arrival)
}

// Arrivals returns what arrived so far.
func (record *Record) Arrivals() []Arrival {
	record.mu.Lock()
	defer record.mu.Unlock()
	return append([]Arrival(nil), record.arrivals...)
}

// Violate notes that a server saw what must never happen.
func (record *Record) Violate(what string) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.violations = append(record.violations, what)
}

// Runs returns what ran so far.
func (record *Record) Runs() []Run {
	record.mu.Lock()
	defer record.mu.Unlock()
	return append([]Run(nil), record.runs...)
}

// Violations returns what servers saw that must never happen.
func (record *Record) Violations() []string {
	record.mu.Lock()
	defer record.mu.Unlock()
	return append([]string(nil), record.violations...)
}
