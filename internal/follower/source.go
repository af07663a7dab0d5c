package follower

import "github.com/cockroachdb/errors"

// ErrOtherKey is returned by decoders for keys that are not their matter.
var ErrOtherKey = errors.New("another key")

// Change is a new value of a key, or none when the key was dropped.
type Change[T any] struct {
	Key string
	// Value is nil when the key was dropped.
	Value *T
	// Bad says that the key has a value that cannot be decoded.
	Bad bool
}

// Source is a log and how its values are decoded.
type Source[T any] struct {
	// Name is for the log lines.
	Name string
	Log  Log
	// Decode returns ErrOtherKey for keys that are not its matter.
	Decode func(key string, value []byte) (T, error)
	// Newer reports whether a value is of a later moment than another one of its key, whichever is read later. It is
	// nil where what is read later is newer.
	Newer func(a, b T) bool
	// Strict says that nothing is proven while the source has an older value than is believed.
	Strict bool
	// TellBad says that the listener is told of values that cannot be decoded. Otherwise the value before
	// stays.
	TellBad bool
}

// WithLog returns the source with another log.
func (source Source[T]) WithLog(log Log) Source[T] {
	source.Log = log
	return source
}

// Listener is told of changes, in order.
type Listener[T any] interface {
	// Replace takes over the whole state.
	Replace(values []Change[T])
	// Apply takes over changes.
	Apply(changes []Change[T])
	// Lost notes that the source did not answer, and Regained that it does.
	Lost()
	Regained()
}
