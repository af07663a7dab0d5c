// Package events reads a stream of server-sent events one event at a time.
package events

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxBytes is the maximum size of one event in bytes.
const MaxBytes = 256 << 10

// ErrPartial is returned if the stream ends within an event.
var ErrPartial = errors.New("event stream ended within an event")

// ErrTooLong is returned for an event of more than MaxBytes.
var ErrTooLong = errors.New("event exceeds the maximum size")

// Event is a block of fields and comments of the stream.
type Event struct {
	// ID is the value of the id field, or empty.
	ID string
	// HasData is whether the block has a data field. One without is no event by the standard of server-sent events: it is a
	// comment, or sets the ID or the retry time.
	HasData bool
	// Raw is the block as received, including the blank line at its end.
	Raw []byte
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	buffered *bufio.Reader
}

// NewReader returns a reader of the events in source. It buffers, so source must not be read by other code.
func NewReader(source io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReader(source)}
}

// Next returns the next complete block. It returns io.EOF if the stream ended
// after a complete block, and ErrPartial if it ended within one.
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
			return Event{}, err //nolint:wrapcheck // callers compare with io.EOF
		}
		content := bytes.TrimRight(event.Raw[lineStart:], "\r\n")
		lineStart = len(event.Raw)
		if len(content) == 0 {
			return event, nil
		}
		name, value, _ := bytes.Cut(content, []byte(":"))
		switch string(name) {
		case "id":
			event.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		case "data":
			event.HasData = true
		}
	}
}
