package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/relay"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Causes with which the context of a request is cancelled.
var (
	errCancelled  = errors.New("cancelled by the caller")
	errCallerGone = errors.New("no caller reads the response")
)

// Bounds of the margin that is reserved for sending the outcome: the time limit of
// the request divided by marginDivisor, at least marginMin and at most marginMax.
const (
	marginDivisor = 20
	marginMin     = 10 * time.Millisecond
	marginMax     = 200 * time.Millisecond
)

// forwarder forwards one request to backend servers until it has an outcome. It is used
// by one goroutine.
type forwarder struct {
	*activeRequest

	entry *Entry
	// fence is the fencing token of a request with a key, or zero.
	fence uint64
	// attempts is the number of attempts so far.
	attempts int
	// dispatched is the current attempt in the fleet's accounting of requests in flight.
	dispatched fleet.ActiveRequest
	// triedServers lists the servers that failed, which are excluded from routing. It is
	// cleared when no other server is left.
	triedServers []string
	// fingerprint identifies the content of the request across retries by callers.
	fingerprint fingerprint.Fingerprint
	// mayHaveRun reports that a server may have run the request, in part or
	// completely. Once set, it is never reset.
	mayHaveRun bool
}

// outcomeMargin returns how long before its deadline a request with the given time limit
// gets its outcome.
func outcomeMargin(timeLimit time.Duration) time.Duration {
	return min(max(timeLimit/marginDivisor, marginMin), marginMax)
}

// startRequest runs an admitted request in the background, and calls release when the
// request has ended.
func (entry *Entry) startRequest(admitted request.Request, release func()) *activeRequest {
	now := entry.now()
	deadline := now.Add(admitted.TimeLimit)
	cancellableCtx, cancel := context.WithCancelCause(entry.baseContext)
	ctx, stop := context.WithDeadline(cancellableCtx, deadline.Add(-outcomeMargin(admitted.TimeLimit)))
	started := &activeRequest{
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
		forwarder := &forwarder{activeRequest: started, entry: entry, fingerprint: fingerprintOf(admitted)}
		entry.recordEnd(started, forwarder.forward(ctx))
	})
	return started
}

// fingerprintOf returns the fingerprint of a request. The session, key and time limit are left out, because they differ
// between the retries of a caller.
func fingerprintOf(admitted request.Request) fingerprint.Fingerprint {
	return fingerprint.New(fingerprint.Request{
		Organisation: admitted.Organisation, Target: admitted.Model, Body: admitted.Body,
	})
}

// recordEnd sends the outcome to the callers that read the response, stores the
// response and records the outcome of a request with a key.
func (entry *Entry) recordEnd(ended *activeRequest, outcome request.Outcome) {
	ended.buffer.End(outcome, entry.now())
	entry.registry.moveToEnded(ended)
	entry.metrics.recordEnd(outcome)
	if !ended.request.Repeatable {
		entry.recordFinish(ended.request.WithoutBody(), outcome)
	}
	entry.logger.Info("ended", "request_id", ended.request.ID, "outcome", outcome.Kind,
		"reason", outcome.Reason, "tokens", ended.buffer.Next())
}

// forward dispatches the request until it has an outcome.
func (forwarder *forwarder) forward(ctx context.Context) request.Outcome {
	if !forwarder.request.Repeatable {
		outcome, granted := forwarder.claimKey(ctx)
		if !granted {
			return outcome
		}
	}
	for {
		if ctx.Err() != nil {
			return forwarder.interruptedOutcome(ctx)
		}
		if remaining := forwarder.entry.quarantine.Remaining(forwarder.fingerprint); remaining > 0 {
			return forwarder.failureOutcome(request.ReasonCrashesServers, remaining)
		}
		decision := forwarder.route()
		if decision.Refusal != routing.RefusalNone {
			if outcome, final := forwarder.refusalOutcome(decision.Refusal); final {
				return outcome
			}
			wait.For(ctx, forwarder.entry.settings.Retry.Delay)
			continue
		}
		result := forwarder.send(ctx, decision)
		if outcome, final := forwarder.handleResult(ctx, result); final {
			return outcome
		}
	}
}

