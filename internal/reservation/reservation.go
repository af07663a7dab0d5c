// Package reservation reserves KV memory for one prompt at several engines, at all of them or at
// none, and releases it. A reservation lasts for a short time and is renewed while it is in use, so
// that a VM that stops leaks no memory.
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

// maxReplyBytes limits the size of the reply to a command.
const maxReplyBytes = 64 << 10

// Settings configure reservations.
type Settings struct {
	// TTL is the time after which an engine releases a reservation that is not renewed. It must be
	// below 4 s, the time within which the users require unused memory to be released.
	TTL time.Duration `yaml:"hold" validate:"min=100ms"`
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration `yaml:"renew" validate:"min=10ms"`
	// CommandTimeout is the timeout of a command to an engine.
	CommandTimeout time.Duration `yaml:"order_time" validate:"min=10ms"`
	// ReleaseRetryInterval is the interval between attempts to release memory after a reserve
	// command without a reply. LateCommandWindow is the time for which the engine may still execute
	// such a command.
	ReleaseRetryInterval time.Duration `yaml:"again" validate:"min=10ms"`
	LateCommandWindow    time.Duration `yaml:"late" validate:"min=10ms"`
}

// DefaultSettings returns the settings for the users' platform, where an engine may execute a
// command 12 s late.
func DefaultSettings() Settings {
	return Settings{
		TTL:                  3500 * time.Millisecond,
		RenewInterval:        1100 * time.Millisecond,
		CommandTimeout:       400 * time.Millisecond,
		ReleaseRetryInterval: 2 * time.Second,
		LateCommandWindow:    13 * time.Second,
	}
}

// WithMaxTTL returns the settings with TTL limited to maxTTL. The renewal interval is shortened in
// proportion. Zero means no limit.
func (settings Settings) WithMaxTTL(maxTTL time.Duration) Settings {
	if maxTTL <= 0 || settings.TTL <= maxTTL {
		return settings
	}
	settings.RenewInterval = time.Duration(float64(settings.RenewInterval) * float64(maxTTL) / float64(settings.TTL))
	settings.TTL = maxTTL
	return settings
}

// ReplyKind is the result of a command.
type ReplyKind string

// Kinds of reply.
const (
	// ReplyDone means that the engine has executed the command.
	ReplyDone ReplyKind = "done"
	// ReplyNotFree means that the engine has too little free memory.
	ReplyNotFree ReplyKind = "not_free"
	// ReplyRefused means that the engine does not accept the command.
	ReplyRefused ReplyKind = "refused"
)

// Reply is an engine's reply to a command.
type Reply struct {
	Kind ReplyKind
	// Free is the engine's free memory, in tokens. It is valid for ReplyNotFree only.
	Free int
}

// Codec encodes commands and decodes replies. A ticket identifies a reservation at an engine.
type Codec interface {
	Reserve(instance, ticket string, tokens int, ttl time.Duration) upstream.Request
	Release(instance, ticket string) upstream.Request
	// IsReply reports whether a response with the header is a reply to a command, and not a late response to a request.
	IsReply(header http.Header) bool
	// Reply decodes a reply. It returns an error when the body is not a reply to a command.
	Reply(status int, body []byte) (Reply, error)
}

// Sender sends commands to the engine at an address. The response is discarded if fits returns
// false for its header.
type Sender interface {
	Send(ctx context.Context, address string, request upstream.Request, fits func(http.Header) bool) (*upstream.Response, error)
}

// Claim is the memory to reserve at one engine. Tokens is its size.
type Claim struct {
	Instance string
	Address  string
	Tokens   int
}

// EngineError reports an engine at which memory could not be reserved.
type EngineError struct {
	Claim

	// Reply is the engine's reply, unless Err is set. Err is the reason why there is no valid
	// reply.
	Reply Reply
	Err   error
}

// Error implements error.
func (e *EngineError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("reserve memory at %s: %v", e.Instance, e.Err)
	}
	if e.Reply.Kind != ReplyNotFree {
		return fmt.Sprintf("reserve memory at %s: %s", e.Instance, e.Reply.Kind)
	}
	return fmt.Sprintf("reserve memory at %s: %s, %d tokens free, %d required", e.Instance, e.Reply.Kind, e.Reply.Free, e.Tokens)
}

// ReserveError lists all engines at which memory for one prompt could not be reserved. Failures is
// never empty.
type ReserveError struct {
	Failures []*EngineError
}

// Error implements error.
func (e *ReserveError) Error() string {
	return fmt.Sprintf("memory reservation failed at %d engines, first error: %v", len(e.Failures), e.Failures[0])
}

// Manager makes reservations. It is safe for concurrent use.
type Manager struct {
	settings Settings
	codec    Codec
	sender   Sender
	logger   *slog.Logger
	now      func() time.Time
	// lifetime ends renewals and releases when it is done. The context of a request can't do that,
	// since its memory is still released after the request has ended.
	lifetime context.Context //nolint:containedctx // releases outlive their requests
}

// New returns a manager that renews and releases reservations until lifetime is done.
func New(
	lifetime context.Context, settings Settings, codec Codec, sender Sender,
	logger *slog.Logger, now func() time.Time,
) *Manager {
	return &Manager{settings: settings, codec: codec, sender: sender, logger: logger, now: now, lifetime: lifetime}
}

