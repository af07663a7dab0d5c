// Package epoch tracks the epoch of the platform's store, which identifies one history of its records. If the store is
// restored from a copy that is some seconds old, it is rolled back: later records are lost, their offsets are assigned
// again, and the epoch increases by one. An offset, and the absence of a record, are therefore meaningful in one epoch
// only.
package epoch

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Number is the number of rollbacks of the store. It is zero for a store that does not report an epoch.
type Number int64

// ErrEarlier is returned for an epoch before the current one. A response with such an epoch must be ignored: it is
// delayed, or its sender has not received the current epoch yet.
var ErrEarlier = errors.New("response is of an earlier epoch of the store")

// Watch tracks the current epoch of the store for a whole process. The epoch never decreases. A Watch is safe for
// concurrent use.
type Watch struct {
	now func() time.Time

	mu      sync.Mutex
	current Number
	// known says that an epoch has been observed.
	known bool
	// increasedAt is when the epoch last increased from one that this process had observed; zero means never.
	increasedAt time.Time
	// changed is closed and replaced when the epoch increases.
	changed chan struct{}
	// hint is the highest epoch passed to Hint, and hinted has an element while it is to be checked at the store.
	hint   Number
	hinted chan struct{}
}

// New returns a watch that has observed no epoch.
func New(now func() time.Time) *Watch {
	return &Watch{now: now, changed: make(chan struct{}), hinted: make(chan struct{}, 1)}
}

// Observe records an epoch that the store or a peer reported. It returns ErrEarlier if the current epoch is later.
func (watch *Watch) Observe(number Number) error {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	switch {
	case watch.known && number < watch.current:
		return errors.Wrapf(ErrEarlier, "epoch %d, current epoch %d", number, watch.current)
	case watch.known && number == watch.current:
		return nil
	case watch.known:
		watch.increasedAt = watch.now()
		watch.hint = 0 // a corrupted hint must not suppress later ones
		close(watch.changed)
		watch.changed = make(chan struct{})
	}
	watch.current = number
	watch.known = true
	return nil
}

// Current returns the current epoch. It reports false if none has been observed.
func (watch *Watch) Current() (Number, bool) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.current, watch.known
}

// IncreasedAt returns when the epoch last increased from one that this process had observed, or was marked so by Unsettle.
// It is zero if that never happened.
func (watch *Watch) IncreasedAt() time.Time {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.increasedAt
}

// Changed returns a channel that is closed when the epoch increases.
func (watch *Watch) Changed() <-chan struct{} {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.changed
}

// Unsettle records that the epoch increased just now, as reported by another process or assumed for safety. It has no
// effect if this process has a time of an increase already.
func (watch *Watch) Unsettle() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.increasedAt.IsZero() {
		watch.increasedAt = watch.now()
	}
}

// Hint records an epoch from an unreliable source, which must be checked at the store: if the high epoch of a corrupted
// datagram became the current one, all responses of the store would be rejected as earlier from then on.
func (watch *Watch) Hint(number Number) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if !watch.known || number <= watch.current || number <= watch.hint {
		return
	}
	watch.hint = number
	select {
	case watch.hinted <- struct{}{}:
	default:
	}
}

// Hinted returns a channel that has an element when a hint is to be checked at the store.
func (watch *Watch) Hinted() <-chan struct{} {
	return watch.hinted
}
