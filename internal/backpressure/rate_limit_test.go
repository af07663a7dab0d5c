package backpressure_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/backpressure"
)

// window is the period over which the requests to a server are counted.
const window = 4 * time.Second

// start returns the time at which all tests begin.
func start() time.Time { return time.Unix(1000, 0) }

// advertisedLimit returns a limit that was advertised at the start.
func advertisedLimit(perSecond float64) backpressure.RateLimit {
	limit, _ := backpressure.RateLimit{}.WithAdvertised(perSecond, start())
	return limit
}

// TestRateLimitIsKeptAndUsed guards against exceeding a limit, and against leaving it unused. It
// sends as many requests as the limit allows at regular checks: any window may have at most one and
// a half times the limit plus five requests, and the whole time at least nine tenths of the limit.
func TestRateLimitIsKeptAndUsed(t *testing.T) {
	const checkInterval = 20 * time.Millisecond
	for name, test := range map[string]struct {
		// peak and lowest bound the rate of the sent requests per second.
		perSecond, share, peak, lowest float64
	}{
		"1.5 per second":         {perSecond: 1.5, share: 1, peak: 1.5, lowest: 1.35},
		"50 per second":          {perSecond: 50, share: 1, peak: 50, lowest: 45},
		"0.3 per second":         {perSecond: 0.3, share: 1, peak: 0.3, lowest: 0.27},
		"almost zero":            {perSecond: 1e-300, share: 1, peak: 0.25, lowest: 0.18},
		"zero":                   {perSecond: 0, share: 1, peak: 0.25, lowest: 0.18},
		"a quarter of the limit": {perSecond: 10, share: 0.25, peak: 2.5, lowest: 2.25},
		"1/295 of the limit":     {perSecond: 1, share: 1.0 / 295, peak: 1.0 / 295, lowest: 0.9 / 295},
	} {
		t.Run(name, func(t *testing.T) {
			const duration = 20 * time.Minute
			limit := advertisedLimit(test.perSecond)
			var sent []time.Time
			for now := start(); now.Before(start().Add(duration)); now = now.Add(checkInterval) {
				if limit.Allows(test.share, now) {
					limit = limit.WithRequest(test.share, now)
					sent = append(sent, now)
				}
			}
			allowed := int(1.5*test.peak*window.Seconds()) + 5
			assert.Assert(t, peak(sent) <= allowed, "%d of %d", peak(sent), allowed)
			rate := float64(len(sent)-1) / duration.Seconds()
			assert.Assert(t, rate <= test.peak*1.001 && rate >= test.lowest, "%v a second", rate)
		})
	}
}

// peak returns the largest number of the given times within any window.
func peak(sent []time.Time) int {
	peak, first := 0, 0
	for last, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak
}

// TestRateLimitUpdateOrder guards against outdated or delayed updates that replace newer ones, and
// against invalid limits.
func TestRateLimitUpdateOrder(t *testing.T) {
	at := func(seconds float64) time.Time { return start().Add(time.Duration(seconds * float64(time.Second))) }
	type update struct {
		at        float64
		perSecond float64
		omitted   bool
	}
	for name, test := range map[string]struct {
		update []update
		// advertised is set if the limit is in force in the end.
		advertised bool
		perSecond  float64
	}{
		"no update":                     {},
		"lifted and never advertised":   {update: []update{{at: 1, omitted: true}}},
		"advertised":                    {update: []update{{at: 1, perSecond: 3}}, advertised: true, perSecond: 3},
		"advertised with another value": {update: []update{{at: 1, perSecond: 3}, {at: 2, perSecond: 1}}, advertised: true, perSecond: 1},
		"earlier advertisement delayed": {update: []update{{at: 2, perSecond: 1}, {at: 1, perSecond: 3}}, advertised: true, perSecond: 1},
		"lifted":                        {update: []update{{at: 1, perSecond: 3}, {at: 2, omitted: true}}},
		"response to a request sent before the advertisement": {update: []update{{at: 2, perSecond: 3}, {at: 1, omitted: true}}, advertised: true, perSecond: 3},
		"lifted, then an earlier advertisement delayed":       {update: []update{{at: 1, perSecond: 3}, {at: 3, omitted: true}, {at: 2, perSecond: 3}}},
		"lifted and advertised again":                         {update: []update{{at: 1, perSecond: 3}, {at: 2, omitted: true}, {at: 3, perSecond: 3}}, advertised: true, perSecond: 3},
		"lifted twice":                                        {update: []update{{at: 1, perSecond: 3}, {at: 2, omitted: true}, {at: 3, omitted: true}}},
		"negative counts as zero":                             {update: []update{{at: 1, perSecond: -3}}, advertised: true},
		"NaN counts as zero":                                  {update: []update{{at: 1, perSecond: math.NaN()}}, advertised: true},
		"infinity counts as the maximum":                      {update: []update{{at: 1, perSecond: math.Inf(1)}}, advertised: true, perSecond: 1e6},
	} {
		t.Run(name, func(t *testing.T) {
			var limit backpressure.RateLimit
			for _, update := range test.update {
				if update.omitted {
					limit, _ = limit.WithOmitted(at(update.at), at(10))
				} else {
					limit, _ = limit.WithAdvertised(update.perSecond, at(update.at))
				}
			}
			advertisement, _ := limit.Advertisement()
			assert.Equal(t, advertisement.Advertised, test.advertised)
			if test.advertised {
				assert.Equal(t, advertisement.PerSecond, test.perSecond)
			}
		})
	}
}

