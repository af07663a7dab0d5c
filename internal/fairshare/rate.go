package fairshare

import (
	"math"
	"time"
)

// Rate is a moving average of how much comes in a second. What came decays exponentially with a
// window, the same one in all calls. Its zero value is a rate of zero.
type Rate struct {
	// amount is what has come, decayed, as of updated.
	amount  float64
	updated time.Time
}

// idleWindows is the number of windows after which a rate is negligible.
const idleWindows = 10

// WithAmount returns the rate after a further amount has come.
func (rate Rate) WithAmount(amount float64, window time.Duration, now time.Time) Rate {
	return Rate{amount: rate.Recent(window, now) + amount, updated: now}
}

// PerSecond returns the average per second.
func (rate Rate) PerSecond(window time.Duration, now time.Time) float64 {
	return rate.Recent(window, now) / window.Seconds()
}

// Idle reports whether what came last is too long ago to count.
func (rate Rate) Idle(window time.Duration, now time.Time) bool {
	return now.Sub(rate.updated) > idleWindows*window
}

// Recent returns what has come recently: the amounts, each less the longer ago it came.
func (rate Rate) Recent(window time.Duration, now time.Time) float64 {
	if rate.amount == 0 {
		return 0
	}
	return rate.amount * math.Exp(-now.Sub(rate.updated).Seconds()/window.Seconds())
}
