package keeper

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/link"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Delay and timeouts of the follower.
const (
	// readRetry is the delay before a failed read or append is retried.
	readRetry   = 250 * time.Millisecond
	readTimeout = 10 * time.Second
	peerTimeout = 3 * time.Second
)

// follower reads the log into the hub. If the log entries it needs have expired,
// it restores the state from the newest checkpoint; if the log is unavailable or no
// checkpoint is recent enough, it restores the state from a peer.
type follower struct {
	log         platformclient.Log
	checkpoints platformclient.Log
	hub         *hub
	// peers returns the addresses of the other keepers.
	peers       func() []string
	credentials link.Credentials
	options     link.Options
	metrics     *metrics
	logger      *slog.Logger

	// ready is set once the replica has caught up with the log, or its state was
	// restored from a peer.
	ready atomic.Bool
	// logTruncated is set when the log lost entries that the replica has applied. The log then reuses their offsets for
	// other entries, so this keeper stops applying entries: otherwise its state would differ from that of a keeper
	// that starts later and reads the new entries.
	logTruncated bool
}

// errLogTruncated is returned when the log lost entries that the replica has
// applied.
var errLogTruncated = errors.New("log lost entries that this keeper has applied; restart the process")

// run follows the log until ctx is done or the log is truncated.
func (follower *follower) run(ctx context.Context) {
	for ctx.Err() == nil && !follower.logTruncated {
		err := follower.read(ctx)
		if expired, ok := asExpired(err); ok {
			follower.logger.Info("log entries expired; restoring the state from a checkpoint", "wanted", expired.Requested, "first", expired.First)
			err = follower.restore(ctx, expired.First)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		follower.metrics.logUp.Set(0)
		follower.logger.Warn("failed to follow the log", "next_offset", follower.hub.replica.Next(), "error", err)
		if !follower.ready.Load() && !follower.logTruncated {
			follower.restoreFromPeer(ctx)
		}
		wait.For(ctx, readRetry)
	}
}

// read applies the next page of the log.
func (follower *follower) read(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := follower.log.Read(readCtx, follower.hub.replica.Next())
	if err != nil {
		return err
	}
	if page.Next < follower.hub.replica.Next() {
		follower.logTruncated = true
		follower.ready.Store(false)
		return errors.Wrapf(errLogTruncated, "log ends at offset %d, applied up to %d", page.Next, follower.hub.replica.Next())
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

// restore replaces the state with the newest checkpoint, or with that of a peer if
// the checkpoint ends before first, the oldest offset that the log still holds.
func (follower *follower) restore(ctx context.Context, first uint64) error {
	newest, err := follower.newestCheckpoint(ctx)
	if err != nil {
		return err
	}
	if newest.GetNextOffset() < first {
		if follower.restoreFromPeer(ctx) {
			return nil
		}
		return errors.Newf("no checkpoint reaches offset %d and no peer has a newer state", first)
	}
	replaced, err := follower.hub.replace(newest)
	if err != nil {
		return errors.Wrap(err, "restore checkpoint")
	}
	follower.logger.Info("state restored from a checkpoint", "next_offset", newest.GetNextOffset(), "replaced", replaced)
	return nil
}

// newestCheckpoint reads the whole stream of checkpoints. It returns nil if there is
// no complete checkpoint.
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
			return nil, errors.Wrap(err, "read checkpoints")
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

// restoreFromPeer replaces the state with that of the first peer whose state is
// newer, and reports whether there was one.
func (follower *follower) restoreFromPeer(ctx context.Context) bool {
	for _, address := range follower.peers() {
		encoded, err := follower.fetchState(ctx, address)
		if err != nil {
			follower.logger.Debug("failed to fetch the state of a peer", "peer", address, "error", err)
			continue
		}
		replaced, err := follower.hub.replace(encoded)
		if err != nil || !replaced {
			continue
		}
		follower.ready.Store(true)
		follower.logger.Info("state restored from a peer", "peer", address, "next_offset", encoded.GetNextOffset())
		return true
	}
	return false
}

// fetchState returns the full state of the keeper at address.
func (follower *follower) fetchState(ctx context.Context, address string) (*wire.State, error) {
	fetchCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peer, err := link.Dial(fetchCtx, address, follower.credentials, follower.options)
	if err != nil {
		return nil, err
	}
	defer peer.Close()
	stop := context.AfterFunc(fetchCtx, peer.Close)
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

// asExpired reports whether err is a platformclient.ExpiredError, and returns it as one.
func asExpired(err error) (*platformclient.ExpiredError, bool) {
	var expired *platformclient.ExpiredError
	ok := errors.As(err, &expired)
	return expired, ok
}
