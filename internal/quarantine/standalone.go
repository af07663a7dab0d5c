package quarantine

import "context"

// Standalone is the Publisher and Store of a process that shares its observations with no other VM:
// it evaluates them alone, and stores nothing.
type Standalone struct{}

var (
	_ Publisher = Standalone{}
	_ Store     = Standalone{}
)

// Evaluates implements Publisher.
func (Standalone) Evaluates() bool { return true }

// Announce implements Publisher.
func (Standalone) Announce([]Entry) {}

// AnnounceSuspects implements Publisher.
func (Standalone) AnnounceSuspects([]Suspect) {}

// ReportBegun implements Publisher.
func (Standalone) ReportBegun([]Begun) {}

// Put implements Store.
func (Standalone) Put(context.Context, Entry) error { return nil }

// List implements Store.
func (Standalone) List(context.Context) ([]Entry, error) { return nil, nil }
