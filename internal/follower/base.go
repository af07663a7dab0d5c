package follower

import (
	"maps"
	"time"
)

// base is what is believed of a source's values, and what of them goes before what is read.
type base[T any] struct {
	newer func(a, b T) bool
	// values has the values by key.
	values map[string]held[T]
	// dropped has those that went lately, and gone when.
	dropped map[string]held[T]
	// behind has the keys of which the source has an older value than is believed.
	behind map[string]bool
}

// held is a value as it was read.
type held[T any] struct {
	record Record
	change Change[T]
	// at is when it went, of one that was dropped.
	at time.Time
}

// droppedTime is how long a value that went is remembered: the source comes back from copies that are some seconds
// old, and one of a minute is told from a new value.
const droppedTime = time.Minute

func newBase[T any](newer func(a, b T) bool) *base[T] {
	if newer == nil {
		newer = func(T, T) bool { return false }
	}
	return &base[T]{
		newer: newer, values: make(map[string]held[T]), dropped: make(map[string]held[T]), behind: make(map[string]bool),
	}
}

// isNewer reports whether a is of a later moment than b.
func (base *base[T]) isNewer(a, b held[T]) bool {
	return a.change.Value != nil && b.change.Value != nil && base.newer(*a.change.Value, *b.change.Value)
}

// change takes over changes, and returns those that count.
func (base *base[T]) change(read []held[T], now time.Time) []held[T] {
	counts := make([]held[T], 0, len(read))
	for _, next := range read {
		key := next.record.Key
		known, found := base.values[key]
		switch {
		case len(next.record.Value) == 0:
			base.drop(key, now)
		case found && base.isNewer(known, next):
			base.behind[key] = true
			continue
		default:
			base.take(next)
		}
		counts = append(counts, next)
	}
	return counts
}

// replace takes over all values, and returns those that count. While the source is unsettled one that is missing
// stays, and one that had gone does not come back by standing there again.
func (base *base[T]) replace(read []held[T], unsettled bool, now time.Time) []held[T] {
	maps.DeleteFunc(base.dropped, func(_ string, gone held[T]) bool { return now.Sub(gone.at) > droppedTime })
	counts := make([]held[T], 0, len(read))
	there := make(map[string]bool, len(read))
	for _, next := range read {
		key := next.record.Key
		known, found := base.values[key]
		gone, went := base.dropped[key]
		switch {
		case unsettled && went && !base.isNewer(next, gone):
			continue
		case found && base.isNewer(known, next):
			base.behind[key] = true
			next = known
		default:
			base.take(next)
		}
		there[key] = true
		counts = append(counts, next)
	}
	for key, known := range base.values {
		switch {
		case there[key]:
		case unsettled:
			counts = append(counts, known)
		default:
			base.drop(key, now)
		}
	}
	return counts
}

func (base *base[T]) take(next held[T]) {
	key := next.record.Key
	base.values[key] = next
	delete(base.dropped, key)
	delete(base.behind, key)
}

func (base *base[T]) drop(key string, now time.Time) {
	known, found := base.values[key]
	if !found {
		return
	}
	known.at = now
	base.dropped[key] = known
	delete(base.values, key)
	delete(base.behind, key)
}
