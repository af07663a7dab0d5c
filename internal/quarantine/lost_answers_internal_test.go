package quarantine

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// askedRequest is one request that is asked for over and over while answers are lost.
type askedRequest struct {
	// rate is how often it is asked for, per second, and share the fraction of its tries whose answers are lost.
	rate, share float64
	// crashes is the rate per second of servers that crash for reasons of their own.
	crashes float64
	// harmfulShare is the fraction of its tries under which the server does crash.
	harmfulShare float64
}

// Servers and run time of the request, and how often it is tried at most.
const (
	askedServers = 18
	askedRunTime = 60 * time.Millisecond
	askedTries   = 1000
)

// isQuarantined asks for the request for up to twenty minutes, and reports whether it was quarantined, and how many servers it had
// crashed by then.
func (asked askedRequest) isQuarantined(seed uint64) (quarantined bool, crashed int) {
	random := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(0, 0)
	tracker := New(DefaultSettings(), Standalone{}, Standalone{}, slog.New(slog.DiscardHandler), func() time.Time { return now })
	interval := time.Duration(float64(time.Second) / asked.rate)
	tries := min(askedTries, int(20*time.Minute/interval))
	var evaluateAt time.Time
	starts := 0
	lose := func(ended bool) {
		server := fmt.Sprintf("s%d-%d", random.IntN(askedServers), starts)
		tracker.RecordLoss(Loss{Fingerprint: harmfulRequest, Server: server})
		if ended {
			starts++
			tracker.RecordEnd(server)
		}
		if evaluateAt.IsZero() {
			evaluateAt = now.Add(tracker.settings.EvaluationDelay)
		}
	}
	for range tries {
		now = now.Add(interval)
		inFlight := min(1, asked.rate*askedRunTime.Seconds()/askedServers)
		if random.Float64() < asked.crashes*interval.Seconds()*inFlight {
			lose(true)
		}
		switch outcome := random.Float64(); {
		case outcome < asked.harmfulShare:
			crashed++
			lose(true)
		case outcome < asked.harmfulShare+asked.share:
			lose(false)
		default:
			tracker.RecordCompletion(harmfulRequest, fmt.Sprintf("s%d-%d", random.IntN(askedServers), starts))
		}
		if !evaluateAt.IsZero() && !now.Before(evaluateAt) {
			evaluateAt = time.Time{}
			tracker.evaluate()
		}
		if tracker.Remaining(harmfulRequest) > 0 {
			return true, crashed
		}
	}
	return false, crashed
}

// TestLostAnswersQuarantineNothing guards against quarantining a request that most servers answer, however rare or frequent it is, since
// answers are lost or servers crash for reasons of their own.
func TestLostAnswersQuarantineNothing(t *testing.T) {
	const seeds = 2
	for _, rate := range []float64{0.1, 0.5, 1, 10, 100, 1000} {
		for _, crashes := range []float64{0, 0.1, 1} {
			t.Run(fmt.Sprintf("%v per second, %v servers per second crash", rate, crashes), func(t *testing.T) {
				for share := 0.0; share < 0.95; share += 0.1 {
					verdicts := 0
					for seed := range uint64(seeds) {
						if quarantined, _ := (askedRequest{rate: rate, share: share, crashes: crashes}).isQuarantined(seed); quarantined {
							verdicts++
						}
					}
					assert.Equal(t, verdicts, 0, "%.1f of the answers lost", share)
				}
			})
		}
	}
}

// TestRequestThatCrashesSomeServersIsQuarantined checks that a request that other servers answer is found if it does crash servers, at
// any rate of asking.
func TestRequestThatCrashesSomeServersIsQuarantined(t *testing.T) {
	const seeds = 20
	for _, rate := range []float64{0.1, 0.5, 1, 10} {
		for _, share := range []float64{0.5, 0.7, 0.9, 1} {
			t.Run(fmt.Sprintf("%v per second, %v of the tries", rate, share), func(t *testing.T) {
				total, most := 0, 0
				for seed := range uint64(seeds) {
					quarantined, crashed := askedRequest{rate: rate, harmfulShare: share}.isQuarantined(seed)
					assert.Assert(t, quarantined, "seed %d, %d servers", seed, crashed)
					total, most = total+crashed, max(most, crashed)
				}
				t.Logf("%.1f servers lost, %d at most", float64(total)/seeds, most)
			})
		}
	}
}
