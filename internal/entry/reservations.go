package entry

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// leaseRenewDivisor is the divisor of the lease that yields the interval of renewals.
const leaseRenewDivisor = 3

// reservations is the memory reserved for one attempt at a group of engines. While
// the remaining engines are waited for, the leases at the earlier ones are renewed.
type reservations struct {
	entry *Entry
	// name is "<attempt ID>@<engine ID>,<engine ID>,...", sorted by ID. The
	// request is sent to the first engine.
	name string
	// tokens is the memory to reserve at each engine.
	tokens int
	// requested lists the engines to which a reservation was sent, in order. The last
	// one may not have granted it.
	requested []routing.Server
}

// reserveMemory reserves memory at all servers, or at none. All entries reserve in the
// order of server IDs, and wait for one engine while they hold reservations at
// those before it. This order prevents deadlocks between groups. While a group
// waits, no other group can take the memory that it has reserved.
func (forwarder *forwarder) reserveMemory(ctx context.Context, servers []routing.Server) (*reservations, *result) {
	memory := forwarder.routingRequest().RequiredMemory()
	reserved := &reservations{
		entry:  forwarder.entry,
		name:   attemptID(forwarder.request.ID, forwarder.attempts-1) + "@" + strings.Join(serverIDs(servers), ","),
		tokens: (memory + len(servers) - 1) / len(servers),
	}
	for _, server := range servers {
		reserved.requested = append(reserved.requested, server)
		err := reserved.reserveAt(ctx, server)
		if err == nil {
			continue
		}
		reserved.release()
		if ctx.Err() != nil {
			return nil, &result{kind: resultInterrupted}
		}
		return nil, &result{kind: resultNotRun, reason: request.ReasonEngineRefused, server: server.ID, err: err}
	}
	return reserved, nil
}

// reserveAt polls one engine until the memory is reserved, and renews the
// reservations at the earlier engines meanwhile. It returns an error if the engine
// is draining or unreachable, if a renewal fails, or if ctx ends.
func (reservations *reservations) reserveAt(ctx context.Context, server routing.Server) error {
	entry := reservations.entry
	renewedAt := entry.now()
	for {
		err := reservations.requestReservation(ctx, server)
		if err == nil {
			return nil
		}
		var refused *backend.NotRunError
		if !errors.As(err, &refused) || refused.Draining || refused.Unreachable {
			return err
		}
		wait.For(ctx, entry.settings.Group.PollInterval)
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
		if entry.now().Sub(renewedAt) > entry.settings.Group.Lease/leaseRenewDivisor {
			renewedAt = entry.now()
			err = reservations.renew(ctx, server)
		}
		if err != nil && !errors.As(err, &refused) {
			return err
		}
	}
}

// renew renews the reservations at the engines before server.
func (reservations *reservations) renew(ctx context.Context, server routing.Server) error {
	for _, earlier := range reservations.requested {
		if earlier.ID == server.ID {
			return nil
		}
		err := reservations.requestReservation(ctx, earlier)
		if err != nil {
			return errors.Newf("reservation at %s lost: %v", earlier.ID, err)
		}
	}
	return nil
}

func (reservations *reservations) requestReservation(ctx context.Context, server routing.Server) error {
	reserveCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return reservations.entry.backends.Reserve(reserveCtx, server.Address, reservations.name, backend.Reservation{
		Tokens: reservations.tokens,
		TTLMS:  reservations.entry.settings.Group.Lease.Milliseconds(),
	})
}

// release releases the reservations in the background. Those that cannot be
// released expire with their lease.
func (reservations *reservations) release() {
	for _, server := range reservations.requested {
		reservations.entry.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
			defer cancel()
			_ = reservations.entry.backends.Release(ctx, server.Address, reservations.name)
		})
	}
}
