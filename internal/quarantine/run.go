package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Run evaluates new observations until ctx is done. It loads the entries of the store unless that is
// known to be empty. Evaluations don't wait for the store.
func (tracker *Tracker) Run(ctx context.Context, empty bool) {
	var storeOperations sync.WaitGroup
	defer storeOperations.Wait()
	if !empty {
		storeOperations.Go(func() { tracker.load(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tracker.changed:
		case <-tracker.listExpires():
		}
		tracker.refreshSuspects()
		if !wait.For(ctx, tracker.settings.EvaluationDelay) {
			return
		}
		found := tracker.evaluate()
		if len(found) == 0 {
			continue
		}
		tracker.publisher.Announce(found)
		tracker.refreshSuspects()
		for _, entry := range found {
			storeOperations.Go(func() { tracker.storeEntry(ctx, entry) })
		}
	}
}

// listRefreshes is the number of times that a list of suspects is made anew before it expires.
const listRefreshes = 3

// listExpires returns a channel that receives once this VM's list of suspects must be made anew. It is
// nil without a list.
func (tracker *Tracker) listExpires() <-chan time.Time {
	if len(tracker.Suspects()) == 0 {
		return nil
	}
	return time.After(tracker.settings.ListTTL / listRefreshes)
}

// load adds the entries of the store. All VMs may have been stopped at once, and finding the
// entries again would cost three lost servers each.
func (tracker *Tracker) load(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := tracker.list(ctx)
		if err == nil {
			tracker.applyStored(entries)
			return
		}
		tracker.logger.Warn("cannot read entries from the store; retrying", "error", err)
		wait.For(ctx, tracker.settings.RetryDelay)
	}
}

// list reads the entries of the store within StoreTimeout.
func (tracker *Tracker) list(ctx context.Context) ([]Entry, error) {
	bounded, cancel := context.WithTimeout(ctx, tracker.settings.StoreTimeout)
	defer cancel()
	return tracker.store.List(bounded) //nolint:wrapcheck // callers log it
}

// put writes an entry to the store within StoreTimeout.
func (tracker *Tracker) put(ctx context.Context, entry Entry) error {
	bounded, cancel := context.WithTimeout(ctx, tracker.settings.StoreTimeout)
	defer cancel()
	return tracker.store.Put(bounded, entry) //nolint:wrapcheck // callers log it
}

// storeEntry writes an entry to the store, and retries until ctx is done.
func (tracker *Tracker) storeEntry(ctx context.Context, entry Entry) {
	for ctx.Err() == nil {
		err := tracker.put(ctx, entry)
		if err == nil {
			return
		}
		tracker.logger.Warn("cannot write entry to the store; retrying", "fingerprint", entry.Fingerprint, "error", err)
		wait.For(ctx, tracker.settings.RetryDelay)
	}
}

// Rewrite restores the entries that are missing or older in a store that was restored from an older
// state. VMs wait for a random time first, so that usually one VM writes the entries and the others
// find them there.
func (tracker *Tracker) Rewrite(ctx context.Context) {
	entries := tracker.Entries()
	if len(entries) == 0 || !wait.For(ctx, rand.N(tracker.settings.RewriteSpread)) { //nolint:gosec // not security-sensitive
		return
	}
	stored, err := tracker.list(ctx)
	for err != nil && wait.For(ctx, tracker.settings.RetryDelay) {
		stored, err = tracker.list(ctx)
	}
	times := make(map[fingerprint.Fingerprint]int, len(stored))
	for _, entry := range stored {
		times[entry.Fingerprint] = entry.Times
	}
	for _, entry := range entries {
		if times[entry.Fingerprint] < entry.Times {
			tracker.storeEntry(ctx, entry)
		}
	}
}
