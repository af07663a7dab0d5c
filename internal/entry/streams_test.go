package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/request"
)

// streamCommand is one event in the stream cluster. Its kind decides which of the
// other fields are used.
type streamCommand struct {
	kind int
	node int
	// promptTokens is the length of the prompt, and maxTokens that of the response.
	promptTokens int
	maxTokens    int
	// disconnectAfter is the number of tokens or frames after which a connection breaks, or zero for never.
	disconnectAfter int
	duration        time.Duration
}

func streamCommandSequences() *rapid.Generator[[]streamCommand] {
	commandGenerator := rapid.Custom(func(t *rapid.T) streamCommand {
		return streamCommand{
			kind:            rapid.IntRange(0, 6).Draw(t, "kind"),
			node:            rapid.IntRange(0, nodeCount-1).Draw(t, "node"),
			promptTokens:    rapid.SampledFrom([]int{10, 1000, 40_000, 150_000}).Draw(t, "prompt"),
			maxTokens:       rapid.IntRange(1, 200).Draw(t, "tokens"),
			disconnectAfter: rapid.SampledFrom([]int{0, 0, 1, 7, 50}).Draw(t, "cut"),
			duration:        time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(commandGenerator, 10, 40)
}

func (cluster *streamCluster) apply(command streamCommand) {
	switch command.kind {
	case 0, 1, 2:
		cluster.submit(command.node, command.promptTokens, command.maxTokens, command.disconnectAfter)
	case 3:
		time.Sleep(command.duration)
	case 4:
		cluster.startEngine(command.node)
	case 5:
		cluster.mu.Lock()
		cluster.disconnectAfter = command.disconnectAfter
		cluster.mu.Unlock()
	case 6:
		cluster.startEntry(command.node)
	}
}

func runStreamCommands(t *testing.T, commands []streamCommand) (violation error) {
	t.Helper()
	return runInStreamCluster(t, func(cluster *streamCluster) {
		for _, command := range commands {
			cluster.apply(command)
		}
	})
}

// runInStreamCluster calls scenario with a new stream cluster, waits until all callers have an outcome, and returns the first
// violated guarantee.
func runInStreamCluster(t *testing.T, scenario func(cluster *streamCluster)) (violation error) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		cluster := newStreamCluster()
		scenario(cluster)
		cluster.activeCallers.Wait()
		time.Sleep(time.Minute) // until streams without a reader are cancelled
		for i, caller := range cluster.callers {
			err := caller.check()
			if err != nil && violation == nil {
				violation = errors.Wrapf(err, "caller %d (outcome %v, lost %t)", i, caller.outcome, caller.lost)
			}
		}
		for id, engine := range cluster.engines {
			if free := engine.CurrentLoad().FreeTokens; free != engineMemoryTokens && violation == nil {
				violation = errors.Newf("%s has %d free tokens of memory after all requests have ended", id, free)
			}
			engine.Close()
		}
		for _, entry := range cluster.entries {
			entry.cancelBase()
			entry.background.Wait()
		}
		for _, end := range cluster.cancels {
			end()
		}
		cluster.goroutines.Wait()
	})
	return violation
}

// TestStreamsAreComplete guards against lost, repeated or wrong tokens and against
// leaked engine memory. Connections to callers and engines break at random, and
// engines and entries are restarted, while streams of all lengths are in flight.
func TestStreamsAreComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := streamCommandSequences().Draw(rt, "commands")
		err := runStreamCommands(t, drawn)
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// TestCrashingRequestIsQuarantined guards against retries of callers that crash one engine after the other.
// Each retry has a new request ID; while an entry recorded failures by request ID only, each retry was sent to up to
// four more engines, and 40 of 40 sends crashed one. After three crashes the request must not be sent again, and other
// requests must still complete.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	var crashes, sends []time.Time
	var outcomes []Status
	violation := runInStreamCluster(t, func(cluster *streamCluster) {
		for range 10 {
			cluster.submit(0, crashingTokens, 20, 0)
			cluster.submit(0, 1000, 20, 0)
			time.Sleep(time.Second)
		}
		cluster.activeCallers.Wait()
		crashes, sends = cluster.crashes, cluster.sends
		for _, caller := range cluster.callers {
			outcomes = append(outcomes, caller.outcome)
		}
	})
	assert.NilError(t, violation)
	assert.Assert(t, len(crashes) >= 3, "only %d crashes", len(crashes))
	lateSends := 0
	for _, sentAt := range sends {
		if sentAt.After(crashes[2].Add(3 * time.Second)) {
			lateSends++
		}
	}
	assert.Assert(t, lateSends <= 3, "%d sends after the third crash, %d crashes in total", lateSends, len(crashes))
	last := outcomes[len(outcomes)-2]
	assert.Equal(t, last.Outcome, request.KindFailedNotRun)
	assert.Equal(t, outcomes[len(outcomes)-1].Outcome, request.KindCompleted)
}
