package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/call"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// run is the life of one admitted request. It is used by one goroutine.
type run struct {
	*admitted

	gateway *Gateway
	body    []byte
	// fingerprint is that of what the caller asked, the same for each of its tries.
	fingerprint fingerprint.Fingerprint
	writer      http.ResponseWriter
	// sends counts the times that the request was sent to a server.
	sends int
	// arrivals counts the times that a server may have got it.
	arrivals int
	// asked says that servers were asked for, so that the request was counted where retries are granted.
	asked bool
	// looks counts the plans that were tried.
	looks int
	// runs counts the servers that may have run the request.
	runs int
	// tried has the servers that failed or refused the request.
	tried []string
	// last is how the last attempt came out.
	last result
	// refused says that the VM that decides expects no place before the caller leaves.
	refused bool
	// granted says that the VM that decides chose the servers of the last plan, and so granted a retry where it does.
	granted bool
	// givenUp says why the request is given up without a place, where that is known.
	givenUp givenUp
	// begun says that the head of an answer was written, and hasEvents that events of it came.
	begun     bool
	hasEvents atomic.Bool
	// lastEvent is the last event that the caller has, or empty.
	lastEvent string
	account   account
	seed      uint64
}

func newRun(gateway *Gateway, admitted *admitted, body []byte, writer http.ResponseWriter) *run {
	return &run{
		admitted:  admitted,
		gateway:   gateway,
		body:      body,
		writer:    writer,
		lastEvent: admitted.head.LastEvent,
		seed:      rand.Uint64(), //nolint:gosec // no secret

		fingerprint: admitted.fingerprint(body),
	}
}

// fingerprint returns that of the request with its body.
func (admitted *admitted) fingerprint(body []byte) fingerprint.Fingerprint {
	return fingerprint.New(fingerprint.Request{
		Organisation: admitted.organisationName(),
		Method:       admitted.incoming.Method,
		Host:         admitted.incoming.Host,
		Target:       admitted.incoming.RequestURI,
		Body:         body,
	})
}

// randomFraction returns a number from zero up to one.
func randomFraction() float64 {
	return rand.Float64() //nolint:gosec // no secret
}

// resultKind says how one attempt came out.
type resultKind string

const (
	// resultAnswered: the caller has the whole answer.
	resultAnswered resultKind = "answered"
	// resultNotRun: the server certainly did not run the request.
	resultNotRun resultKind = "not_run"
	// resultUncertain: the server may have run the request, in part or whole.
	resultUncertain resultKind = "uncertain"
	// resultNoMemory: nothing was sent, since memory could not be set aside.
	resultNoMemory resultKind = "no_memory"
	// resultMoved: nothing was sent, since a server took nothing more by then.
	resultMoved resultKind = "moved"
	// resultBroken: the answer to the caller was begun and cannot be ended.
	resultBroken resultKind = "broken"
)

// result is how one attempt came out.
type result struct {
	kind   resultKind
	status int
	err    error
	// atFault is the address of the server that failed, if it is not the one asked.
	atFault string
	// closed says that the server takes nothing more.
	closed bool
	// lost says that the connection broke while the server had the request, as it does for
	// all that is there when a server crashes.
	lost bool
	// notSent says that no connection to the server was made, so that nothing arrived there.
	notSent bool
	// ran says that an event came from the server.
	ran bool
	// excused says that the failure says nothing of the server.
	excused bool
	// answer is an answer of the server that may be passed on when no other
	// attempt does better.
	answer *plainAnswer
}

// execute sends the request to servers until it has an outcome.
func (run *run) execute(ctx context.Context) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer run.gateway.quarantine.Watch(run.fingerprint, func() { run.endHarmful(cancel) })()
	budget := run.gateway.budget(run.service.Name)
	budget.Earn()
	for {
		if run.gateway.quarantine.Kept(run.fingerprint) > 0 {
			return run.fail(ReasonCrashesServers)
		}
		plan, use, ok := run.place(ctx)
		if !ok && ctx.Err() == nil {
			return run.fail(run.unplaced())
		}
		if !ok {
			return run.interrupted(ctx)
		}
		if run.arrivals > 0 && !run.mayRetry(budget) {
			use.Over()
			return run.fail(ReasonRefused)
		}
		run.looks++
		result := run.attempt(ctx, plan, use)
		switch result.kind {
		case resultNoMemory:
			run.gateway.logger.Info("memory not set aside", "request_id", run.head.ID, "look", run.looks, "error", result.err)
			wait.For(ctx, run.gateway.settings.Request.Look)
			continue
		case resultMoved:
			run.gateway.logger.Info("placed anew", "request_id", run.head.ID, "look", run.looks, "error", result.err)
			continue
		case resultAnswered, resultNotRun, resultUncertain, resultBroken:
		}
		run.sends++
		if !result.notSent {
			run.arrivals++
		}
		if final, done := run.conclude(ctx, plan, result); done {
			return final
		}
	}
}

// endHarmful ends the request once servers crash under it. One that has events goes on, and tells by
// its end whether that was a mistake.
func (run *run) endHarmful(cancel context.CancelCauseFunc) {
	if !run.hasEvents.Load() {
		cancel(errHarmful)
	}
}

