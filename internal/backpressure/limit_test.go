package backpressure_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/backpressure"
)

// window is the time over which requests at a server are counted.
const window = 4 * time.Second

// start is when all tests begin.
func start() time.Time { return time.Unix(1000, 0) }

// named returns a limit that was named at the start.
func named(perSecond float64) backpressure.Limit {
	limit, _ := backpressure.Limit{}.WithNamed(perSecond, start())
	return limit
}

// TestLimitIsKeptAndUsed sends as much as the limit lets through, looking at intervals: never more than one and a half
// times the limit and five in any window, and at least nine tenths of it over the whole time.
func TestLimitIsKeptAndUsed(t *testing.T) {
	const looks = 20 * time.Millisecond
	for name, test := range map[string]struct {
		perSecond, share, most, least float64
	}{
		"one and a half":    {perSecond: 1.5, share: 1, most: 1.5, least: 1.35},
		"many":              {perSecond: 50, share: 1, most: 50, least: 45},
		"few":               {perSecond: 0.3, share: 1, most: 0.3, least: 0.27},
		"hardly any":        {perSecond: 1e-300, share: 1, most: 0.25, least: 0.18},
		"none":              {perSecond: 0, share: 1, most: 0.25, least: 0.18},
		"a share of a part": {perSecond: 10, share: 0.25, most: 2.5, least: 2.25},
		"one VM of 295":     {perSecond: 1, share: 1.0 / 295, most: 1.0 / 295, least: 0.9 / 295},
	} {
		t.Run(name, func(t *testing.T) {
			const long = 20 * time.Minute
			limit := named(test.perSecond)
			var sent []time.Time
			for now := start(); now.Before(start().Add(long)); now = now.Add(looks) {
				if limit.Open(test.share, now) {
					limit = limit.WithTaken(test.share, now)
					sent = append(sent, now)
				}
			}
			allowed := int(1.5*test.most*window.Seconds()) + 5
			assert.Assert(t, most(sent) <= allowed, "%d of %d", most(sent), allowed)
			rate := float64(len(sent)-1) / long.Seconds()
			assert.Assert(t, rate <= test.most*1.001 && rate >= test.least, "%v a second", rate)
		})
	}
}

