package ledger

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// uuidVersion is the version of UUIDs that contain their creation time (RFC 9562).
const uuidVersion = 7

// Key is the idempotency key of a request, which may run at most once within an
// organisation.
type Key struct {
	Organisation string
	// Value is a UUID of version 7 in canonical form.
	Value string
	// Time is when the caller created the key, in milliseconds since 1970.
	Time uint64
}

// KeyError is returned for a key that is not valid.
type KeyError struct {
	Value   string
	Problem string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("key %q: %s", e.Value, e.Problem)
}

// NewKey parses value, which must be a UUID of version 7. Otherwise it returns a
// *KeyError.
func NewKey(organisation, value string) (Key, error) {
	id, err := uuid.Parse(value)
	if err != nil {
		return Key{}, &KeyError{Value: value, Problem: "must be a UUID of version 7"}
	}
	if id.Version() != uuidVersion {
		return Key{}, &KeyError{
			Value:   value,
			Problem: fmt.Sprintf("must be a UUID of version 7, which carries its time, but is version %d", id.Version()),
		}
	}
	var milliseconds [8]byte
	copy(milliseconds[2:], id[:6])
	return Key{
		Organisation: organisation,
		Value:        id.String(),
		Time:         binary.BigEndian.Uint64(milliseconds[:]),
	}, nil
}

// CheckTime returns a *KeyError if the key's time is more than maxAhead after now.
func (key Key) CheckTime(now time.Time, maxAhead time.Duration) error {
	created := time.UnixMilli(int64(key.Time)) //nolint:gosec // 48 bits
	if created.After(now.Add(maxAhead)) {
		return &KeyError{
			Value:   key.Value,
			Problem: fmt.Sprintf("its time is more than %s ahead", maxAhead),
		}
	}
	return nil
}

// Wire returns the key as it is encoded in records.
func (key Key) Wire() *wire.Key {
	return &wire.Key{Organisation: key.Organisation, Value: key.Value}
}