// Reservation is memory reserved for one prompt at one or more engines.
type Reservation struct {
	manager *Manager
	ticket  string
	claims  []Claim
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu sync.Mutex
	// unanswered has the time of the last reserve command without a reply, by engine.
	unanswered map[string]time.Time
}

// Reserve reserves memory at all engines of the claims, or at none, under one ticket, which
// identifies the reservation at the engines. It returns a *ReserveError if any engine fails.
func (manager *Manager) Reserve(ctx context.Context, ticket string, claims []Claim) (*Reservation, error) {
	reservation := &Reservation{manager: manager, ticket: ticket, claims: claims, unanswered: make(map[string]time.Time)}
	replies := make(chan *EngineError, len(claims))
	for _, claim := range claims {
		go func() { replies <- reservation.reserve(ctx, claim) }()
	}
	var failures []*EngineError
	for range claims {
		if failure := <-replies; failure != nil {
			failures = append(failures, failure)
		}
	}
	renewing, stop := context.WithCancel(manager.lifetime)
	reservation.stop = stop
	if len(failures) > 0 {
		reservation.Release()
		return nil, &ReserveError{Failures: failures}
	}
	reservation.done.Go(func() { reservation.renew(renewing) })
	return reservation, nil
}

// Ticket returns the ticket, the ID under which the engines hold the memory.
func (reservation *Reservation) Ticket() string {
	return reservation.ticket
}

// Release releases the memory in the background.
func (reservation *Reservation) Release() {
	reservation.stop()
	go func() {
		reservation.done.Wait()
		for _, claim := range reservation.claims {
			go reservation.release(claim)
		}
	}()
}

// renew renews the reservation periodically until ctx is done.
func (reservation *Reservation) renew(ctx context.Context) {
	for wait.For(ctx, reservation.manager.settings.RenewInterval) {
		for _, claim := range reservation.claims {
			reservation.done.Go(func() {
				if failure := reservation.reserve(ctx, claim); failure != nil && ctx.Err() == nil {
					reservation.manager.logger.Warn("failed to renew memory reservation", "ticket", reservation.ticket, "server", claim.Instance, "error", failure)
				}
			})
		}
	}
}

// reserve reserves memory at one engine, or renews it. It returns nil on success.
func (reservation *Reservation) reserve(ctx context.Context, claim Claim) *EngineError {
	manager := reservation.manager
	request := manager.codec.Reserve(claim.Instance, reservation.ticket, claim.Tokens, manager.settings.TTL)
	reply, answered, err := reservation.sendCommand(ctx, claim, request)
	if !answered {
		reservation.recordUnanswered(claim)
	}
	if err != nil {
		return &EngineError{Claim: claim, Err: err}
	}
	if reply.Kind != ReplyDone {
		return &EngineError{Claim: claim, Reply: reply}
	}
	return nil
}

// release releases the memory at one engine. It repeats the command while the engine may still
// execute an earlier reserve command that got no reply, since that would reserve the memory again.
func (reservation *Reservation) release(claim Claim) {
	manager := reservation.manager
	for {
		request := manager.codec.Release(claim.Instance, reservation.ticket)
		_, _, err := reservation.sendCommand(manager.lifetime, claim, request)
		reservation.mu.Lock()
		last, outstanding := reservation.unanswered[claim.Instance]
		reservation.mu.Unlock()
		if !outstanding || manager.now().Sub(last) > manager.settings.LateCommandWindow {
			return
		}
		if err != nil {
			manager.logger.Info("failed to release memory reservation; retrying", "ticket", reservation.ticket, "server", claim.Instance, "error", err)
		}
		if !wait.For(manager.lifetime, manager.settings.ReleaseRetryInterval) {
			return
		}
	}
}

// sendCommand sends one command and returns its reply. The boolean is false when the command was
// sent but got no valid reply, so that the engine may still execute it later.
func (reservation *Reservation) sendCommand(ctx context.Context, claim Claim, request upstream.Request) (Reply, bool, error) {
	manager := reservation.manager
	timeoutCtx, cancel := context.WithTimeout(ctx, manager.settings.CommandTimeout)
	defer cancel()
	response, err := manager.sender.Send(timeoutCtx, claim.Address, request, manager.codec.IsReply)
	if err != nil {
		var notSent *upstream.NotSentError
		return Reply{}, errors.As(err, &notSent), err //nolint:wrapcheck // the error of Send has the context
	}
	defer response.Close(0)
	body, err := io.ReadAll(io.LimitReader(response, maxReplyBytes))
	if err != nil {
		return Reply{}, false, errors.Wrap(err, "read reply to reservation command")
	}
	reply, err := manager.codec.Reply(response.Status, body)
	return reply, err == nil, err //nolint:wrapcheck // the error of the codec has the context
}

// recordUnanswered records that the engine may still execute a reserve command.
func (reservation *Reservation) recordUnanswered(claim Claim) {
	reservation.mu.Lock()
	defer reservation.mu.Unlock()
	reservation.unanswered[claim.Instance] = reservation.manager.now()
}
