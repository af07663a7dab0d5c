package platformserver

import (
	"sync"
	"time"
)

// Run is a request that a server started to process.
type Run struct {
	// ID is the request ID.
	ID       string
	Service  string
	Instance string
	// Organisation is the organisation that the system sent with the request.
	Organisation string
	// KeySeen reports whether the request contained the caller's API key, which
	// the system must not forward.
	KeySeen bool
	// Target and Body are the request URI and body as received.
	Target string
	Body   string
	At     time.Time
	// Ended is when the server was done with it, or zero if it still is at work.
	Ended time.Time
}

// Arrival is a request received by the server instance that it was intended for, with what the server advertised in
// its response.
type Arrival struct {
	// ID is the request ID.
	ID       string
	Instance string
	At       time.Time
	// Draining reports whether the response advertised that the server drains. Backoff is the backoff that it requested
	// with a refusal, or zero.
	Draining bool
	Backoff  time.Duration
	// RateLimited reports whether the response advertised a rate limit, and RateLimit is the limit in requests per
	// second from all VMs together.
	RateLimited bool
	RateLimit   float64
}

// Record has the requests that all servers received and ran, in order, and the
// violations that they detected. It is safe for concurrent use.
type Record struct {
	mu         sync.Mutex
	runs       []Run
	arrivals   []Arrival
	violations []string
}

// recordRun records a run. The caller must call end when the server is done with it.
func (record *Record) recordRun(run Run) (end func()) {
	record.mu.Lock()
	defer record.mu.Unlock()
	index := len(record.runs)
	record.runs = append(record.runs, run)
	return func() {
		record.mu.Lock()
		defer record.mu.Unlock()
		record.runs[index].Ended = time.Now()
	}
}

func (record *Record) recordArrival(arrival Arrival) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.arrivals = append(record.arrivals, arrival)
}

// Arrivals returns a copy of the requests received so far.
func (record *Record) Arrivals() []Arrival {
	record.mu.Lock()
	defer record.mu.Unlock()
	return append([]Arrival(nil), record.arrivals...)
}

// AddViolation records that a server detected a violation of the protocol.
func (record *Record) AddViolation(violation string) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.violations = append(record.violations, violation)
}

// Runs returns a copy of the list of requests run so far.
func (record *Record) Runs() []Run {
	record.mu.Lock()
	defer record.mu.Unlock()
	return append([]Run(nil), record.runs...)
}

// Violations returns descriptions of the protocol violations detected so far.
func (record *Record) Violations() []string {
	record.mu.Lock()
	defer record.mu.Unlock()
	return append([]string(nil), record.violations...)
}
