package retrybudget_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/retrybudget"
)

// TestMain fixes the seed of the property tests, unless the command line sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid declares the flag
	flag.Parse()
	os.Exit(m.Run())
}

func TestSpend(t *testing.T) {
	now := time.Unix(0, 0)
	budget := retrybudget.New(retrybudget.Limits{Ratio: 0.5, Burst: 2, Refill: 10 * time.Second}, func() time.Time { return now })
	assert.Assert(t, budget.Spend())
	assert.Assert(t, budget.Spend())
	assert.Assert(t, !budget.Spend())
	budget.Earn()
	assert.Assert(t, !budget.Spend(), "half a retry can't be spent")
	budget.Earn()
	assert.Assert(t, budget.Spend())
	now = now.Add(5 * time.Second)
	assert.Assert(t, budget.Spend())
	assert.Assert(t, !budget.Spend())
	now = now.Add(time.Hour)
	budget.SetLimits(retrybudget.Limits{Burst: 1})
	assert.Assert(t, budget.Spend())
	assert.Assert(t, !budget.Spend(), "retries in excess of the new burst are discarded")
}

// event is a request, or a retry if spent is set.
type event struct {
	at    time.Time
	spent bool
}

// TestWindowLimit is a property test: it spends all available retries after each request, and
// checks the limit over every window.
func TestWindowLimit(t *testing.T) {
	limits := retrybudget.Limits{Ratio: 0.2, Burst: 5, Refill: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		budget := retrybudget.New(limits, func() time.Time { return now })
		var events []event
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			budget.Earn()
			events = append(events, event{at: now})
			for budget.Spend() {
				events = append(events, event{at: now, spent: true})
			}
		}
		for i := range events {
			checkWindow(t, limits, events[i:])
		}
	})
}

// checkWindow checks the number of retries in the window that begins with the first event.
func checkWindow(t *rapid.T, limits retrybudget.Limits, events []event) {
	requests, spent := 0, 0
	for _, event := range events {
		if event.at.Sub(events[0].at) > limits.Refill {
			break
		}
		if event.spent {
			spent++
		} else {
			requests++
		}
	}
	if most := 2*limits.Burst + limits.Ratio*float64(requests) + 1; float64(spent) > most {
		t.Fatalf("%d retries in a window, at most %f allowed", spent, most)
	}
}
