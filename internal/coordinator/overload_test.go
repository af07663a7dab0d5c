package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runOverload sends short requests for six seconds, whose callers wait two seconds for an event.
// The load is a multiple of what 18 engines with 10 slots can serve.
func runOverload(t *testing.T, vms int, load float64) []*outcome {
	t.Helper()
	const engines, slots, holdSeconds = 18, 10, 2.0
	request := short()
	request.callerTimeout = 2 * time.Second
	request.decodeTime = 1900 * time.Millisecond
	var results [][]*outcome
	runSimulation(t, vms, engines, 0.002, func(simulation *simulation) {
		results = simulation.sendTraffic(flow{kind: request, perSecond: load * engines * slots / holdSeconds, to: 6 * time.Second})
	})
	return results[0]
}

// TestGoodputHoldsUnderOverload guards against goodput that falls under overload of three and five
// times the capacity. Requests that can't be served must be refused early. Serving the request due
// first left 418 and 321 requests in time, of 540 without overload, and kept late requests queued until
// their callers' deadlines.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	served := func(results []*outcome) (count int) {
		for _, outcome := range results {
			if outcome.placed && outcome.expectedTTFT <= outcome.objective {
				count++
			}
		}
		return count
	}
	best := served(runOverload(t, 9, 1))
	for name, load := range map[string]float64{"3 times": 3, "5 times": 5} {
		t.Run(name, func(t *testing.T) {
			results := runOverload(t, 9, load)
			refused, expired := 0, 0
			var waited time.Duration
			for _, outcome := range results {
				switch {
				case outcome.refused:
					refused++
					waited += outcome.waited
				case !outcome.placed:
					expired++
				}
			}
			t.Logf("%d of %d in time, %d at load 1; %d refused after %s, %d held until their deadline",
				served(results), len(results), best, refused, waited/time.Duration(max(1, refused)), expired)
			assert.Assert(t, served(results) >= best*9/10)
			assert.Assert(t, refused > 0)
			assert.Assert(t, expired*50 <= len(results))
		})
	}
}
