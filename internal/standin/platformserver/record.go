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

// Record has what all servers ran, in order.
type Record struct {
	mu         sync.Mutex
	runs       []Run
	violations []string
}

func (record *Record) begin(run Run) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.runs = append(record.runs, run)
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
