package quarantine

import "context"

// Alone is for a process that shares what it sees with no other: it judges by itself, and keeps
// nothing beyond its life.
type Alone struct{}

var (
	_ Publisher = Alone{}
	_ Store     = Alone{}
)

// Judges implements Publisher.
func (Alone) Judges() bool { return true }

// Announce implements Publisher.
func (Alone) Announce([]Entry) {}

// Put implements Store.
func (Alone) Put(context.Context, Entry) error { return nil }

// List implements Store.
func (Alone) List(context.Context) ([]Entry, error) { return nil, nil }
