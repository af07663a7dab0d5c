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
	"github.com/mastwinch/mastwinch/internal/keeperclient"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// mutantRuns is the number of runs within which each injected fault must be detected.
const mutantRuns = 400

func TestMain(m *testing.M) {
	promisesTime := flag.Duration("promises.time", 0, "stop the search for violated guarantees after this time")
	// A fixed seed repeats the same runs, unless the command line sets another one.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	if *promisesTime > 0 {
		time.AfterFunc(*promisesTime, func() { os.Exit(0) })
	}
	os.Exit(m.Run())
}

// command is one event in the test cluster. Its kind decides which of the other fields are used.
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
	commandLogDown
	commandLogUp
	commandDelayLog
	commandServerMode
	commandPause
	commandResume
	commandRestart
	commandSettle
	commandAdvanceHorizon
	commandKinds
)

func commandSequences() *rapid.Generator[[]command] {
	commandGenerator := rapid.Custom(func(t *rapid.T) command {
		return command{
			kind:     commandKind(rapid.IntRange(0, int(commandKinds)-1).Draw(t, "kind")),
			node:     rapid.IntRange(0, nodeCount-1).Draw(t, "node"),
			key:      rapid.IntRange(0, keyCount-1).Draw(t, "key"),
			mode:     serverMode(rapid.IntRange(0, int(serverModes)-1).Draw(t, "mode")),
			duration: time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(commandGenerator, 20, 60)
}

func (cluster *cluster) apply(command command) {
	switch command.kind {
	case commandSubmit:
		cluster.submit(command.node, command.key, command.duration+time.Second)
	case commandSubmitTwice:
		cluster.submit(command.node, command.key, command.duration+time.Second)
		cluster.submit((command.node+1)%nodeCount, command.key, command.duration+time.Second)
	case commandAdvance:
		time.Sleep(command.duration)
	case commandLogDown, commandLogUp:
		cluster.mu.Lock()
		cluster.outage = command.kind == commandLogDown
		cluster.mu.Unlock()
	case commandDelayLog:
		cluster.mu.Lock()
		cluster.recordDelay = command.duration
		cluster.mu.Unlock()
	case commandServerMode:
		cluster.mu.Lock()
		cluster.mode = command.mode
		cluster.mu.Unlock()
	case commandPause:
		cluster.pause(command.node)
	case commandResume:
		cluster.resume(command.node)
	case commandRestart:
		cluster.restart(command.node)
	case commandSettle:
		cluster.settleRunning()
	case commandAdvanceHorizon:
		horizon := uint64(time.Now().Add(-command.duration).UnixMilli())
		cluster.append(&wire.Record{Id: "horizon", Body: &wire.Record_AdvanceHorizon{
			AdvanceHorizon: &wire.AdvanceHorizon{KeyTimeMs: horizon},
		}})
	}
}

// runCommands applies commands to a new test cluster, ends the log outage and all pauses,
// waits until all calls have ended, and returns the first violated guarantee.
func runCommands(t *testing.T, commands []command, mutant mutant) (violation error) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		cluster := newCluster(mutant)
		for _, command := range commands {
			cluster.apply(command)
			synctest.Wait()
		}
		cluster.apply(command{kind: commandLogUp})
		for i := range cluster.nodes {
			cluster.resume(i)
		}
		cluster.calls.Wait()
		time.Sleep(time.Minute)
		violation = cluster.check()
		cluster.stopAll()
	})
	return violation
}

// TestPromises checks the guarantees to callers under random commands: entries
// are paused and restarted, the log loses or delays records, and the service
// refuses calls, loses responses or is slow, alone and in combination. A key must be
// run at most once, a request reported as not run must not have run, a completed
// one must have run and return its own response, and the time limit must be met.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := commandSequences().Draw(rt, "commands")
		err := runCommands(t, drawn, noMutant{})
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// TestPromisesDetectInjectedFaults guards against a check of TestPromises that cannot fail:
// each injected fault must be detected.
func TestPromisesDetectInjectedFaults(t *testing.T) {
	mutants := map[string]mutant{
		"dispatch before the record is read back":     dispatchBeforeReadBack{},
		"dispatch with the key of another request":    dispatchRefused{reason: statemachine.ReasonConflict},
		"dispatch with an expired key":                dispatchRefused{reason: statemachine.ReasonKeyExpired},
		"dispatch after a timeout of the log":         dispatchUnsettled{},
		"lost response reported as not run":           notRunAfterLostResponse{},
		"request of a lost owner settled as not run":  settledAsNotRun{},
		"refusal reported as completed":               completedAfterRefusal{},
		"call sent twice by the transport":            sentTwice{},
		"response of another request":                 foreignResponse{},
		"wait for the log longer than the time limit": waitsTooLong{},
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			commandCount := 0
			for try := range mutantRuns {
				drawn := commandSequences().Example(try)
				commandCount += len(drawn)
				err := runCommands(t, drawn, mutant)
				if err != nil {
					t.Logf("detected after %d runs and %d commands: %v", try+1, commandCount, err)
					return
				}
			}
			assert.Assert(t, false, "not detected in %d runs and %d commands", mutantRuns, commandCount)
		})
	}
}

