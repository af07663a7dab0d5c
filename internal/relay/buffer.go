// Package relay buffers the responses that an entry process relays from backend
// servers to callers. A response is buffered from its start, so that a caller whose
// connection was lost can resume after any token.
package relay

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/request"
)

// Token is one token of a response, with the attempt and server that it came from.
type Token struct {
	// Seq is the index of the token in the response, starting at 0.
	Seq  int
	Text string
	// Attempt and Server let another entry process find the stream.
	Attempt int
	Server  string
}

// Position identifies a token, so that another entry process can resume the response
// after it.
type Position struct {
	Seq     int
	Attempt int
	Server  string
}

// Position returns the position of the token.
func (token Token) Position() Position {
	return Position{Seq: token.Seq, Attempt: token.Attempt, Server: token.Server}
}

// String returns the position as an event ID.
func (position Position) String() string {
	return fmt.Sprintf("%d~%d~%s", position.Seq, position.Attempt, position.Server)
}

// ParsePosition parses an event ID. It returns a *request.FieldError if the event ID
// is not valid.
func ParsePosition(text string) (Position, error) {
	parts := strings.SplitN(text, "~", 3)
	if len(parts) == 3 {
		seq, seqErr := strconv.Atoi(parts[0])
		attempt, attemptErr := strconv.Atoi(parts[1])
		if seqErr == nil && attemptErr == nil && seq >= 0 && attempt >= 0 {
			return Position{Seq: seq, Attempt: attempt, Server: parts[2]}, nil
		}
	}
	return Position{}, &request.FieldError{
		Field:   "Last-Event-ID",
		Problem: fmt.Sprintf("%q is not an event ID of this service", text),
	}
}

// Buffer holds the part of the response to one request that has been received. It is
// safe for concurrent use.
type Buffer struct {
	// Base is the index of the first token in the buffer. Earlier tokens are not
	// available.
	Base int

	mu sync.Mutex
	// tokens has consecutive indexes, starting at Base.
	tokens []Token
	// started is set when a backend server has accepted the request.
	started bool
	// outcome is nil until the request has ended, and then does not change.
	outcome *request.Outcome
	// endedAt is when the request ended.
	endedAt time.Time
	readers int
	// detachedAt is when the last reader detached, or when the buffer was created.
	detachedAt time.Time
	// changed is closed, and replaced, when there are new tokens or started or outcome
	// changes.
	changed chan struct{}
}

// NewBuffer returns an empty buffer whose first token will have the index base.
func NewBuffer(base int, now time.Time) *Buffer {
	return &Buffer{
		Base:       base,
		detachedAt: now,
		changed:    make(chan struct{}),
	}
}

// MarkStarted records that a backend server has accepted the request.
func (buffer *Buffer) MarkStarted() {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	buffer.started = true
	buffer.notifyChanged()
}

// Add adds the token if it is the next one and the request has not ended, and
// reports whether it did. Other tokens are late or duplicates.
func (buffer *Buffer) Add(token Token) bool {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	if buffer.outcome != nil || token.Seq != buffer.Base+len(buffer.tokens) {
		return false
	}
	buffer.tokens = append(buffer.tokens, token)
	buffer.notifyChanged()
	return true
}

// End records the outcome of the request. Calls after the first have no effect.
func (buffer *Buffer) End(outcome request.Outcome, now time.Time) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	if buffer.outcome != nil {
		return
	}
	buffer.outcome = &outcome
	buffer.endedAt = now
	buffer.notifyChanged()
}

// Next returns the index of the next token.
func (buffer *Buffer) Next() int {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.Base + len(buffer.tokens)
}

// View is the content of a buffer from some token on.
type View struct {
	Tokens []Token
	// Started is set when a backend server has accepted the request.
	Started bool
	// Outcome is nil until the request has ended.
	Outcome *request.Outcome
	// Changed is closed when the buffer has changed since the view was made.
	Changed <-chan struct{}
}

// ViewFrom returns the content from the token with index from on.
func (buffer *Buffer) ViewFrom(from int) View {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	start := min(max(0, from-buffer.Base), len(buffer.tokens))
	return View{
		Tokens:  buffer.tokens[start:len(buffer.tokens):len(buffer.tokens)],
		Started: buffer.started,
		Outcome: buffer.outcome,
		Changed: buffer.changed,
	}
}

// Attach adds a reader until the returned function is called. Calling that function
// again has no effect.
func (buffer *Buffer) Attach(now func() time.Time) func() {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	buffer.readers++
	return sync.OnceFunc(func() {
		buffer.mu.Lock()
		defer buffer.mu.Unlock()
		buffer.readers--
		buffer.detachedAt = now()
	})
}

// UnreadSince reports whether there has been no reader since that time.
func (buffer *Buffer) UnreadSince(since time.Time) bool {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.readers == 0 && buffer.detachedAt.Before(since)
}

// EndedBefore reports whether the request has ended, and did so before that time.
func (buffer *Buffer) EndedBefore(limit time.Time) bool {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.outcome != nil && buffer.endedAt.Before(limit)
}

// notifyChanged closes and replaces the channel of changes. mu must be held.
func (buffer *Buffer) notifyChanged() {
	close(buffer.changed)
	buffer.changed = make(chan struct{})
}
