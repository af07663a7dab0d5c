package entry

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/keeperclient"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// mutantTries is within how many runs each deliberate fault must be found.
const mutantTries = 400

func TestMain(m *testing.M) {
	promisesTime := flag.Duration("promises.time", 0, "stop looking for broken promises after this time")
	// The same runs every time, unless the command line says otherwise.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	if *promisesTime > 0 {
		time.AfterFunc(*promisesTime, func() { os.Exit(0) })
	}
	os.Exit(m.Run())
}

// command is one thing that happens to the world.
type command struct {
	kind     commandKind
	node     int
	key      int
	mode     serverMode
	duration time.Duration
}

type commandKind int

const (
	commandSubmit commandKind = iota
	commandSubmitTwice
	commandAdvance
	commandOutage
	commandLogUp
	commandLate
	commandMode
	commandPause
	commandWake
	commandKill
	commandSettle
	commandHorizon
	commandKinds
)

func commands() *rapid.Generator[[]command] {
	one := rapid.Custom(func(t *rapid.T) command {
		return command{
			kind:     commandKind(rapid.IntRange(0, int(commandKinds)-1).Draw(t, "kind")),
			node:     rapid.IntRange(0, nodeCount-1).Draw(t, "node"),
			key:      rapid.IntRange(0, keyCount-1).Draw(t, "key"),
			mode:     serverMode(rapid.IntRange(0, int(serverModes)-1).Draw(t, "mode")),
			duration: time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 20, 60)
}

func (world *world) do(command command) {
	switch command.kind {
	case commandSubmit:
		world.submit(command.node, command.key, command.duration+time.Second)
	case commandSubmitTwice:
		world.submit(command.node, command.key, command.duration+time.Second)
		world.submit((command.node+1)%nodeCount, command.key, command.duration+time.Second)
	case commandAdvance:
		time.Sleep(command.duration)
	case commandOutage, commandLogUp:
		world.mu.Lock()
		world.outage = command.kind == commandOutage
		world.mu.Unlock()
	case commandLate:
		world.mu.Lock()
		world.late = command.duration
		world.mu.Unlock()
	case commandMode:
		world.mu.Lock()
		world.mode = command.mode
		world.mu.Unlock()
	case commandPause:
		world.pause(command.node)
	case commandWake:
		world.wake(command.node)
	case commandKill:
		world.restart(command.node)
	case commandSettle:
		world.settle()
	case commandHorizon:
		horizon := uint64(time.Now().Add(-command.duration).UnixMilli())
		world.append(&wire.Record{Id: "horizon", Body: &wire.Record_AdvanceHorizon{
			AdvanceHorizon: &wire.AdvanceHorizon{KeyTimeMs: horizon},
		}})
	}
}

// play runs commands on a new world, lets it come to rest, and returns the
// first promise that was broken.
func play(t *testing.T, commands []command, mutant mutant) (broken error) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		world := newWorld(mutant)
		for _, command := range commands {
			world.do(command)
			synctest.Wait()
		}
		world.do(command{kind: commandLogUp})
		for i := range world.nodes {
			world.wake(i)
		}
		world.calls.Wait()
		time.Sleep(time.Minute)
		broken = world.check()
		world.end()
	})
	return broken
}

// TestPromises plays random commands on entries, a log and a service that fail
// in every way, alone and together.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := commands().Draw(rt, "commands")
		err := play(t, drawn, noMutant{})
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// TestPromisesFindFaults shows that the check bites: each deliberate fault is
// found.
func TestPromisesFindFaults(t *testing.T) {
	mutants := map[string]mutant{
		"dispatch before the record is read back": dispatchBeforeReadBack{},
		"dispatch though the key is another's":    dispatchRefused{reason: fold.ReasonConflict},
		"dispatch though the key has expired":     dispatchRefused{reason: fold.ReasonKeyExpired},
		"dispatch when the wait is over":          dispatchUnsettled{},
		"not run after a lost answer":             notRunAfterLostAnswer{},
		"not run for a silent owner":              settledAsNotRun{},
		"completed after a refusal":               completedAfterRefusal{},
		"sent twice by the transport":             sentTwice{},
		"answer of another":                       foreignAnswer{},
		"log waited for past the stated time":     waitsTooLong{},
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			steps := 0
			for try := range mutantTries {
				drawn := commands().Example(try)
				steps += len(drawn)
				err := play(t, drawn, mutant)
				if err != nil {
					t.Logf("found after %d runs and %d steps: %v", try+1, steps, err)
					return
				}
			}
			assert.Assert(t, false, "not found in %d runs and %d steps", mutantTries, steps)
		})
	}
}

