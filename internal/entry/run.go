package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/relay"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Causes for which a request is cut short.
var (
	errCancelled  = errors.New("cancelled by the caller")
	errCallerGone = errors.New("no caller reads the answer")
)

// Part of the stated time that is kept for telling the outcome.
const (
	marginPart = 20
	marginMin  = 10 * time.Millisecond
	marginMax  = 200 * time.Millisecond
)

// run is the life of one request, from admission to outcome. It is used by
// one goroutine.
type run struct {
	*active

	entry *Entry
	// fence is the token of the right to dispatch, for a request with a key.
	fence uint64
	// attempts counts the dispatches so far.
	attempts int
	// sending is the dispatch that is on its way.
	sending fleet.Sending
	// tried has the servers that failed since there was last any choice.
	tried []string
	// fingerprint is that of what the caller asked.
	fingerprint fingerprint.Fingerprint
	// mayHaveRun says that a server may have run the request, in part or
	// whole. It never goes back to false.
	mayHaveRun bool
}

// margin is how long before its time is over a request gets its outcome.
func margin(stated time.Duration) time.Duration {
	return min(max(stated/marginPart, marginMin), marginMax)
}

// start runs an admitted request. release is called once it has ended.
func (entry *Entry) start(admitted request.Request, release func()) *active {
	now := entry.now()
	deadline := now.Add(admitted.Time)
	cancellable, cancel := context.WithCancelCause(entry.life)
	ctx, stop := context.WithDeadline(cancellable, deadline.Add(-margin(admitted.Time)))
	started := &active{
		request:  admitted,
		buffer:   relay.NewBuffer(0, now),
		deadline: deadline,
		cancel:   cancel,
	}
	entry.retries.Earn()
	entry.registry.add(started)
	entry.background.Go(func() {
		defer cancel(nil)
		defer stop()
		defer release()
		run := &run{active: started, entry: entry, fingerprint: fingerprintOf(admitted)}
		entry.settle(started, run.execute(ctx))
	})
	return started
}

// fingerprintOf returns that of a request: its session, key and time differ between tries.
func fingerprintOf(admitted request.Request) fingerprint.Fingerprint {
	return fingerprint.New(fingerprint.Request{
		Organisation: admitted.Organisation, Target: admitted.Model, Body: admitted.Body,
	})
}

// settle tells the outcome to the callers and keeps the answer.
func (entry *Entry) settle(ended *active, outcome request.Outcome) {
	ended.buffer.End(outcome, entry.now())
	entry.registry.end(ended)
	entry.metrics.end(outcome)
	if !ended.request.Repeatable {
		entry.recordFinish(ended.request.WithoutBody(), outcome)
	}
	entry.logger.Info("ended", "request_id", ended.request.ID, "outcome", outcome.Kind,
		"reason", outcome.Reason, "tokens", ended.buffer.Next())
}

// execute dispatches the request until it has an outcome.
func (run *run) execute(ctx context.Context) request.Outcome {
	if !run.request.Repeatable {
		outcome, granted := run.begin(ctx)
		if !granted {
			return outcome
		}
	}
	for {
		if ctx.Err() != nil {
			return run.interrupted(ctx)
		}
		if left := run.entry.quarantine.Remaining(run.fingerprint); left > 0 {
			return run.failed(request.ReasonCrashesServers, left)
		}
		decision := run.decide()
		if decision.Refusal != routing.RefusalNone {
			if outcome, final := run.refused(decision.Refusal); final {
				return outcome
			}
			wait.For(ctx, run.entry.settings.Retry.Pause)
			continue
		}
		result := run.attempt(ctx, decision)
		if outcome, final := run.conclude(ctx, result); final {
			return outcome
		}
	}
}

// decide asks the policy, and logs what it answers.
func (run *run) decide() routing.Decision {
	entry := run.entry
	kind := infra.KindEngine
	policy := entry.policy
	if run.request.Service {
		kind = infra.KindService
		policy = routing.LeastOutstanding{}
	}
	started := time.Now()
	decision := policy.Decide(entry.fleet.Snapshot(kind, entry.configuration().Evacuated), run.routingRequest(), entry.random())
	entry.metrics.decisionTime.Observe(time.Since(started).Seconds())
	entry.logger.Info("routed", "request_id", run.request.ID, "attempt", run.attempts,
		"organisation", run.request.Organisation, "model", run.request.Model, "tokens", run.request.Tokens(),
		"servers", serverIDs(decision.Servers), "refusal", decision.Refusal, "reason", decision.Reason)
	return decision
}

func serverIDs(servers []routing.Server) []string {
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	return ids
}

