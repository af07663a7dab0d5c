// Package replica holds a copy of the state that the records of the platform's log
// describe. It is safe for concurrent use, and lets goroutines wait for the verdict
// on a record, which says whether the record was accepted.
package replica

import (
	"sync"

	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Replica is a copy of the state. The offset of its next log entry never decreases.
type Replica struct {
	mu    sync.RWMutex
	state *state.State
	// waiters has the channels that receive the verdict on a record, by record ID.
	waiters map[string][]chan statemachine.Verdict
	// changed is closed, and replaced, when the state changes.
	changed chan struct{}
}

// New returns a replica of the empty state, before the first log entry.
func New() *Replica {
	return &Replica{
		state:   state.New(),
		waiters: make(map[string][]chan statemachine.Verdict),
		changed: make(chan struct{}),
	}
}

// Apply applies the log entry at offset and sends the verdicts on its records to
// those who wait for them. An entry that was already applied is ignored; one that is
// not the next is a *state.OrderError.
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
	replica.notifyChanged()
	return nil
}

// Replace adopts an encoded state if its next offset is higher, and reports whether
// it was. Verdicts on the records in between are not sent: those who wait must
// propose their records again.
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
	replica.notifyChanged()
	return true, nil
}

// View calls read with the state. read must not modify the state, retain it, or call
// methods of the replica.
func (replica *Replica) View(read func(*state.State)) {
	replica.mu.RLock()
	defer replica.mu.RUnlock()
	read(replica.state)
}

// Next returns the offset of the next log entry to apply.
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

// Changed returns a channel that is closed at the next change of the state.
func (replica *Replica) Changed() <-chan struct{} {
	replica.mu.RLock()
	defer replica.mu.RUnlock()
	return replica.changed
}

// Await returns a channel that receives the verdict on the record when the record is
// next applied, and a function that ends the wait, which must be called.
func (replica *Replica) Await(recordID string) (<-chan statemachine.Verdict, func()) {
	waiter := make(chan statemachine.Verdict, 1)
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.waiters[recordID] = append(replica.waiters[recordID], waiter)
	return waiter, func() { replica.removeWaiter(recordID, waiter) }
}

// removeWaiter removes one waiter for the verdict on a record.
func (replica *Replica) removeWaiter(recordID string, waiter chan statemachine.Verdict) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	var others []chan statemachine.Verdict
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

// notifyChanged closes and replaces the channel of changes. mu must be held.
func (replica *Replica) notifyChanged() {
	close(replica.changed)
	replica.changed = make(chan struct{})
}
