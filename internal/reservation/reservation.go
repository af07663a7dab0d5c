// Package reservation sets KV memory aside at several engines for one prompt,
// at all of them or at none, and gives it back. Memory is held for a short time
// and renewed while it is used, so that a VM that dies leaks nothing.
package reservation

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/upstream"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// maxReplyBytes bounds the reply to an order.
const maxReplyBytes = 64 << 10

// Settings tune reservations.
type Settings struct {
	// Hold is how long memory is set aside without being renewed. It is below
	// the 4 s in which the users want unused memory back.
	Hold time.Duration `yaml:"hold" validate:"min=100ms"`
	// Renew is the time between renewals.
	Renew time.Duration `yaml:"renew" validate:"min=10ms"`
	// OrderTime is how long an order may take.
	OrderTime time.Duration `yaml:"order_time" validate:"min=10ms"`
	// Again is the time between releases of memory of which an order went
	// unanswered, and Late how long such an order may still be carried out.
	Again time.Duration `yaml:"again" validate:"min=10ms"`
	Late  time.Duration `yaml:"late" validate:"min=10ms"`
}

// DefaultSettings returns settings for the users' platform, where an order may
// be carried out 12 s late.
func DefaultSettings() Settings {
	return Settings{
		Hold:      3500 * time.Millisecond,
		Renew:     1100 * time.Millisecond,
		OrderTime: 400 * time.Millisecond,
		Again:     2 * time.Second,
		Late:      13 * time.Second,
	}
}

// WithHoldAtMost returns the settings with memory set aside for no longer than
// that, unless it is zero. It is renewed as much sooner.
func (settings Settings) WithHoldAtMost(most time.Duration) Settings {
	if most <= 0 || settings.Hold <= most {
		return settings
	}
	settings.Renew = time.Duration(float64(settings.Renew) * float64(most) / float64(settings.Hold))
	settings.Hold = most
	return settings
}

// ReplyKind says whether an engine does what an order wants.
type ReplyKind string

// Kinds of reply.
const (
	// ReplyDone: it holds.
	ReplyDone ReplyKind = "done"
	// ReplyNotFree: there is no memory for it.
	ReplyNotFree ReplyKind = "not_free"
	// ReplyRefused: the engine does not take the order.
	ReplyRefused ReplyKind = "refused"
)

// Reply is what an engine says to an order.
type Reply struct {
	Kind ReplyKind
	// Free is the memory that it has left, in tokens. It counts for ReplyNotFree only.
	Free int
}

// Codec makes orders and reads replies.
type Codec interface {
	Reserve(instance, ticket string, tokens int, hold time.Duration) upstream.Request
	Release(instance, ticket string) upstream.Request
	// Reply returns an error when the bytes are no reply to an order.
	Reply(status int, body []byte) (Reply, error)
}

// Sender sends orders.
type Sender interface {
	Send(ctx context.Context, address string, request upstream.Request, fits func(http.Header) bool) (*upstream.Response, error)
}

// Want is memory that is wanted at one engine.
type Want struct {
	Instance string
	Address  string
	Tokens   int
}

// NotFreeError says at which engine memory could not be set aside.
type NotFreeError struct {
	Want

	// Reply is what the engine said, unless Err says that it said nothing.
	Reply Reply
	Err   error
}

// Error implements error.
func (e *NotFreeError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("memory at %s: %v", e.Instance, e.Err)
	}
	return fmt.Sprintf("memory at %s: %s, %d of %d tokens free", e.Instance, e.Reply.Kind, e.Reply.Free, e.Tokens)
}

// GatherError has all engines at which memory for one prompt could not be set aside.
type GatherError struct {
	Failures []*NotFreeError
}

// Error implements error.
func (e *GatherError) Error() string {
	return fmt.Sprintf("%d engines, the first: %v", len(e.Failures), e.Failures[0])
}

// Book makes reservations.
type Book struct {
	settings Settings
	codec    Codec
	sender   Sender
	logger   *slog.Logger
	now      func() time.Time
	// life ends the release of what was forgotten.
	life context.Context //nolint:containedctx // releases outlive the request they are for
}

// New returns a book of reservations that works until life ends.
func New(
	life context.Context, settings Settings, codec Codec, sender Sender,
	logger *slog.Logger, now func() time.Time,
) *Book {
	return &Book{settings: settings, codec: codec, sender: sender, logger: logger, now: now, life: life}
}