// route returns the decision of the routing policy, and logs it.
func (forwarder *forwarder) route() routing.Decision {
	entry := forwarder.entry
	kind := platformclient.KindEngine
	policy := entry.policy
	if forwarder.request.Service {
		kind = platformclient.KindService
		policy = routing.LeastOutstanding{}
	}
	started := time.Now()
	decision := policy.Decide(entry.fleet.Snapshot(kind, entry.configuration().Evacuated), forwarder.routingRequest(), entry.random())
	entry.metrics.decisionTime.Observe(time.Since(started).Seconds())
	entry.logger.Info("routing decision", "request_id", forwarder.request.ID, "attempt", forwarder.attempts,
		"organisation", forwarder.request.Organisation, "model", forwarder.request.Model, "tokens", forwarder.request.Tokens(),
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

// routingRequest returns the input of the routing policy. The memory use of a call
// to a plain service is unknown, so it is left at zero.
func (forwarder *forwarder) routingRequest() routing.Request {
	if forwarder.request.Service {
		return routing.Request{Model: forwarder.request.Model, TimeLeft: forwarder.timeLeft(), Tried: forwarder.triedServers}
	}
	return routing.Request{
		Model:     forwarder.request.Model,
		Tokens:    forwarder.request.Tokens() + forwarder.buffer.Next(),
		MaxTokens: max(0, forwarder.request.MaxTokens-forwarder.buffer.Next()),
		TimeLeft:  forwarder.timeLeft(),
		Tried:     forwarder.triedServers,
	}
}

func (forwarder *forwarder) timeLeft() time.Duration {
	return forwarder.deadline.Sub(forwarder.entry.now())
}

// refusalOutcome returns the outcome of a request for which no server was chosen. It
// reports false if the request should be routed again, because servers were
// excluded after earlier failures.
func (forwarder *forwarder) refusalOutcome(refusal routing.Refusal) (request.Outcome, bool) {
	if refusal == routing.RefusalNoServer && len(forwarder.triedServers) > 0 {
		forwarder.triedServers = nil
		return request.Outcome{}, false
	}
	retryAfter := forwarder.entry.settings.Admission.RetryAfter
	switch refusal {
	case routing.RefusalDeadline:
		return forwarder.failureOutcome(request.ReasonInsufficientTime, retryAfter), true
	case routing.RefusalTooLong:
		return forwarder.failureOutcome(request.ReasonPromptTooLong, 0), true
	default:
		return forwarder.failureOutcome(request.ReasonNoServer, retryAfter), true
	}
}

// failureOutcome returns the outcome of a request that ends without a complete response:
// whether it may have run depends on the attempts so far.
func (forwarder *forwarder) failureOutcome(reason request.Reason, retryAfter time.Duration) request.Outcome {
	if forwarder.mayHaveRun {
		return request.MayHaveRun(reason)
	}
	return request.NotRun(reason, retryAfter)
}

// interruptedOutcome returns the outcome of a request whose context has ended: by its
// deadline, by cancellation or because the entry stops.
func (forwarder *forwarder) interruptedOutcome(ctx context.Context) request.Outcome {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCancelled):
		return forwarder.failureOutcome(request.ReasonCancelled, 0)
	case errors.Is(cause, errCallerGone):
		return forwarder.failureOutcome(request.ReasonCallerGone, 0)
	case errors.Is(cause, context.DeadlineExceeded):
		return forwarder.failureOutcome(request.ReasonDeadline, forwarder.entry.settings.Admission.RetryAfter)
	default:
		return forwarder.failureOutcome(request.ReasonStopping, forwarder.entry.settings.Admission.RetryAfter)
	}
}

// resultKind is the kind of result of one attempt.
type resultKind string

const (
	resultCompleted   resultKind = "completed"
	resultInterrupted resultKind = "interrupted"
	// resultNotRun means that the server certainly did not run the request.
	resultNotRun resultKind = "not_run"
	// resultUncertain means that the server may have run the request, in part or
	// completely.
	resultUncertain resultKind = "uncertain"
	// resultEndedByServer means that the server ended the request itself, because of its
	// deadline or because it was cancelled there.
	resultEndedByServer resultKind = "ended"
)

// result is the result of one attempt.
type result struct {
	kind   resultKind
	reason request.Reason
	// server is the ID of the server that responded or failed.
	server string
	// connectionLost reports that the connection to the server broke and could not be re-established;
	// receivedToken reports that tokens of this attempt were received before.
	connectionLost, receivedToken bool
	// address is that of the server if the connection was lost.
	address string
	err     error
}

// endCheckTimeout is how long the port of a server may take to accept or refuse a connection.
const endCheckTimeout = 300 * time.Millisecond

// checkEnded finds out whether the process of a server ended, after a connection to it was lost.
func (entry *Entry) checkEnded(server, address string) {
	ctx, cancel := context.WithTimeout(entry.baseContext, endCheckTimeout)
	defer cancel()
	if entry.backends.HasEnded(ctx, address) {
		entry.logger.Info("server ended", "server", server)
		entry.quarantine.RecordEnd(server)
	}
}

// handleResult handles the result of an attempt. It returns the outcome of the request,
// or reports false if the request should be attempted again.
func (forwarder *forwarder) handleResult(ctx context.Context, result result) (request.Outcome, bool) {
	entry := forwarder.entry
	entry.metrics.attempts.WithLabelValues(string(result.kind)).Inc()
	switch result.kind {
	case resultCompleted:
		entry.fleet.RecordSuccess(result.server)
		entry.quarantine.RecordCompletion(forwarder.fingerprint, result.server)
		return request.Completed(result.server), true
	case resultInterrupted:
		return forwarder.interruptedOutcome(ctx), true
	case resultEndedByServer:
		return forwarder.failureOutcome(result.reason, entry.settings.Admission.RetryAfter), true
	}
	if result.connectionLost {
		entry.quarantine.RecordLoss(quarantine.Loss{Fingerprint: forwarder.fingerprint, Server: result.server, HadEvent: result.receivedToken})
		entry.background.Go(func() { entry.checkEnded(result.server, result.address) })
	}
	ejected := entry.fleet.RecordFailure(result.server)
	entry.logger.Warn("attempt failed", "request_id", forwarder.request.ID, "attempt", forwarder.attempts-1,
		"server", result.server, "result", result.kind, "lost", result.connectionLost,
		"fingerprint", forwarder.fingerprint, "ejected", ejected, "error", result.err)
	forwarder.triedServers = append(forwarder.triedServers, result.server)
	retryAfter := entry.settings.Admission.RetryAfter
	switch {
	case result.kind == resultUncertain && !forwarder.request.Repeatable:
		return forwarder.failureOutcome(result.reason, retryAfter), true
	case forwarder.attempts >= entry.settings.Retry.MaxAttempts:
		return forwarder.failureOutcome(result.reason, retryAfter), true
	case !entry.retries.Spend():
		return forwarder.failureOutcome(request.ReasonRetryBudget, retryAfter), true
	}
	return request.Outcome{}, false
}

// cancellableWhenUnread reports whether the request may be cancelled when no caller reads
// its response.
func (activerequest *activeRequest) cancellableWhenUnread() bool {
	streamed := activerequest.request.Mode == request.ModeStream
	return streamed && activerequest.request.Repeatable && !activerequest.request.Service
}
