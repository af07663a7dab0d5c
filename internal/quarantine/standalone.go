package quarantine

import "context"

// Standalone is the Publisher and Store of a process that shares its observations with no other VM:
// it evaluates them alone, and stores nothing.
type Alone struct{}

var (
	_ Publisher = Alone{}
	_ Store     = Alone{}
)

// Evaluates implements Publisher.
func (Alone) Judges() bool { return true }

// Announce implements Publisher.
func (Alone) Announce([]Entry) {}

// Put implements Store.
func (Alone) Put(context.Context, Entry) error { return nil }

// List implements Store.
func (Alone) List(context.Context) ([]Entry, error) { return nil, nil }
