// Package replica holds a copy of the state for use by many goroutines, and
// lets them wait for the verdict on a record.
package replica

import (
	"sync"

	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Replica is a copy of the state that only moves forward.
type Replica struct {
	mu    sync.RWMutex
	state *state.State
	// waiters has who waits for the verdict on a record, by its ID.
	waiters map[string][]chan fold.Verdict
	// moved is closed, and replaced, when the state moves.
	moved chan struct{}
}

// New returns a replica of the empty state.
func New() *Replica {
	return &Replica{
		state:   state.New(),
		waiters: make(map[string][]chan fold.Verdict),
		moved:   make(chan struct{}),
	}
}

// Apply folds the entry at offset and tells those who wait for its records.
func (replica *Replica) Apply(offset uint64, batch *wire.Batch) error {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	results, err := replica.state.Apply(offset, batch)
	if err != nil {
		return err
	}
	for _, result := range results {
		for _, waiter := range replica.waiters[result.RecordID] {
			waiter <- result.Verdict
		}
		delete(replica.waiters, result.RecordID)
	}
	replica.signal()
	return nil
}

// Replace takes over an encoded state if it is ahead, and reports whether it
// was. Verdicts on the records between are not told: who waits asks again.
func (replica *Replica) Replace(encoded *wire.State) (bool, error) {
	decoded, err := state.Decode(encoded)
	if err != nil {
		return false, err
	}
	replica.mu.Lock()
	defer replica.mu.Unlock()
	if decoded.Next <= replica.state.Next {
		return false, nil
	}
	replica.state = decoded
	replica.signal()
	return true, nil
}

// View calls read with the state, which read must neither change nor keep.
func (replica *Replica) View(read func(*state.State)) {
	replica.mu.RLock()
	defer replica.mu.RUnlock()
	read(replica.state)
}

// Next returns the offset of the next entry to apply.
func (replica *Replica) Next() uint64 {
	replica.mu.RLock()
	defer replica.mu.RUnlock()
	return replica.state.Next
}

// Encode returns the state in its wire form.
func (replica *Replica) Encode() *wire.State {
	replica.mu.RLock()
	defer replica.mu.RUnlock()
	return replica.state.Encode()
}

// Moved returns a channel that is closed when the state has moved.
func (replica *Replica) Moved() <-chan struct{} {
	replica.mu.RLock()
	defer replica.mu.RUnlock()
	return replica.moved
}

// Await returns a channel that gets the verdict on the record when it is next
// read, and a function that ends the wait.
func (replica *Replica) Await(recordID string) (<-chan fold.Verdict, func()) {
	waiter := make(chan fold.Verdict, 1)
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.waiters[recordID] = append(replica.waiters[recordID], waiter)
	return waiter, func() { replica.forget(recordID, waiter) }
}

func (replica *Replica) forget(recordID string, waiter chan fold.Verdict) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	var others []chan fold.Verdict
	for _, other := range replica.waiters[recordID] {
		if other != waiter {
			others = append(others, other)
		}
	}
	if len(others) == 0 {
		delete(replica.waiters, recordID)
		return
	}
	replica.waiters[recordID] = others
}

func (replica *Replica) signal() {
	close(replica.moved)
	replica.moved = make(chan struct{})
}
