package quarantine_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/quarantine"
)

// silentStore is a store whose first call of each kind gets no answer until its context ends.
type silentStore struct {
	*store

	put, list sync.Once
}

func (silentstore *silentStore) Put(ctx context.Context, entry quarantine.Entry) error {
	silentstore.put.Do(func() { <-ctx.Done() })
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return silentstore.store.Put(ctx, entry)
}

func (silentstore *silentStore) List(ctx context.Context) ([]quarantine.Entry, error) {
	silentstore.list.Do(func() { <-ctx.Done() })
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return silentstore.store.List(ctx)
}

// TestCallOfTheStoreWithoutAnAnswerIsMadeAgain guards against a connection to the store that goes silent, or an answer without end,
// for which a VM waits as long as it lives: entries were neither read after a restart nor written.
func TestCallOfTheStoreWithoutAnAnswerIsMadeAgain(t *testing.T) {
	kept := &store{entries: []quarantine.Entry{{Fingerprint: bystander, Until: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC), Times: 1}}}
	withFixture(t, &silentStore{store: kept}, func(t *testing.T, fixture *fixture) {
		time.Sleep(5 * time.Second)
		assert.Assert(t, fixture.OnProbation(bystander), "entries of the store are not read")
		fixture.loseEach(3, cause)
		time.Sleep(5 * time.Second)
		assert.Equal(t, kept.count(), 2)
	})
}
