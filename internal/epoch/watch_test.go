package epoch_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/epoch"
)

// TestWatch observes epochs in any order: the highest one must be the current one.
func TestWatch(t *testing.T) {
	for name, test := range map[string]struct {
		observed []epoch.Number
		want     epoch.Number
		// wantIncreases is how often the epoch increases, and wantEarlier how many observations are rejected as earlier.
		wantIncreases, wantEarlier int
	}{
		"no epoch":             {},
		"the first epoch":      {observed: []epoch.Number{7}, want: 7},
		"the same epoch twice": {observed: []epoch.Number{7, 7}, want: 7},
		"a later epoch":        {observed: []epoch.Number{7, 8}, want: 8, wantIncreases: 1},
		"an earlier epoch":     {observed: []epoch.Number{8, 7}, want: 8, wantEarlier: 1},
		"several, interleaved": {observed: []epoch.Number{0, 2, 1, 3, 2, 3}, want: 3, wantIncreases: 2, wantEarlier: 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			watch := epoch.New(func() time.Time { return now })
			increases, earlier := 0, 0
			for _, number := range test.observed {
				now = now.Add(time.Second)
				changed := watch.Changed()
				if errors.Is(watch.Observe(number), epoch.ErrEarlier) {
					earlier++
				}
				select {
				case <-changed:
					increases++
					assert.Equal(t, watch.IncreasedAt(), now)
				default:
				}
			}
			current, known := watch.Current()
			assert.Equal(t, current, test.want)
			assert.Equal(t, known, len(test.observed) > 0)
			assert.Equal(t, increases, test.wantIncreases)
			assert.Equal(t, earlier, test.wantEarlier)
			assert.Equal(t, watch.IncreasedAt().IsZero(), test.wantIncreases == 0)
		})
	}
}

// TestHint passes hints: each epoch above the current one must cause one check at the store, and none may become the
// current epoch.
func TestHint(t *testing.T) {
	watch := epoch.New(time.Now)
	hinted := func() bool {
		select {
		case <-watch.Hinted():
			return true
		default:
			return false
		}
	}
	watch.Hint(3)
	assert.Assert(t, !hinted(), "the first read from the store is pending")
	assert.NilError(t, watch.Observe(1))
	watch.Hint(1)
	assert.Assert(t, !hinted())
	watch.Hint(9)
	watch.Hint(9)
	watch.Hint(2)
	assert.Assert(t, hinted())
	assert.Assert(t, !hinted(), "one check for one hint")
	current, _ := watch.Current()
	assert.Equal(t, current, epoch.Number(1))
	assert.NilError(t, watch.Observe(2))
	watch.Hint(3)
	assert.Assert(t, hinted(), "a corrupted hint does not suppress later ones")
}