// dispatch is what the server of a plan is told.
func (run *run) dispatch(plan placement.Plan, held *reservation.Held) call.Dispatch {
	dispatch := call.Dispatch{
		Instance:     plan.Server.ID,
		Time:         run.callerDeadline.Sub(run.gateway.now()),
		Organisation: run.organisationName(),
		LastEvent:    run.lastEvent,
		Urgency:      run.urgency(),
	}
	if held != nil {
		dispatch.Helpers = append(dispatch.Helpers, call.Helper{Address: plan.Server.Address, Ticket: held.Ticket()})
	}
	for i, helper := range plan.Helpers {
		added := call.Helper{Address: helper.Address}
		if held != nil && plan.Shares[i+1] > 0 {
			added.Ticket = held.Ticket()
		}
		dispatch.Helpers = append(dispatch.Helpers, added)
	}
	return dispatch
}

// Objectives that tell urgencies apart.
const (
	urgentObjective = 500 * time.Millisecond
	normalObjective = 2 * time.Second
)

// urgency ranks requests at an engine by how soon they are wanted.
func (run *run) urgency() call.Urgency {
	switch {
	case run.head.Prompt == nil:
		return call.UrgencyNone
	case run.route.Objective <= urgentObjective:
		return call.UrgencyHigh
	case run.route.Objective <= normalObjective:
		return call.UrgencyNormal
	default:
		return call.UrgencyLow
	}
}

// conclude returns the outcome after an attempt, unless another one follows.
func (run *run) conclude(ctx context.Context, plan placement.Plan, result result) (outcome, bool) {
	gateway := run.gateway
	gateway.metrics.attempts.WithLabelValues(string(result.kind)).Inc()
	run.last = result
	if result.kind == resultAnswered {
		gateway.pool.Succeeded(plan.Server.ID, run.fingerprint)
		gateway.quarantine.Served(run.fingerprint, plan.Server.ID)
		return outcome{status: result.status, answered: true, server: plan.Server.ID}, true
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		run.noteFailure(plan, result)
	}
	if result.kind != resultNotRun {
		run.runs++
	}
	switch {
	case ctx.Err() != nil:
		return run.interrupted(ctx), true
	case result.kind == resultBroken, result.kind == resultUncertain && !run.route.Repeatable(),
		run.runs >= run.route.MaxAttempts, result.lost && gateway.quarantine.OnTrial(run.fingerprint):
		return run.fail(ReasonServerFailed), true
	}
	return outcome{}, false
}

// noteFailure tells the pool of a failed attempt, and logs it.
func (run *run) noteFailure(plan placement.Plan, result result) {
	atFault := plan.Named(result.atFault)
	run.tried = append(run.tried, atFault)
	suspect := false
	switch {
	case result.excused:
	case result.closed:
		run.gateway.pool.Closed(atFault)
	case result.lost:
		loss := quarantine.Loss{Fingerprint: run.fingerprint, Server: atFault, Ran: result.ran}
		suspect = run.gateway.pool.FailedUnder(atFault, run.fingerprint, phaseOf(loss))
		run.gateway.quarantine.Lost(loss)
	default:
		suspect = run.gateway.pool.Failed(atFault)
	}
	run.gateway.logger.Warn("attempt failed", "request_id", run.head.ID, "send", run.sends-1,
		"server", plan.Server.ID, "at_fault", atFault, "result", result.kind, "status", result.status,
		"lost", result.lost, "ran", result.ran, "fingerprint", run.fingerprint, "suspect", suspect, "error", result.err)
}

// interrupted returns the outcome of a request whose context ended.
func (run *run) interrupted(ctx context.Context) outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return run.fail(ReasonTime)
	case errors.Is(cause, errStopping):
		return run.fail(ReasonStopping)
	case errors.Is(cause, errHarmful):
		return run.fail(ReasonCrashesServers)
	default:
		return outcome{reason: ReasonCallerGone, mayHaveRun: run.runs > 0, broken: run.begun, answered: run.begun}
	}
}

// fail returns the outcome of a request that no further attempt is made for. A
// failure that the last server answered goes before one of our own.
func (run *run) fail(reason Reason) outcome {
	if run.begun {
		return outcome{status: http.StatusOK, reason: reason, mayHaveRun: true, answered: true, broken: true}
	}
	if answer := run.last.answer; answer != nil {
		run.writePlain(answer)
		return outcome{status: answer.status, reason: reason, mayHaveRun: true, answered: true}
	}
	return failure(reason, run.runs > 0, run.returnAfter(reason))
}

// returnAfter is when a caller may return that was refused for a reason.
func (run *run) returnAfter(reason Reason) time.Duration {
	switch reason {
	case ReasonCrashesServers:
		return run.gateway.quarantine.Kept(run.fingerprint)
	case ReasonResting:
		return run.givenUp.until.Sub(run.gateway.now()) + run.gateway.retryAfter()
	case ReasonEvacuated:
		return run.gateway.storeRetryAfter() // as the store's, the operator's work takes seconds
	case ReasonLimited:
		return max(run.givenUp.until.Sub(run.gateway.now()), run.gateway.settings.Request.RetryAfterMin)
	default:
		return run.gateway.retryAfter()
	}
}