// mutant injects a fault: it changes the behaviour of the test cluster or of an entry at one point.
type mutant interface {
	proposer(node *node) Proposer
	// lostResponse and refusal return the error that an entry gets for a failed call.
	lostResponse(address string) error
	refusal(err error) error
	// sendCount is the number of times that a call is sent.
	sendCount() int
	// response returns the response of the service to a call.
	response(body []byte) []byte
	// settledOutcome is the outcome that a keeper records for a request whose owner is lost.
	settledOutcome() wire.Outcome
}

// noMutant injects no fault.
type noMutant struct{}

func (noMutant) proposer(node *node) Proposer { return node }

func (noMutant) lostResponse(address string) error {
	return errors.Newf("%s: connection reset", address)
}

func (noMutant) refusal(err error) error { return err }

func (noMutant) sendCount() int { return 1 }

func (noMutant) response(body []byte) []byte { return body }

func (noMutant) settledOutcome() wire.Outcome { return wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN }

// changedProposer is a node that proposes begin records by another function.
type changedProposer struct {
	*node
	propose func(ctx context.Context, record *wire.Record) (statemachine.Verdict, error)
}

func (changedproposer changedProposer) Propose(ctx context.Context, record *wire.Record) (statemachine.Verdict, error) {
	if record.GetBegin() == nil {
		return changedproposer.node.Propose(ctx, record)
	}
	return changedproposer.propose(ctx, record)
}

type dispatchBeforeReadBack struct{ noMutant }

func (dispatchBeforeReadBack) proposer(node *node) Proposer {
	return changedProposer{node, func(_ context.Context, record *wire.Record) (statemachine.Verdict, error) {
		node.cluster.append(record)
		return statemachine.Accept(1), nil
	}}
}

type dispatchRefused struct {
	noMutant
	reason statemachine.Reason
}

func (mutant dispatchRefused) proposer(node *node) Proposer {
	return changedProposer{node, func(ctx context.Context, record *wire.Record) (statemachine.Verdict, error) {
		verdict, err := node.Propose(ctx, record)
		verdict.Accepted = verdict.Accepted || verdict.Reason == mutant.reason
		return verdict, err
	}}
}

type dispatchUnsettled struct{ noMutant }

func (dispatchUnsettled) proposer(node *node) Proposer {
	return changedProposer{node, func(ctx context.Context, record *wire.Record) (statemachine.Verdict, error) {
		shortCtx, cancel := context.WithTimeout(ctx, reproposeInterval)
		defer cancel()
		verdict, err := node.Propose(shortCtx, record)
		if errors.Is(err, keeperclient.ErrUnsettled) {
			return statemachine.Accept(1), nil
		}
		return verdict, err
	}}
}

type waitsTooLong struct{ noMutant }

func (waitsTooLong) proposer(node *node) Proposer {
	return changedProposer{node, func(ctx context.Context, record *wire.Record) (statemachine.Verdict, error) {
		longCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
		defer cancel()
		return node.Propose(longCtx, record)
	}}
}

type notRunAfterLostResponse struct{ noMutant }

func (notRunAfterLostResponse) lostResponse(address string) error {
	return &backend.NotRunError{Address: address, Reason: "connection reset"}
}

type settledAsNotRun struct{ noMutant }

func (settledAsNotRun) settledOutcome() wire.Outcome { return wire.Outcome_OUTCOME_FAILED_NOT_RUN }

type completedAfterRefusal struct{ noMutant }

func (completedAfterRefusal) refusal(error) error { return nil }

type sentTwice struct{ noMutant }

func (sentTwice) sendCount() int { return 2 }

type foreignResponse struct{ noMutant }

func (foreignResponse) response([]byte) []byte { return []byte(testKey(keyCount)) }
