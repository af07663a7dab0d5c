package follower

import (
	"maps"
	"time"
)

// contents has the current values of a source. It merges what is read into them and keeps a value that is newer than
// the one read.
type contents[T any] struct {
	// newer reports whether a is newer than b.
	newer func(a, b T) bool
	// values has the current values by key.
	values map[string]entry[T]
	// dropped has recently dropped values by key.
	dropped map[string]entry[T]
	// outdated has the keys for which the source returned an older value than the current one.
	outdated map[string]bool
}

// entry is a value as it was read.
type entry[T any] struct {
	record Record
	change Change[T]
	// droppedAt is when the value was dropped; zero for a current value.
	droppedAt time.Time
}

// droppedRetention is how long a dropped value is kept, in order to tell it from a new value when the source returns it
// after a rollback. Copies from which the source is restored are some seconds old; a minute covers them.
const droppedRetention = time.Minute

func newContents[T any](newer func(a, b T) bool) *contents[T] {
	if newer == nil {
		newer = func(T, T) bool { return false }
	}
	return &contents[T]{
		newer: newer, values: make(map[string]entry[T]), dropped: make(map[string]entry[T]), outdated: make(map[string]bool),
	}
}

// isNewer reports whether both entries have a value and that of a is newer.
func (contents *contents[T]) isNewer(a, b entry[T]) bool {
	return a.change.Value != nil && b.change.Value != nil && contents.newer(*a.change.Value, *b.change.Value)
}

// change merges changes into the current values, and returns those that were applied.
func (contents *contents[T]) change(read []entry[T], now time.Time) []entry[T] {
	applied := make([]entry[T], 0, len(read))
	for _, next := range read {
		key := next.record.Key
		current, found := contents.values[key]
		switch {
		case len(next.record.Value) == 0:
			contents.drop(key, now)
		case found && contents.isNewer(current, next):
			contents.outdated[key] = true
			continue
		default:
			contents.put(next)
		}
		applied = append(applied, next)
	}
	return applied
}

// replace replaces the current values by those read, and returns the resulting values. While the source is unsettled,
// a value that is missing from those read is kept, and a dropped value that reappears is ignored unless it is newer.
func (contents *contents[T]) replace(read []entry[T], unsettled bool, now time.Time) []entry[T] {
	maps.DeleteFunc(contents.dropped, func(_ string, previous entry[T]) bool { return now.Sub(previous.droppedAt) > droppedRetention })
	merged := make([]entry[T], 0, len(read))
	present := make(map[string]bool, len(read))
	for _, next := range read {
		key := next.record.Key
		current, found := contents.values[key]
		previous, wasDropped := contents.dropped[key]
		switch {
		case unsettled && wasDropped && !contents.isNewer(next, previous):
			continue
		case found && contents.isNewer(current, next):
			contents.outdated[key] = true
			next = current
		default:
			contents.put(next)
		}
		present[key] = true
		merged = append(merged, next)
	}
	for key, current := range contents.values {
		switch {
		case present[key]:
		case unsettled:
			merged = append(merged, current)
		default:
			contents.drop(key, now)
		}
	}
	return merged
}

func (contents *contents[T]) put(next entry[T]) {
	key := next.record.Key
	contents.values[key] = next
	delete(contents.dropped, key)
	delete(contents.outdated, key)
}

func (contents *contents[T]) drop(key string, now time.Time) {
	current, found := contents.values[key]
	if !found {
		return
	}
	current.droppedAt = now
	contents.dropped[key] = current
	delete(contents.values, key)
	delete(contents.outdated, key)
}
