// Package events splits a series of server-sent events into whole events.
package events

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxBytes bounds one event.
const MaxBytes = 256 << 10

// ErrPartial says that the series ended within an event.
var ErrPartial = errors.New("series ended within an event")

// ErrTooLong says that an event has more than MaxBytes.
var ErrTooLong = errors.New("event is too long")

// Event is one event.
type Event struct {
	// ID is the event's, or empty.
	ID string
	// Raw is the event as it came, with the blank line at its end.
	Raw []byte
}

// Reader reads whole events.
type Reader struct {
	buffered *bufio.Reader
}

// NewReader returns a reader of the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReader(source)}
}

// Next returns the next whole event. It returns io.EOF when the series ended
// after a whole event, and ErrPartial when it ended within one.
func (reader *Reader) Next() (Event, error) {
	event := Event{}
	lineStart := 0
	for {
		fragment, err := reader.buffered.ReadSlice('\n')
		event.Raw = append(event.Raw, fragment...)
		switch {
		case len(event.Raw) > MaxBytes:
			return Event{}, ErrTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event.Raw) > 0:
			return Event{}, ErrPartial
		case err != nil:
			return Event{}, err //nolint:wrapcheck // io.EOF stays itself
		}
		content := bytes.TrimRight(event.Raw[lineStart:], "\r\n")
		lineStart = len(event.Raw)
		if len(content) == 0 {
			return event, nil
		}
		if value, found := bytes.CutPrefix(content, []byte("id:")); found {
			event.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