// routingRequest describes the request to the policy. A call to a service
// takes no memory that is known of.
func (run *run) routingRequest() routing.Request {
	if run.request.Service {
		return routing.Request{Model: run.request.Model, TimeLeft: run.timeLeft(), Tried: run.tried}
	}
	return routing.Request{
		Model:     run.request.Model,
		Tokens:    run.request.Tokens() + run.buffer.Next(),
		MaxTokens: max(0, run.request.MaxTokens-run.buffer.Next()),
		TimeLeft:  run.timeLeft(),
		Tried:     run.tried,
	}
}

func (run *run) timeLeft() time.Duration {
	return run.deadline.Sub(run.entry.now())
}

// refused returns the outcome when no server was chosen, unless it is worth
// looking again since other servers failed before.
func (run *run) refused(refusal routing.Refusal) (request.Outcome, bool) {
	if refusal == routing.RefusalNoServer && len(run.tried) > 0 {
		run.tried = nil
		return request.Outcome{}, false
	}
	retryAfter := run.entry.settings.Admission.RetryAfter
	switch refusal {
	case routing.RefusalNoTime:
		return run.failed(request.ReasonNoTime, retryAfter), true
	case routing.RefusalTooLong:
		return run.failed(request.ReasonTooLong, 0), true
	default:
		return run.failed(request.ReasonNoServer, retryAfter), true
	}
}

// failed returns the true outcome of a request that ends without an answer.
func (run *run) failed(reason request.Reason, retryAfter time.Duration) request.Outcome {
	if run.mayHaveRun {
		return request.MayHaveRun(reason)
	}
	return request.NotRun(reason, retryAfter)
}

// interrupted returns the outcome of a request whose time is over or that was
// cut short.
func (run *run) interrupted(ctx context.Context) request.Outcome {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCancelled):
		return run.failed(request.ReasonCancelled, 0)
	case errors.Is(cause, errCallerGone):
		return run.failed(request.ReasonCallerGone, 0)
	case errors.Is(cause, context.DeadlineExceeded):
		return run.failed(request.ReasonDeadline, run.entry.settings.Admission.RetryAfter)
	default:
		return run.failed(request.ReasonStopping, run.entry.settings.Admission.RetryAfter)
	}
}

// resultKind says how one attempt came out.
type resultKind string

const (
	resultCompleted   resultKind = "completed"
	resultInterrupted resultKind = "interrupted"
	// resultNotRun: the server certainly did not run it.
	resultNotRun resultKind = "not_run"
	// resultUncertain: the server may have run it, in part or whole.
	resultUncertain resultKind = "uncertain"
	// resultEnded: the server ended it of its own accord, for its time was
	// over or nobody read it.
	resultEnded resultKind = "ended"
)

type result struct {
	kind   resultKind
	reason request.Reason
	// server is the one that answered or failed.
	server string
	// lost says that the connection to the server broke and it did not answer again, and ran that
	// tokens of this attempt had come.
	lost, ran bool
	err       error
}

// conclude returns the outcome after an attempt, unless another one follows.
func (run *run) conclude(ctx context.Context, result result) (request.Outcome, bool) {
	entry := run.entry
	entry.metrics.attempts.WithLabelValues(string(result.kind)).Inc()
	switch result.kind {
	case resultCompleted:
		entry.fleet.Succeeded(result.server)
		entry.quarantine.RecordCompletion(run.fingerprint, result.server)
		return request.Completed(result.server), true
	case resultInterrupted:
		return run.interrupted(ctx), true
	case resultEnded:
		return run.failed(result.reason, entry.settings.Admission.RetryAfter), true
	}
	if result.lost {
		entry.quarantine.RecordLoss(quarantine.Loss{Fingerprint: run.fingerprint, Server: result.server, HadEvent: result.ran})
	}
	ejected := entry.fleet.Failed(result.server)
	entry.logger.Warn("attempt failed", "request_id", run.request.ID, "attempt", run.attempts-1,
		"server", result.server, "result", result.kind, "lost", result.lost,
		"fingerprint", run.fingerprint, "ejected", ejected, "error", result.err)
	run.tried = append(run.tried, result.server)
	retryAfter := entry.settings.Admission.RetryAfter
	switch {
	case result.kind == resultUncertain && !run.request.Repeatable:
		return run.failed(result.reason, retryAfter), true
	case run.attempts >= entry.settings.Retry.MaxAttempts:
		return run.failed(result.reason, retryAfter), true
	case !entry.retries.Spend():
		return run.failed(request.ReasonRetryBudget, retryAfter), true
	}
	return request.Outcome{}, false
}

// mayBeDropped reports whether the request may be cancelled because nobody
// reads its answer.
func (active *active) mayBeDropped() bool {
	streamed := active.request.Mode == request.ModeStream
	return streamed && active.request.Repeatable && !active.request.Service
}
