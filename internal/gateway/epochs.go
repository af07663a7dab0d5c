package gateway

import (
	"context"
	"sync"
	"time"
)

// watchEpochs handles changes of the epoch of the platform's store until ctx is done. A new epoch
// begins when the store is restored to an older state; everything that the gateways stored is then
// written again.
func (gateway *Gateway) watchEpochs(ctx context.Context) {
	var handledRestore time.Time
	for ctx.Err() == nil {
		changed := gateway.epochs.Changed()
		restoredAt := gateway.epochs.IncreasedAt()
		gateway.handleEpoch(ctx, changed, restoredAt.After(handledRestore))
		handledRestore = restoredAt
	}
}

// handleEpoch handles one epoch until it is over or ctx is done. It reads the store again whenever
// another VM reports a newer epoch. afterRestore is true if the epoch began with a restore of the
// store. Writes still in progress are cancelled when the epoch is over: the store may have lost
// them again, and the next epoch starts them again.
func (gateway *Gateway) handleEpoch(ctx context.Context, ended <-chan struct{}, afterRestore bool) {
	var rewriting sync.WaitGroup
	defer rewriting.Wait()
	epochCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if afterRestore {
		current, _ := gateway.epochs.Current()
		gateway.logger.Warn("store was restored to an older state", "epoch", current)
		rewriting.Go(func() { gateway.exchange.Reregister(epochCtx) })
		rewriting.Go(func() { gateway.quarantine.Rewrite(epochCtx) })
	}
	for {
		select {
		case <-gateway.epochs.Hinted():
			gateway.refreshFollowers()
		case <-ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// refreshFollowers makes the followers read the store at once.
func (gateway *Gateway) refreshFollowers() {
	gateway.configuration.Refresh()
	gateway.directory.Refresh()
}