// Held is memory set aside for one prompt.
type Held struct {
	book   *Book
	ticket string
	wants  []Want
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// unanswered has when an order to each engine was last left unanswered.
	unanswered map[string]time.Time
}

// Gather sets memory aside at all engines or at none, under the same ticket. Its error is a
// GatherError.
func (book *Book) Gather(ctx context.Context, ticket string, wants []Want) (*Held, error) {
	held := &Held{book: book, ticket: ticket, wants: wants, unanswered: make(map[string]time.Time)}
	replies := make(chan *NotFreeError, len(wants))
	for _, want := range wants {
		go func() { replies <- held.reserve(ctx, want) }()
	}
	var failures []*NotFreeError
	for range wants {
		if failure := <-replies; failure != nil {
			failures = append(failures, failure)
		}
	}
	renewing, stop := context.WithCancel(book.life)
	held.stop = stop
	if len(failures) > 0 {
		held.Release()
		return nil, &GatherError{Failures: failures}
	}
	held.done.Go(func() { held.renew(renewing) })
	return held, nil
}

// Ticket names the memory.
func (held *Held) Ticket() string {
	return held.ticket
}

// Release gives the memory back, without waiting for it.
func (held *Held) Release() {
	held.stop()
	go func() {
		held.done.Wait()
		for _, want := range held.wants {
			go held.release(want)
		}
	}()
}

// renew renews the memory until ctx is done.
func (held *Held) renew(ctx context.Context) {
	for wait.For(ctx, held.book.settings.Renew) {
		for _, want := range held.wants {
			held.done.Go(func() {
				if failure := held.reserve(ctx, want); failure != nil && ctx.Err() == nil {
					held.book.logger.Warn("memory not renewed", "ticket", held.ticket, "server", want.Instance, "error", failure)
				}
			})
		}
	}
}

// reserve sets memory aside at one engine, or renews it. It returns nil when that is done.
func (held *Held) reserve(ctx context.Context, want Want) *NotFreeError {
	book := held.book
	request := book.codec.Reserve(want.Instance, held.ticket, want.Tokens, book.settings.Hold)
	reply, answered, err := held.order(ctx, want, request)
	if !answered {
		held.noteUnanswered(want)
	}
	if err != nil {
		return &NotFreeError{Want: want, Err: err}
	}
	if reply.Kind != ReplyDone {
		return &NotFreeError{Want: want, Reply: reply}
	}
	return nil
}

// release gives memory at one engine back, and again as long as an order that
// was left unanswered may still be carried out.
func (held *Held) release(want Want) {
	book := held.book
	for {
		request := book.codec.Release(want.Instance, held.ticket)
		_, _, err := held.order(book.life, want, request)
		held.mu.Lock()
		last, doubtful := held.unanswered[want.Instance]
		held.mu.Unlock()
		if !doubtful || book.now().Sub(last) > book.settings.Late {
			return
		}
		if err != nil {
			book.logger.Info("memory not released yet", "ticket", held.ticket, "server", want.Instance, "error", err)
		}
		if !wait.For(book.life, book.settings.Again) {
			return
		}
	}
}

// order sends one order. It reports false when the order was sent and not
// answered, so that it may be carried out late.
func (held *Held) order(ctx context.Context, want Want, request upstream.Request) (Reply, bool, error) {
	book := held.book
	bounded, cancel := context.WithTimeout(ctx, book.settings.OrderTime)
	defer cancel()
	response, err := book.sender.Send(bounded, want.Address, request, func(http.Header) bool { return true })
	if err != nil {
		var notSent *upstream.NotSentError
		return Reply{}, errors.As(err, &notSent), err //nolint:wrapcheck // says what was not sent
	}
	defer response.Close(0)
	body, err := io.ReadAll(io.LimitReader(response, maxReplyBytes))
	if err != nil {
		return Reply{}, false, errors.Wrap(err, "order")
	}
	reply, err := book.codec.Reply(response.Status, body)
	return reply, err == nil, err //nolint:wrapcheck // names the reply
}

// noteUnanswered notes that a reservation may still be carried out.
func (held *Held) noteUnanswered(want Want) {
	held.mu.Lock()
	defer held.mu.Unlock()
	held.unanswered[want.Instance] = held.book.now()
}