// most returns the most of some moments within any window.
func most(sent []time.Time) int {
	most, first := 0, 0
	for last, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestLimitsWhoseWordIsLast has what is heard of a limit in any order, and how many requests a second hold at the end.
func TestLimitsWhoseWordIsLast(t *testing.T) {
	at := func(seconds float64) time.Time { return start().Add(time.Duration(seconds * float64(time.Second))) }
	type heard struct {
		at        float64
		perSecond float64
		lifts     bool
	}
	for name, test := range map[string]struct {
		heard []heard
		// named says that a limit holds in the end.
		named     bool
		perSecond float64
	}{
		"nothing":                        {},
		"lifted and never named":         {heard: []heard{{at: 1, lifts: true}}},
		"named":                          {heard: []heard{{at: 1, perSecond: 3}}, named: true, perSecond: 3},
		"another one":                    {heard: []heard{{at: 1, perSecond: 3}, {at: 2, perSecond: 1}}, named: true, perSecond: 1},
		"an earlier one is told late":    {heard: []heard{{at: 2, perSecond: 1}, {at: 1, perSecond: 3}}, named: true, perSecond: 1},
		"lifted":                         {heard: []heard{{at: 1, perSecond: 3}, {at: 2, lifts: true}}},
		"asked before it was named":      {heard: []heard{{at: 2, perSecond: 3}, {at: 1, lifts: true}}, named: true, perSecond: 3},
		"lifted, then an earlier one":    {heard: []heard{{at: 1, perSecond: 3}, {at: 3, lifts: true}, {at: 2, perSecond: 3}}},
		"lifted and named again":         {heard: []heard{{at: 1, perSecond: 3}, {at: 2, lifts: true}, {at: 3, perSecond: 3}}, named: true, perSecond: 3},
		"lifted twice":                   {heard: []heard{{at: 1, perSecond: 3}, {at: 2, lifts: true}, {at: 3, lifts: true}}},
		"below zero is none":             {heard: []heard{{at: 1, perSecond: -3}}, named: true},
		"no number is none":              {heard: []heard{{at: 1, perSecond: math.NaN()}}, named: true},
		"without end is as much as most": {heard: []heard{{at: 1, perSecond: math.Inf(1)}}, named: true, perSecond: 1e6},
	} {
		t.Run(name, func(t *testing.T) {
			var limit backpressure.Limit
			for _, heard := range test.heard {
				if heard.lifts {
					limit, _ = limit.WithLifted(at(heard.at), at(10))
				} else {
					limit, _ = limit.WithNamed(heard.perSecond, at(heard.at))
				}
			}
			statement, _ := limit.Statement()
			assert.Equal(t, statement.Named, test.named)
			if test.named {
				assert.Equal(t, statement.PerSecond, test.perSecond)
			}
		})
	}
}

// TestRelapses has a limit that is named again each time after it was lifted: more and more answers without it lift it, and
// one again after a long time.
func TestRelapses(t *testing.T) {
	const apart = 200 * time.Millisecond
	now := start()
	limit := named(1)
	answer := func() (lifted bool) {
		now = now.Add(apart)
		limit, lifted = limit.WithLifted(now, now)
		return lifted
	}
	for _, quiet := range []int{0, 2, 4, 8, 16, 16} {
		for range quiet {
			assert.Assert(t, !answer())
		}
		assert.Assert(t, answer(), "not lifted by more than %d", quiet)
		now = now.Add(time.Second)
		limit, _ = limit.WithNamed(1, now)
	}
	for !answer() {
	}
	now = now.Add(time.Minute)
	limit, _ = limit.WithNamed(1, now)
	assert.Assert(t, answer())
}

// TestAnswerCountsOnce has VMs tell several times of one answer without a limit.
func TestAnswerCountsOnce(t *testing.T) {
	lifted, _ := named(1).WithLifted(start().Add(time.Second), start().Add(time.Second))
	limit, _ := lifted.WithNamed(1, start().Add(2*time.Second))
	for range 20 {
		var lifted bool
		limit, lifted = limit.WithLifted(start().Add(3*time.Second), start().Add(4*time.Second))
		assert.Assert(t, !lifted)
	}
}

// TestLoadComesBackInSteps has a server that does not name its limit any more while all VMs want it: what it gets grows
// over two seconds, and is not bounded after them.
func TestLoadComesBackInSteps(t *testing.T) {
	limit, lifted := named(1.4).WithLifted(start().Add(time.Second), start().Add(time.Second))
	assert.Assert(t, lifted)
	var quarters []int
	for now := start().Add(time.Second); limit.Holds(now); now = now.Add(5 * time.Millisecond) {
		for limit.Open(1, now) {
			limit = limit.WithTaken(1, now)
			quarter := int(now.Sub(start().Add(time.Second)) / (250 * time.Millisecond))
			for len(quarters) <= quarter {
				quarters = append(quarters, 0)
			}
			quarters[quarter]++
		}
	}
	assert.Equal(t, len(quarters), 8)
	for at := 1; at < len(quarters); at++ {
		assert.Assert(t, quarters[at] <= 4*quarters[at-1], "%v", quarters)
	}
	assert.Assert(t, quarters[0] <= 3, "%v", quarters)
	assert.Assert(t, quarters[7] >= 50, "%v", quarters)
}

// TestPartBeginsWithNothing has many VMs that are cut off from each other a while after a limit was named: they stay
// within it together, and none is silent for ever.
func TestPartBeginsWithNothing(t *testing.T) {
	const vms, perSecond = 76, 2.0
	limits := make([]backpressure.Limit, vms)
	for vm := range limits {
		limits[vm] = named(perSecond)
	}
	sends := make([]int, vms)
	var sent []time.Time
	for now := start().Add(time.Minute); now.Before(start().Add(4 * time.Minute)); now = now.Add(50 * time.Millisecond) {
		for vm, limit := range limits {
			limit = limit.WithLook(1.0/vms, float64(vm)/vms, now)
			if limit.Open(1.0/vms, now) {
				limit = limit.WithTaken(1.0/vms, now)
				sends[vm]++
				sent = append(sent, now)
			}
			limits[vm] = limit
		}
	}
	for _, sends := range sends {
		assert.Assert(t, sends > 1)
	}
	rate := float64(len(sent)) / (3 * time.Minute).Seconds()
	assert.Assert(t, rate <= perSecond, "%v", rate)
	assert.Assert(t, float64(most(sent)) <= 1.5*perSecond*window.Seconds()+5, "%d", most(sent))
}

// TestOverdrawnLimitIsPaidBack has many requests that were not known when they went to the server.
func TestOverdrawnLimitIsPaidBack(t *testing.T) {
	limit := named(2)
	for range 100 {
		limit = limit.WithTaken(1, start())
	}
	assert.Assert(t, !limit.Open(1, start().Add(4*time.Second)))
	assert.Assert(t, limit.Open(1, start().Add(5*time.Second+time.Millisecond)), "no longer than for what four seconds allow")
}

// TestLimitAgainstOracle draws requests, names and lifts, and compares each look with a plain reckoning of all that was
// sent: where the server is open, no window is beyond the greatest limit of it.
func TestLimitAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start()
		limit := named(1)
		greatest := 1.0
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "passes")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "names") == 0 {
				perSecond := rapid.Float64Range(0, 8).Draw(t, "per second")
				limit, _ = limit.WithNamed(perSecond, now)
				greatest = max(greatest, perSecond)
			}
			if limit.Open(1, now) {
				limit = limit.WithTaken(1, now)
				sent = append(sent, now)
			}
		}
		assert.Assert(t, float64(most(sent)) <= 1.5*greatest*window.Seconds()+5)
	})
}
