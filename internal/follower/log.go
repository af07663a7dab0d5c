package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTrimmed says that the changes asked for are not kept any more.
var ErrTrimmed = errors.New("changes are not kept any more")

// Everything is the offset that asks for the newest value of all keys.
const Everything int64 = -1

// Record is a value of a key as the source keeps it.
type Record struct {
	Key string
	// Value is empty when the key was dropped.
	Value []byte
}

// Page is an answer of a log.
type Page struct {
	Records []Record
	// Next is the offset from which later changes are to be read.
	Next int64
	// Whole says that Records has the newest values of all keys, and not
	// changes.
	Whole bool
	// Age is how old the content may have been when the question was asked. It
	// is below zero when the content was proven after that.
	Age time.Duration
}

// Log gives values and their changes, in order.
type Log interface {
	// Read returns the changes from offset on, or everything. It waits that long
	// for the first change, and returns ErrTrimmed when there is a gap.
	Read(ctx context.Context, offset int64, wait time.Duration) (Page, error)
}
