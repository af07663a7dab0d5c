package keeper

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/link"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Waits of the follower.
const (
	readRetry   = 250 * time.Millisecond
	readTimeout = 10 * time.Second
	peerTimeout = 3 * time.Second
)

// follower reads the log into the hub. It gets a base from the newest
// checkpoint when entries have expired, and from a peer when the log is down.
type follower struct {
	log         infra.Log
	checkpoints infra.Log
	hub         *hub
	// peers returns the addresses of other keepers.
	peers       func() []string
	credentials link.Credentials
	options     link.Options
	metrics     *metrics
	logger      *slog.Logger

	// ready is set once the state is as new as the log was, or was taken
	// from a peer.
	ready atomic.Bool
	// shorter says that the log lost entries that were folded. Its offsets mean others from then on, so nothing of it is
	// folded any more: else this keeper would go on without what stands there now, unlike one that starts then.
	shorter bool
}

// errShorter says that the log lost entries that were folded.
var errShorter = errors.New("log lost entries that were folded; start this process again")

// run follows the log until ctx is done.
func (follower *follower) run(ctx context.Context) {
	for ctx.Err() == nil && !follower.shorter {
		err := follower.read(ctx)
		if expired, ok := asExpired(err); ok {
			follower.logger.Info("entries expired, a base is needed", "wanted", expired.Wanted, "first", expired.First)
			err = follower.rebase(ctx, expired.First)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		follower.metrics.logUp.Set(0)
		follower.logger.Warn("log cannot be followed", "next_offset", follower.hub.replica.Next(), "error", err)
		if !follower.ready.Load() && !follower.shorter {
			follower.takeFromPeer(ctx)
		}
		wait.For(ctx, readRetry)
	}
}

// read applies one page of the log.
func (follower *follower) read(ctx context.Context) error {
	reading, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := follower.log.Read(reading, follower.hub.replica.Next())
	if err != nil {
		return err
	}
	if page.Next < follower.hub.replica.Next() {
		follower.shorter = true
		follower.ready.Store(false)
		return errors.Wrapf(errShorter, "%d entries of %d", page.Next, follower.hub.replica.Next())
	}
	follower.metrics.logUp.Set(1)
	for _, entry := range page.Entries {
		err = follower.hub.commit(&wire.Committed{
			Offset: entry.Offset,
			Batch:  state.DecodeBatch(entry.Data),
		})
		if err != nil {
			return err
		}
	}
	next := follower.hub.replica.Next()
	follower.metrics.nextOffset.Set(float64(next))
	if next >= page.Next {
		follower.ready.Store(true)
	}
	return nil
}

// rebase takes over the newest checkpoint after which all entries are held,
// the first of them being first.
func (follower *follower) rebase(ctx context.Context, first uint64) error {
	newest, err := follower.newestCheckpoint(ctx)
	if err != nil {
		return err
	}
	if newest.GetNextOffset() < first {
		if follower.takeFromPeer(ctx) {
			return nil
		}
		return errors.Newf("no checkpoint reaches offset %d and no peer has newer state", first)
	}
	replaced, err := follower.hub.replace(newest)
	if err != nil {
		return errors.Wrap(err, "checkpoint")
	}
	follower.logger.Info("state taken from a checkpoint", "next_offset", newest.GetNextOffset(), "replaced", replaced)
	return nil
}

func (follower *follower) newestCheckpoint(ctx context.Context) (*wire.State, error) {
	reader := newCheckpointReader()
	next := uint64(0)
	for {
		page, err := follower.checkpoints.Read(ctx, next)
		if expired, ok := asExpired(err); ok {
			next = expired.First
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "checkpoints")
		}
		for _, entry := range page.Entries {
			reader.add(entry)
			next = entry.Offset + 1
		}
		if next >= page.Next {
			return reader.newest, nil
		}
	}
}

// takeFromPeer takes the state of the first peer that is ahead.
func (follower *follower) takeFromPeer(ctx context.Context) bool {
	for _, address := range follower.peers() {
		encoded, err := follower.ask(ctx, address)
		if err != nil {
			follower.logger.Debug("peer has no state for us", "peer", address, "error", err)
			continue
		}
		replaced, err := follower.hub.replace(encoded)
		if err != nil || !replaced {
			continue
		}
		follower.ready.Store(true)
		follower.logger.Info("state taken from a peer", "peer", address, "next_offset", encoded.GetNextOffset())
		return true
	}
	return false
}

// ask returns the whole state of the keeper at address.
func (follower *follower) ask(ctx context.Context, address string) (*wire.State, error) {
	asking, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peer, err := link.Dial(asking, address, follower.credentials, follower.options)
	if err != nil {
		return nil, err
	}
	defer peer.Close()
	stop := context.AfterFunc(asking, peer.Close)
	defer stop()
	err = peer.Send(&wire.ClientFrame{Body: &wire.ClientFrame_Subscribe{Subscribe: &wire.Subscribe{}}})
	if err != nil {
		return nil, err
	}
	for {
		frame := &wire.ServerFrame{}
		err = peer.Receive(frame)
		if err != nil {
			return nil, err
		}
		if encoded := frame.GetState(); encoded != nil {
			return encoded, nil
		}
	}
}

// asExpired returns the error if it says that entries have expired.
func asExpired(err error) (*infra.ExpiredError, bool) {
	var expired *infra.ExpiredError
	ok := errors.As(err, &expired)
	return expired, ok
}
