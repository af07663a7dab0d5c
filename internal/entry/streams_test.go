package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
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
	synctest.Test(t, func(*testing.T) {
		world := newStreamWorld()
		for _, command := range commands {
			world.do(command)
		}
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
