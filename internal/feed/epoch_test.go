package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/follower"
)

// withEpoch returns page with its epoch set to number.
func withEpoch(page follower.Page, number epoch.Number) follower.Page {
	page.Epoch = number
	return page
}

// TestPagesOfEarlierEpochsAreRejected reads from two peers with an epoch each, while this VM is in epoch 2. A page of an
// earlier epoch must not be used, and a later epoch must become the current one.
func TestPagesOfEarlierEpochsAreRejected(t *testing.T) {
	for name, test := range map[string]struct {
		first, second epoch.Number
		// increaseAfter is when the first peer moves to epoch 2; zero means never.
		increaseAfter time.Duration
		want          string
		// wantEpoch is the current epoch after the read.
		wantEpoch epoch.Number
	}{
		"the same epoch":                         {first: 2, second: 2, want: "first", wantEpoch: 2},
		"a later epoch":                          {first: 3, second: 2, want: "first", wantEpoch: 3},
		"an earlier epoch":                       {first: 1, second: 2, want: "direct", wantEpoch: 2},
		"an earlier epoch, then the current one": {first: 1, second: 1, increaseAfter: 100 * time.Millisecond, want: "first", wantEpoch: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				epochs := epoch.New(time.Now)
				assert.NilError(t, epochs.Observe(2))
				first, second, _, log := startReadersIn(t, peers{addresses: []string{readerAddress, secondAddress}}, epochs)
				first.Add(withEpoch(newPage("first"), test.first), time.Now())
				second.Add(withEpoch(newPage("second"), test.second), time.Now())
				if test.increaseAfter > 0 {
					time.AfterFunc(test.increaseAfter, func() { first.Add(withEpoch(newPage("first"), 2), time.Now()) })
				}
				page, err := log.Read(t.Context(), follower.Position{}, 0)
				assert.NilError(t, err)
				assert.Equal(t, page.Records[0].Key, test.want)
				current, _ := epochs.Current()
				assert.Equal(t, current, test.wantEpoch)
			})
		})
	}
}

// TestUnsettledPageIsUsedAtAnyAge reads a page that is older than the limit. After a store rollback no newer page
// exists, and the age is that of the last confirmation before it, so an unsettled page must be used nevertheless.
func TestUnsettledPageIsUsedAtAnyAge(t *testing.T) {
	for name, test := range map[string]struct {
		unsettled bool
		want      string
	}{
		"settled":   {want: "direct"},
		"unsettled": {unsettled: true, want: "first"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, _, _, log := startReaders(t, peers{addresses: []string{readerAddress}})
				page := newPage("first")
				first.Add(page, time.Now())
				page.Unsettled = test.unsettled
				time.Sleep(10 * time.Second)
				first.Add(page, time.Time{})
				got, err := log.Read(t.Context(), follower.Position{}, 0)
				assert.NilError(t, err)
				assert.Equal(t, got.Records[0].Key, test.want)
				assert.Equal(t, got.Age > 9*time.Second, test.unsettled)
			})
		})
	}
}

// TestOffsetOfAnotherEpochReadsAllValues reads from an offset of another epoch. The offset has no meaning in the epoch of
// the peer, so the peer must return all values.
func TestOffsetOfAnotherEpochReadsAllValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epochs := epoch.New(time.Now)
		first, _, _, log := startReadersIn(t, peers{addresses: []string{readerAddress}}, epochs)
		first.Add(withEpoch(newPage("first"), 2), time.Now())
		page, err := log.Read(t.Context(), follower.At(1, 1), 0)
		assert.NilError(t, err)
		assert.Assert(t, page.Whole)
		assert.Equal(t, page.Position(), follower.At(2, 1))
	})
}

var _ feed.Members = peers{}