// TestRelapses guards against lifting the limit of a server that advertises it only in some
// responses: each relapse doubles the responses that lift it, and a long time without the limit
// resets that number.
func TestRelapses(t *testing.T) {
	const interval = 200 * time.Millisecond
	now := start()
	limit := advertisedLimit(1)
	respond := func() (lifted bool) {
		now = now.Add(interval)
		limit, lifted = limit.WithOmitted(now, now)
		return lifted
	}
	for _, tolerated := range []int{0, 2, 4, 8, 16, 16} {
		for range tolerated {
			assert.Assert(t, !respond())
		}
		assert.Assert(t, respond(), "not lifted by more than %d", tolerated)
		now = now.Add(time.Second)
		limit, _ = limit.WithAdvertised(1, now)
	}
	for !respond() {
	}
	now = now.Add(time.Minute)
	limit, _ = limit.WithAdvertised(1, now)
	assert.Assert(t, respond())
}

// TestRepeatedResponseCountsOnce guards against lifting a limit by one response without it that VMs
// report several times.
func TestRepeatedResponseCountsOnce(t *testing.T) {
	lifted, _ := advertisedLimit(1).WithOmitted(start().Add(time.Second), start().Add(time.Second))
	limit, _ := lifted.WithAdvertised(1, start().Add(2*time.Second))
	for range 20 {
		var lifted bool
		limit, lifted = limit.WithOmitted(start().Add(3*time.Second), start().Add(4*time.Second))
		assert.Assert(t, !lifted)
	}
}

// TestLoadIncreasesInSteps guards against the full load of all VMs at once after a limit is lifted:
// the load increases over two seconds, and has no limit after that.
func TestLoadIncreasesInSteps(t *testing.T) {
	limit, lifted := advertisedLimit(1.4).WithOmitted(start().Add(time.Second), start().Add(time.Second))
	assert.Assert(t, lifted)
	var quarters []int
	for now := start().Add(time.Second); limit.InForce(now); now = now.Add(5 * time.Millisecond) {
		for limit.Allows(1, now) {
			limit = limit.WithRequest(1, now)
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

// TestPartitionedVMsStayWithinRateLimit guards against VMs that together exceed a limit when they
// are partitioned from each other some time after it was advertised, and against VMs that never
// send.
func TestPartitionedVMsStayWithinRateLimit(t *testing.T) {
	const vms, perSecond = 76, 2.0
	limits := make([]backpressure.RateLimit, vms)
	for vm := range limits {
		limits[vm] = advertisedLimit(perSecond)
	}
	sends := make([]int, vms)
	var sent []time.Time
	for now := start().Add(time.Minute); now.Before(start().Add(4 * time.Minute)); now = now.Add(50 * time.Millisecond) {
		for vm, limit := range limits {
			limit = limit.WithCheck(1.0/vms, float64(vm)/vms, now)
			if limit.Allows(1.0/vms, now) {
				limit = limit.WithRequest(1.0/vms, now)
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
	assert.Assert(t, float64(peak(sent)) <= 1.5*perSecond*window.Seconds()+5, "%d", peak(sent))
}

// TestOverdrawnRateLimitRecovers guards against a limit that ignores requests reported after they
// were sent, or never recovers from them.
func TestOverdrawnRateLimitRecovers(t *testing.T) {
	limit := advertisedLimit(2)
	for range 100 {
		limit = limit.WithRequest(1, start())
	}
	assert.Assert(t, !limit.Allows(1, start().Add(4*time.Second)))
	assert.Assert(t, limit.Allows(1, start().Add(5*time.Second+time.Millisecond)), "recovers from at most four seconds of debt")
}

// TestRateLimitAgainstOracle draws requests and advertisements, and compares the sent requests with
// a plain count: no window exceeds the greatest limit by more than half plus five requests.
func TestRateLimitAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start()
		limit := advertisedLimit(1)
		greatest := 1.0
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "passes")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "names") == 0 {
				perSecond := rapid.Float64Range(0, 8).Draw(t, "per second")
				limit, _ = limit.WithAdvertised(perSecond, now)
				greatest = max(greatest, perSecond)
			}
			if limit.Allows(1, now) {
				limit = limit.WithRequest(1, now)
				sent = append(sent, now)
			}
		}
		assert.Assert(t, float64(peak(sent)) <= 1.5*greatest*window.Seconds()+5)
	})
}
