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

// streamCommand is one thing that happens to the world.
type streamCommand struct {
	kind     int
	node     int
	prompt   int
	tokens   int
	cut      int
	duration time.Duration
}

func streamCommands() *rapid.Generator[[]streamCommand] {
	one := rapid.Custom(func(t *rapid.T) streamCommand {
		return streamCommand{
			kind:     rapid.IntRange(0, 6).Draw(t, "kind"),
			node:     rapid.IntRange(0, nodeCount-1).Draw(t, "node"),
			prompt:   rapid.SampledFrom([]int{10, 1000, 40_000, 150_000}).Draw(t, "prompt"),
			tokens:   rapid.IntRange(1, 200).Draw(t, "tokens"),
			cut:      rapid.SampledFrom([]int{0, 0, 1, 7, 50}).Draw(t, "cut"),
			duration: time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 10, 40)
}

func (world *streamWorld) do(command streamCommand) {
	switch command.kind {
	case 0, 1, 2:
		world.submit(command.node, command.prompt, command.tokens, command.cut)
	case 3:
		time.Sleep(command.duration)
	case 4:
		world.startEngine(command.node)
	case 5:
		world.mu.Lock()
		world.cutAfter = command.cut
		world.mu.Unlock()
	case 6:
		world.startEntry(command.node)
	}
}

func playStreams(t *testing.T, commands []streamCommand) (broken error) {
	t.Helper()
	return inStreamWorld(t, func(world *streamWorld) {
		for _, command := range commands {
			world.do(command)
		}
	})
}

// inStreamWorld plays before engines and entries until all callers have an outcome, and returns what is wrong.
func inStreamWorld(t *testing.T, play func(world *streamWorld)) (broken error) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		world := newStreamWorld()
		play(world)
		world.calling.Wait()
		time.Sleep(time.Minute) // until what nobody reads has been dropped
		for i, caller := range world.callers {
			err := caller.check()
			if err != nil && broken == nil {
				broken = errors.Wrapf(err, "caller %d (outcome %v, lost %t)", i, caller.outcome, caller.lost)
			}
		}
		for id, engine := range world.engines {
			if free := engine.Truth().FreeTokens; free != testMemory && broken == nil {
				broken = errors.Newf("%s has %d tokens of memory free after all is over", id, free)
			}
			engine.Close()
		}
		for _, entry := range world.entries {
			entry.end()
			entry.background.Wait()
		}
		for _, end := range world.ends {
			end()
		}
		world.running.Wait()
	})
	return broken
}

// TestStreamsAreWhole plays random cuts of callers and engines, and deaths of
// engines and entries, on streams of all lengths.
func TestStreamsAreWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := streamCommands().Draw(rt, "commands")
		err := playStreams(t, drawn)
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// TestRequestThatCrashesEnginesIsSentNoMore has callers ask again and again, under new IDs, for what crashes each
// engine that runs it, beside others. What an entry knew of a request ended with each of them, so that each got
// up to four more engines: 40 of 40 sends crashed one. After three it is to be sent no more, and the others go on.
func TestRequestThatCrashesEnginesIsSentNoMore(t *testing.T) {
	var crashes, sends []time.Time
	var outcomes []Status
	broken := inStreamWorld(t, func(world *streamWorld) {
		for range 10 {
			world.submit(0, crashingTokens, 20, 0)
			world.submit(0, 1000, 20, 0)
			time.Sleep(time.Second)
		}
		world.calling.Wait()
		crashes, sends = world.crashes, world.sends
		for _, caller := range world.callers {
			outcomes = append(outcomes, caller.outcome)
		}
	})
	assert.NilError(t, broken)
	assert.Assert(t, len(crashes) >= 3, "%d crashed", len(crashes))
	late := 0
	for _, sent := range sends {
		if sent.After(crashes[2].Add(3 * time.Second)) {
			late++
		}
	}
	assert.Assert(t, late <= 3, "sent %d times more, %d crashed", late, len(crashes))
	last := outcomes[len(outcomes)-2]
	assert.Equal(t, last.Outcome, request.KindFailedNotRun)
	assert.Equal(t, outcomes[len(outcomes)-1].Outcome, request.KindCompleted)
}
