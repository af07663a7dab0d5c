package gateway

import (
	"context"
	"sync"
	"time"
)

// followEpochs asks the store anew when another VM says that it came back older, and writes again there what the system
// itself keeps once it did, until ctx is done.
func (gateway *Gateway) followEpochs(ctx context.Context) {
	var seen time.Time
	for ctx.Err() == nil {
		changed := gateway.epochs.Changed()
		rose := gateway.epochs.Rose()
		gateway.stayInEpoch(ctx, changed, rose.After(seen))
		seen = rose
	}
}

// stayInEpoch does what is to be done in one epoch until it is over. What was to be written again in an earlier one may
// be lost again.
func (gateway *Gateway) stayInEpoch(ctx context.Context, over <-chan struct{}, begins bool) {
	var rewriting sync.WaitGroup
	defer rewriting.Wait()
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	if begins {
		current, _ := gateway.epochs.Current()
		gateway.logger.Warn("store came back older", "epoch", current)
		rewriting.Go(func() { gateway.exchange.Reenter(bounded) })
		rewriting.Go(func() { gateway.quarantine.Rewrite(bounded) })
	}
	for {
		select {
		case <-gateway.epochs.Hinted():
			gateway.renew()
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

// renew asks the store at once.
func (gateway *Gateway) renew() {
	gateway.configuration.Renew()
	gateway.directory.Renew()
}
