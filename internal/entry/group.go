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

// renewPart is the part of a lease after which it is renewed.
const renewPart = 3

// reservations is the memory held for one attempt at a group of engines. The
// leases of those gathered so far are renewed until the group is released or
// its stream has bound them.
type reservations struct {
	entry *Entry
	// name is "<attempt>@<engine>,<engine>,...", in the order of IDs. The
	// first engine leads.
	name   string
	tokens int
	// held has the engines that were asked, in order; the last may not hold.
	held []routing.Server
}

// reserve gathers memory at all servers, or at none. All entries ask in the
// order of IDs and wait at one engine while they hold those before it, so no
// two groups wait for each other, and a group that waits is not overtaken at
// what it holds.
func (run *run) reserve(ctx context.Context, servers []routing.Server) (*reservations, *result) {
	need := run.routingRequest().Need()
	reserved := &reservations{
		entry:  run.entry,
		name:   attemptID(run.request.ID, run.attempts-1) + "@" + strings.Join(serverIDs(servers), ","),
		tokens: (need + len(servers) - 1) / len(servers),
	}
	for _, server := range servers {
		reserved.held = append(reserved.held, server)
		err := reserved.gather(ctx, server)
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

// gather waits for memory at one engine.
func (reservations *reservations) gather(ctx context.Context, server routing.Server) error {
	entry := reservations.entry
	renewed := entry.now()
	for {
		err := reservations.ask(ctx, server)
		if err == nil {
			return nil
		}
		var refused *backend.NotRunError
		if !errors.As(err, &refused) || refused.Leaving || refused.Unreachable {
			return err
		}
		wait.For(ctx, entry.settings.Group.Poll)
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
		if entry.now().Sub(renewed) > entry.settings.Group.Lease/renewPart {
			renewed = entry.now()
			err = reservations.renew(ctx, server)
		}
		if err != nil && !errors.As(err, &refused) {
			return err
		}
	}
}

// renew asks again for what is held at the engines before server.
func (reservations *reservations) renew(ctx context.Context, server routing.Server) error {
	for _, held := range reservations.held {
		if held.ID == server.ID {
			return nil
		}
		err := reservations.ask(ctx, held)
		if err != nil {
			return errors.Newf("reservation at %s lost: %v", held.ID, err)
		}
	}
	return nil
}

func (reservations *reservations) ask(ctx context.Context, server routing.Server) error {
	asking, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	return reservations.entry.backends.Reserve(asking, server.Address, reservations.name, backend.Reservation{
		Tokens: reservations.tokens,
		TTLMS:  reservations.entry.settings.Group.Lease.Milliseconds(),
	})
}

// release gives back what is held, without waiting. What cannot be given back
// lapses by itself.
func (reservations *reservations) release() {
	for _, server := range reservations.held {
		reservations.entry.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), orderTime)
			defer cancel()
			_ = reservations.entry.backends.Release(ctx, server.Address, reservations.name)
		})
	}
}
