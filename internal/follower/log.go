package follower

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/epoch"
)

// ErrTrimmed says that the changes asked for are not kept any more.
var ErrTrimmed = errors.New("changes are not kept any more")

var _ slog.LogValuer = Position{}

// Position is a place in a log. The zero value is before everything: it asks for the newest value of all keys.
type Position struct {
	// Epoch is the one in which the offset counts.
	Epoch epoch.Number
	// next is one more than the offset, so that the zero value is none.
	next int64
}

// At returns the position of an offset, which is never below zero.
func At(number epoch.Number, offset int64) Position {
	return Position{Epoch: number, next: offset + 1}
}

// Offset returns the offset. It reports false for the position before everything.
func (position Position) Offset() (int64, bool) {
	return position.next - 1, position.next > 0
}

// Record is a value of a key as the source keeps it.
type Record struct {
	Key string
	// Value is empty when the key was dropped.
	Value []byte
}

// LogValue implements slog.LogValuer.
func (position Position) LogValue() slog.Value {
	offset, some := position.Offset()
	if !some {
		return slog.StringValue("before everything")
	}
	return slog.StringValue(fmt.Sprintf("%d in epoch %d", offset, position.Epoch))
}

// Page is an answer of a log.
type Page struct {
	Records []Record
	// Epoch is the one in which the source answered.
	Epoch epoch.Number
	// Next is the offset from which later changes are to be read.
	Next int64
	// Whole says that Records has the newest values of all keys, and not
	// changes.
	Whole bool
	// Age is how old the content may have been when the question was asked. It
	// is below zero when the content was proven after that.
	Age time.Duration
	// Unsettled says that the source came back older a moment ago, so that others may not have written again yet:
	// the page is as new as there is, and proves nothing.
	Unsettled bool
}

// Position returns where later changes are to be read.
func (page Page) Position() Position {
	return At(page.Epoch, page.Next)
}

// Log gives values and their changes, in order.
type Log interface {
	// Read returns the changes from a position on, or everything. It waits that long
	// for the first change, and returns ErrTrimmed when there is a gap, as there is where the
	// position is of another epoch.
	Read(ctx context.Context, from Position, wait time.Duration) (Page, error)
}
