package follower

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/epoch"
)

// ErrTrimmed is returned if the requested changes are no longer available, so that all values must be read.
var ErrTrimmed = errors.New("changes have been trimmed")

var _ slog.LogValuer = Position{}

// Position is a position in a log. The zero value requests the latest value of every key.
type Position struct {
	// Epoch is the epoch in which the offset is valid.
	Epoch epoch.Number
	// next is the offset plus one, so that the zero value means no offset.
	next int64
}

// At returns the position of an offset in an epoch. The offset must not be negative.
func At(number epoch.Number, offset int64) Position {
	return Position{Epoch: number, next: offset + 1}
}

// Offset returns the offset. It reports false for the zero position, which has none.
func (position Position) Offset() (int64, bool) {
	return position.next - 1, position.next > 0
}

// Record is a key with its value as stored in the source.
type Record struct {
	Key string
	// Value is empty when the key was dropped.
	Value []byte
}

// LogValue implements slog.LogValuer.
func (position Position) LogValue() slog.Value {
	offset, hasOffset := position.Offset()
	if !hasOffset {
		return slog.StringValue("all values")
	}
	return slog.StringValue(fmt.Sprintf("%d in epoch %d", offset, position.Epoch))
}

// Page is the response of a log to a read.
type Page struct {
	Records []Record
	// Epoch is the epoch of the source at the time of the response.
	Epoch epoch.Number
	// Next is the offset of the next change.
	Next int64
	// Whole says that Records has the latest values of all keys, and not
	// changes.
	Whole bool
	// Age is the time from the last confirmation of the content as current to
	// the start of the read. It is negative if the confirmation was later.
	Age time.Duration
	// Unsettled says that the source was rolled back recently, and that records lost in the rollback may not have been
	// written again yet: no newer page exists, but this one confirms nothing.
	Unsettled bool
}

// Position returns the position of the next read.
func (page Page) Position() Position {
	return At(page.Epoch, page.Next)
}

// Log is an ordered log of values and their changes.
type Log interface {
	// Read returns the changes since a position, or all values for the zero position. It
	// waits up to wait for the first change. It returns ErrTrimmed if changes are missing,
	// for example because the position is of another epoch.
	Read(ctx context.Context, from Position, wait time.Duration) (Page, error)
}