// mutant changes how the code behaves at one point.
type mutant interface {
	proposer(node *node) Proposer
	// lostAnswer and refusal are what an entry makes of a call's failure.
	lostAnswer(address string) error
	refusal(err error) error
	// sendings is how often a call is sent.
	sendings() int
	answer(body []byte) []byte
	settlesAs() wire.Outcome
}

// noMutant changes nothing.
type noMutant struct{}

func (noMutant) proposer(node *node) Proposer { return node }

func (noMutant) lostAnswer(address string) error {
	return errors.Newf("%s: connection reset", address)
}

func (noMutant) refusal(err error) error { return err }

func (noMutant) sendings() int { return 1 }

func (noMutant) answer(body []byte) []byte { return body }

func (noMutant) settlesAs() wire.Outcome { return wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN }

// changedProposer is a node whose begin records come out otherwise.
type changedProposer struct {
	*node
	propose func(ctx context.Context, record *wire.Record) (fold.Verdict, error)
}

func (changedproposer changedProposer) Propose(ctx context.Context, record *wire.Record) (fold.Verdict, error) {
	if record.GetBegin() == nil {
		return changedproposer.node.Propose(ctx, record)
	}
	return changedproposer.propose(ctx, record)
}

type dispatchBeforeReadBack struct{ noMutant }

func (dispatchBeforeReadBack) proposer(node *node) Proposer {
	return changedProposer{node, func(_ context.Context, record *wire.Record) (fold.Verdict, error) {
		node.world.append(record)
		return fold.Accept(1), nil
	}}
}

type dispatchRefused struct {
	noMutant
	reason fold.Reason
}

func (mutant dispatchRefused) proposer(node *node) Proposer {
	return changedProposer{node, func(ctx context.Context, record *wire.Record) (fold.Verdict, error) {
		verdict, err := node.Propose(ctx, record)
		verdict.Accepted = verdict.Accepted || verdict.Reason == mutant.reason
		return verdict, err
	}}
}

type dispatchUnsettled struct{ noMutant }

func (dispatchUnsettled) proposer(node *node) Proposer {
	return changedProposer{node, func(ctx context.Context, record *wire.Record) (fold.Verdict, error) {
		short, cancel := context.WithTimeout(ctx, proposeAgain)
		defer cancel()
		verdict, err := node.Propose(short, record)
		if errors.Is(err, keeperclient.ErrUnsettled) {
			return fold.Accept(1), nil
		}
		return verdict, err
	}}
}

type waitsTooLong struct{ noMutant }

func (waitsTooLong) proposer(node *node) Proposer {
	return changedProposer{node, func(ctx context.Context, record *wire.Record) (fold.Verdict, error) {
		long, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
		defer cancel()
		return node.Propose(long, record)
	}}
}

type notRunAfterLostAnswer struct{ noMutant }

func (notRunAfterLostAnswer) lostAnswer(address string) error {
	return &backend.NotRunError{Address: address, Reason: "connection reset"}
}

type settledAsNotRun struct{ noMutant }

func (settledAsNotRun) settlesAs() wire.Outcome { return wire.Outcome_OUTCOME_FAILED_NOT_RUN }

type completedAfterRefusal struct{ noMutant }

func (completedAfterRefusal) refusal(error) error { return nil }

type sentTwice struct{ noMutant }

func (sentTwice) sendings() int { return 2 }

type foreignAnswer struct{ noMutant }

func (foreignAnswer) answer([]byte) []byte { return []byte(testKey(keyCount)) }
