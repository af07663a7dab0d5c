package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Run judges what is told until ctx is done. It reads the store unless that is empty, and waits for
// it neither to judge nor to go on.
func (book *Book) Run(ctx context.Context, empty bool) {
	var storing sync.WaitGroup
	defer storing.Wait()
	if !empty {
		storing.Go(func() { book.load(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-book.changed:
		}
		if !wait.For(ctx, book.settings.Settle) {
			return
		}
		found := book.judge()
		if len(found) == 0 {
			continue
		}
		book.publisher.Announce(found)
		for _, entry := range found {
			storing.Go(func() { book.keep(ctx, entry) })
		}
	}
}

// load takes in what the store has: all VMs may have been stopped at once, and the three servers that
// an entry costs would be lost again.
func (book *Book) load(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := book.store.List(ctx)
		if err == nil {
			book.Told(entries)
			return
		}
		book.logger.Warn("entries of the store not read", "error", err)
		wait.For(ctx, book.settings.Retry)
	}
}

// keep writes an entry to the store.
func (book *Book) keep(ctx context.Context, entry Entry) {
	for ctx.Err() == nil {
		err := book.store.Put(ctx, entry)
		if err == nil {
			return
		}
		book.logger.Warn("entry not kept in the store", "fingerprint", entry.Fingerprint, "error", err)
		wait.For(ctx, book.settings.Retry)
	}
}

// Rewrite writes again what the store, which came back older, does not have any more. VMs look at moments of their own,
// so that mostly the first one writes and the others find it there.
func (book *Book) Rewrite(ctx context.Context) {
	entries := book.Entries()
	if len(entries) == 0 || !wait.For(ctx, rand.N(book.settings.Rewrite)) { //nolint:gosec // no secret
		return
	}
	stored, err := book.store.List(ctx)
	for err != nil && wait.For(ctx, book.settings.Retry) {
		stored, err = book.store.List(ctx)
	}
	times := make(map[fingerprint.Fingerprint]int, len(stored))
	for _, entry := range stored {
		times[entry.Fingerprint] = entry.Times
	}
	for _, entry := range entries {
		if times[entry.Fingerprint] < entry.Times {
			book.keep(ctx, entry)
		}
	}
}
