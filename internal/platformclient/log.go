package platformclient

import (
	"context"
	"fmt"
)

// Log is one stream of the platform's append-only log service.
type Log interface {
	// Append adds an entry at the end. After an error the entry may still be
	// appended, immediately or later; only reading the log shows whether it was.
	Append(ctx context.Context, data []byte) error

	// Read returns entries in order, starting at offset from. If there are none
	// yet, it waits for one for a limited time, and then returns an empty page. It
	// returns an *ExpiredError if the log has already removed the offset.
	Read(ctx context.Context, from uint64) (Page, error)
}

// Entry is one entry of the log.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is a number of consecutive entries, and the offsets between which the log has entries.
type Page struct {
	Entries []Entry `json:"entries"`
	// First is the oldest offset that is still in the log.
	First uint64 `json:"first"`
	// Next is the offset of the entry that is appended next.
	Next uint64 `json:"next"`
}

// ExpiredError is returned if the requested offset is no longer in the log. First is the oldest one that is.
type ExpiredError struct {
	Requested uint64
	First     uint64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("log: offset %d has expired; the oldest offset is %d", e.Requested, e.First)
}
