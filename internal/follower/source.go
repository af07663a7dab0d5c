package follower

import "github.com/cockroachdb/errors"

// ErrIgnoredKey is returned by decoders for keys that do not belong to the source; their records are skipped.
var ErrIgnoredKey = errors.New("key does not belong to the source")

// Change is a new value of a key, or the removal of the key.
type Change[T any] struct {
	Key string
	// Value is nil if the key was dropped or its value is invalid.
	Value *T
	// Invalid says that the value of the key cannot be decoded.
	Invalid bool
}

// Source is a log together with the decoder of its values.
type Source[T any] struct {
	// Name identifies the source in log lines.
	Name string
	Log  Log
	// Decode returns ErrIgnoredKey for keys that do not belong to the source.
	Decode func(key string, value []byte) (T, error)
	// Newer reports whether a is newer than b, where both are values of the same key and may be read in any order. If it
	// is nil, the value read last is the newest.
	Newer func(a, b T) bool
	// Strict says that no page confirms the values while the source has an older value than the current one of any key.
	Strict bool
	// ReportInvalid says that a value that cannot be decoded is passed to the listener as an invalid change.
	// Otherwise the previous value stays.
	ReportInvalid bool
}

// WithLog returns a copy of the source that reads from log.
func (source Source[T]) WithLog(log Log) Source[T] {
	source.Log = log
	return source
}

// Listener receives changes in order. Its methods are called by one goroutine.
type Listener[T any] interface {
	// Replace replaces all values.
	Replace(values []Change[T])
	// Apply applies changes to the values.
	Apply(changes []Change[T])
	// Lost is called when the source stops responding, and Regained when it responds again.
	Lost()
	Regained()
}
