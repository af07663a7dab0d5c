package infra

import (
	"context"
	"fmt"
)

// Log is one stream of the platform's append-only log service.
type Log interface {
	// Append adds an entry at the end. After an error the entry may still be
	// in the log, now or later; only reading tells.
	Append(ctx context.Context, data []byte) error

	// Read returns entries from offset from on, in order. It waits a while
	// for one if there is none yet; an empty page is no error.
	Read(ctx context.Context, from uint64) (Page, error)
}

// Entry is one entry of the log.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is a run of consecutive entries.
type Page struct {
	Entries []Entry `json:"entries"`
	// First is the oldest offset that the log still holds.
	First uint64 `json:"first"`
	// Next is the offset that the next appended entry will get.
	Next uint64 `json:"next"`
}

// ExpiredError says that entries were asked for that the log no longer holds.
type ExpiredError struct {
	Wanted uint64
	First  uint64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("log: offset %d has expired, the oldest held is %d", e.Wanted, e.First)
}
