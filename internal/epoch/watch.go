// Package epoch tells the histories of the platform's store apart. The store may come back from a copy that is some
// seconds old: what was written since is gone, offsets are given out again, and its epoch is one higher from then on.
// An offset counts in one epoch, and so does what is missing.
package epoch

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Number counts how often the store came back older than it was. Zero is that of a store that does not say.
type Number int64

// ErrEarlier says that an answer is of an earlier epoch than the one in force, so that it counts for nothing: it came
// late, or from who has not heard.
var ErrEarlier = errors.New("answer of an earlier epoch of the store")

// Watch is the epoch in force, as all parts of a process hear of it. It never falls.
type Watch struct {
	now func() time.Time

	mu      sync.Mutex
	current Number
	// known says that an epoch was heard of.
	known bool
	// rose is when the epoch last rose while this process knew the one before, or zero.
	rose time.Time
	// changed is closed, and replaced, when it rises.
	changed chan struct{}
	// hint is the latest epoch that was hinted at, and hinted has an element when there is one to look into.
	hint   Number
	hinted chan struct{}
}

// New returns a watch that has heard of no epoch.
func New(now func() time.Time) *Watch {
	return &Watch{now: now, changed: make(chan struct{}), hinted: make(chan struct{}, 1)}
}

// Note takes over an epoch that was heard of, whoever told. It returns ErrEarlier if a later one is in force.
func (watch *Watch) Note(number Number) error {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	switch {
	case watch.known && number < watch.current:
		return errors.Wrapf(ErrEarlier, "%d, %d is in force", number, watch.current)
	case watch.known && number == watch.current:
		return nil
	case watch.known:
		watch.rose = watch.now()
		watch.hint = 0 // a spoilt one must not hide those that follow
		close(watch.changed)
		watch.changed = make(chan struct{})
	}
	watch.current = number
	watch.known = true
	return nil
}

// Current returns the epoch in force, and reports whether there is one.
func (watch *Watch) Current() (Number, bool) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.current, watch.known
}

// Rose returns when the epoch last rose while this process knew the one before, or zero.
func (watch *Watch) Rose() time.Time {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.rose
}

// Changed returns a channel that is closed when the epoch rises.
func (watch *Watch) Changed() <-chan struct{} {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.changed
}

// Unsettle notes that the epoch rose a moment ago, as another process says that knew the one before. One that saw it
// rise itself knows better.
func (watch *Watch) Unsettle() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.rose.IsZero() {
		watch.rose = watch.now()
	}
}

// Hint notes that somebody names an epoch whose word alone is not enough: a spoilt datagram with a high number would
// make all answers of the store earlier ones for good.
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

// Hinted returns a channel that has an element when the store is to be asked for its epoch.
func (watch *Watch) Hinted() <-chan struct{} {
	return watch.hinted
}
