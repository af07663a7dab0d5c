// Package relay holds the answers that an entry passes on: whole from their
// start, so that a caller who was cut off can go on anywhere in them.
package relay

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/request"
)

// Token is one token of an answer, and where it came from.
type Token struct {
	// Seq counts from zero without gaps.
	Seq  int
	Text string
	// Attempt and Server let another entry find the stream.
	Attempt int
	Server  string
}

// Position names a token so that another entry can resume after it.
type Position struct {
	Seq     int
	Attempt int
	Server  string
}

// Position returns the position of the token.
func (token Token) Position() Position {
	return Position{Seq: token.Seq, Attempt: token.Attempt, Server: token.Server}
}

// String returns the position as it stands in event IDs.
func (position Position) String() string {
	return fmt.Sprintf("%d~%d~%s", position.Seq, position.Attempt, position.Server)
}

// ParsePosition parses an event ID.
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

// Buffer is the answer to one request as far as it has come.
type Buffer struct {
	// Base is the number of the first token held; the ones before are lost.
	Base int

	mu sync.Mutex
	// tokens has consecutive numbers, the first of which is Base.
	tokens []Token
	// started says that a backend server took the request.
	started bool
	// outcome is nil until the request has ended, and then does not change.
	outcome  *request.Outcome
	ended    time.Time
	readers  int
	detached time.Time
	// changed is closed, and replaced, when any of the above changes.
	changed chan struct{}
}

// NewBuffer returns a buffer whose first token will be base.
func NewBuffer(base int, now time.Time) *Buffer {
	return &Buffer{
		Base:     base,
		detached: now,
		changed:  make(chan struct{}),
	}
}

// Start notes that a backend server took the request.
func (buffer *Buffer) Start() {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	buffer.started = true
	buffer.signal()
}

// Add adds the token if it is the next one, and reports whether it was. Any
// other is late or doubled.
func (buffer *Buffer) Add(token Token) bool {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	if buffer.outcome != nil || token.Seq != buffer.Base+len(buffer.tokens) {
		return false
	}
	buffer.tokens = append(buffer.tokens, token)
	buffer.signal()
	return true
}

// End settles the answer. Only the first call counts.
func (buffer *Buffer) End(outcome request.Outcome, now time.Time) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	if buffer.outcome != nil {
		return
	}
	buffer.outcome = &outcome
	buffer.ended = now
	buffer.signal()
}

// Next returns the number of the next token.
func (buffer *Buffer) Next() int {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.Base + len(buffer.tokens)
}

// View is what a buffer holds from some token on.
type View struct {
	Tokens []Token
	// Started says that a backend server took the request.
	Started bool
	// Outcome is nil until the request has ended.
	Outcome *request.Outcome
	// Changed is closed when there is more.
	Changed <-chan struct{}
}

// From returns what there is from token from on.
func (buffer *Buffer) From(from int) View {
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

// Attach counts a reader, until the returned function is called.
func (buffer *Buffer) Attach(now func() time.Time) func() {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	buffer.readers++
	return sync.OnceFunc(func() {
		buffer.mu.Lock()
		defer buffer.mu.Unlock()
		buffer.readers--
		buffer.detached = now()
	})
}

// Unread reports whether nobody has read the answer since before.
func (buffer *Buffer) Unread(before time.Time) bool {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.readers == 0 && buffer.detached.Before(before)
}

// EndedBefore reports whether the request ended before that time.
func (buffer *Buffer) EndedBefore(before time.Time) bool {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.outcome != nil && buffer.ended.Before(before)
}

func (buffer *Buffer) signal() {
	close(buffer.changed)
	buffer.changed = make(chan struct{})
}
