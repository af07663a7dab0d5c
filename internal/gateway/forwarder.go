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

// run handles one admitted request from its placement to its outcome. It is used by one
// goroutine, apart from hasEvents.
type run struct {
	*admitted

	gateway *Gateway
	body    []byte
	// fingerprint identifies the content of the request; it is the same for each of the
	// caller's tries.
	fingerprint fingerprint.Fingerprint
	writer      http.ResponseWriter
	// sends counts the attempts to send the request to a server.
	sends int
	// arrivals counts the attempts in which the request may have reached a server.
	arrivals int
	// asked is true once a placement was requested from the coordinator, which then
	// has counted the request for the retry budget.
	asked bool
	// looks counts the placement plans that were attempted.
	looks int
	// runs counts the servers that may have executed the request.
	runs int
	// tried has the IDs of servers that failed or refused the request.
	tried []string
	// last is the result of the last attempt.
	last result
	// refused is true when the coordinator expects no capacity before the caller
	// disconnects.
	refused bool
	// granted is true when the coordinator chose the servers of the last plan. Where the
	// coordinator grants retries, this includes the grant.
	granted bool
	// givenUp is why the request is rejected without a placement, or its zero value.
	givenUp givenUp
	// begun is true once the header of a response was written to the caller. hasEvents is
	// true once an event was received from a server; the quarantine reads it from another
	// goroutine.
	begun     bool
	hasEvents atomic.Bool
	// lastEvent is the ID of the last event that the caller received, or empty.
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
		seed:      rand.Uint64(), //nolint:gosec // not used for security

		fingerprint: admitted.fingerprint(body),
	}
}

// fingerprint returns the fingerprint of the request with its body.
func (admitted *admitted) fingerprint(body []byte) fingerprint.Fingerprint {
	return fingerprint.New(fingerprint.Request{
		Organisation: admitted.organisationName(),
		Method:       admitted.incoming.Method,
		Host:         admitted.incoming.Host,
		Target:       admitted.incoming.RequestURI,
		Body:         body,
	})
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 {
	return rand.Float64() //nolint:gosec // not used for security
}

// resultKind classifies the result of one attempt. The values are labels of metrics.
type resultKind string

const (
	// resultAnswered: the caller received the whole response.
	resultAnswered resultKind = "answered"
	// resultNotRun: the server certainly did not execute the request.
	resultNotRun resultKind = "not_run"
	// resultUncertain: the server may have executed the request, in part or in whole.
	resultUncertain resultKind = "uncertain"
	// resultNoMemory: nothing was sent, because engine memory could not be reserved.
	resultNoMemory resultKind = "no_memory"
	// resultMoved: nothing was sent, because a server of the plan stopped accepting
	// requests after it was chosen.
	resultMoved resultKind = "moved"
	// resultBroken: the response to the caller was started and cannot be completed.
	resultBroken resultKind = "broken"
)

// result is the result of one attempt.
type result struct {
	kind   resultKind
	status int
	err    error
	// atFault is the address of the server that failed, or empty if it is the server that the
	// request was sent to.
	atFault string
	// closed is true if the server accepts no more requests.
	closed bool
	// lost is true if the connection broke while the server was processing the request. A
	// server crash has this effect on all its requests.
	lost bool
	// notSent is true if no connection to the server was made, so that the request cannot have
	// reached it.
	notSent bool
	// ran is true if an event was received from the server.
	ran bool
	// excused is true if the failure is not evidence against the server.
	excused bool
	// answer is a response of the server that is forwarded if no further attempt succeeds, or
	// nil.
	answer *plainAnswer
}

// execute sends the request to servers until it has an outcome.
func (forwarder *run) execute(ctx context.Context) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer forwarder.gateway.quarantine.Watch(forwarder.fingerprint, func() { forwarder.endHarmful(cancel) })()
	budget := forwarder.gateway.budget(forwarder.service.Name)
	budget.Earn()
	for {
		if forwarder.gateway.quarantine.Remaining(forwarder.fingerprint) > 0 {
			return forwarder.fail(ReasonCrashesServers)
		}
		plan, use, ok := forwarder.place(ctx)
		if !ok && ctx.Err() == nil {
			return forwarder.fail(forwarder.unplaced())
		}
		if !ok {
			return forwarder.interrupted(ctx)
		}
		if forwarder.arrivals > 0 && !forwarder.mayRetry(budget) {
			use.Finish()
			return forwarder.fail(ReasonRefused)
		}
		forwarder.looks++
		result := forwarder.attempt(ctx, plan, use)
		switch result.kind {
		case resultNoMemory:
			forwarder.gateway.logger.Info("engine memory reservation failed", "request_id", forwarder.head.ID, "look", forwarder.looks, "error", result.err)
			wait.For(ctx, forwarder.gateway.settings.Request.Look)
			continue
		case resultMoved:
			forwarder.gateway.logger.Info("planned server stopped accepting requests; placing the request again", "request_id", forwarder.head.ID, "look", forwarder.looks, "error", result.err)
			continue
		case resultAnswered, resultNotRun, resultUncertain, resultBroken:
		}
		forwarder.sends++
		if !result.notSent {
			forwarder.arrivals++
		}
		if final, done := forwarder.conclude(ctx, plan, result); done {
			return final
		}
	}
}

// endHarmful cancels the request when it is quarantined. A request that has received events
// continues, and its result shows whether the quarantine was wrong.
func (forwarder *run) endHarmful(cancel context.CancelCauseFunc) {
	if !forwarder.hasEvents.Load() {
		cancel(errHarmful)
	}
}

// dispatch returns the fields that are sent to the server of a plan. The reservation is nil if no
// memory was reserved.
func (forwarder *run) dispatch(plan placement.Plan, reserved *reservation.Reservation) call.Dispatch {
	dispatch := call.Dispatch{
		Instance:     plan.Server.ID,
		Time:         forwarder.callerDeadline.Sub(forwarder.gateway.now()),
		Organisation: forwarder.organisationName(),
		LastEvent:    forwarder.lastEvent,
		Urgency:      forwarder.urgency(),
	}
	if reserved != nil {
		dispatch.Helpers = append(dispatch.Helpers, call.Helper{Address: plan.Server.Address, Ticket: reserved.Ticket()})
	}
	for i, helper := range plan.Helpers {
		next := call.Helper{Address: helper.Address}
		if reserved != nil && plan.MemoryShares[i+1] > 0 {
			next.Ticket = reserved.Ticket()
		}
		dispatch.Helpers = append(dispatch.Helpers, next)
	}
	return dispatch
}

// Upper limits of the objective for each urgency.
const (
	urgentObjective = 500 * time.Millisecond
	normalObjective = 2 * time.Second
)

// urgency returns the priority of the request at an engine, derived from its objective.
func (forwarder *run) urgency() call.Urgency {
	switch {
	case forwarder.head.Prompt == nil:
		return call.UrgencyNone
	case forwarder.route.Objective <= urgentObjective:
		return call.UrgencyHigh
	case forwarder.route.Objective <= normalObjective:
		return call.UrgencyNormal
	default:
		return call.UrgencyLow
	}
}

// conclude records the result of an attempt. It returns the final outcome and true, or false if
// another attempt follows.
func (forwarder *run) conclude(ctx context.Context, plan placement.Plan, result result) (outcome, bool) {
	gateway := forwarder.gateway
	gateway.metrics.attempts.WithLabelValues(string(result.kind)).Inc()
	forwarder.last = result
	if result.kind == resultAnswered {
		gateway.pool.RecordSuccess(plan.Server.ID, forwarder.fingerprint)
		gateway.quarantine.RecordCompletion(forwarder.fingerprint, plan.Server.ID)
		return outcome{status: result.status, answered: true, server: plan.Server.ID}, true
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		forwarder.noteFailure(plan, result)
	}
	if result.kind != resultNotRun {
		forwarder.runs++
	}
	switch {
	case ctx.Err() != nil:
		return forwarder.interrupted(ctx), true
	case result.kind == resultBroken, result.kind == resultUncertain && !forwarder.route.Repeatable(),
		forwarder.runs >= forwarder.route.MaxAttempts, result.lost && gateway.quarantine.OnProbation(forwarder.fingerprint):
		return forwarder.fail(ReasonServerFailed), true
	}
	return outcome{}, false
}

// noteFailure reports a failed attempt to the pool and the quarantine, and logs it.
func (forwarder *run) noteFailure(plan placement.Plan, result result) {
	failedServer := plan.ServerIDAt(result.atFault)
	forwarder.tried = append(forwarder.tried, failedServer)
	suspect := false
	switch {
	case result.excused:
	case result.closed:
		forwarder.gateway.pool.MarkClosed(failedServer)
	case result.lost:
		loss := quarantine.Loss{Fingerprint: forwarder.fingerprint, Server: failedServer, HadEvent: result.ran}
		suspect = forwarder.gateway.pool.RecordConnectionLoss(failedServer, forwarder.fingerprint, phaseOf(loss))
		forwarder.gateway.quarantine.RecordLoss(loss)
	default:
		suspect = forwarder.gateway.pool.RecordFailure(failedServer)
	}
	forwarder.gateway.logger.Warn("attempt failed", "request_id", forwarder.head.ID, "send", forwarder.sends-1,
		"server", plan.Server.ID, "at_fault", failedServer, "result", result.kind, "status", result.status,
		"lost", result.lost, "ran", result.ran, "fingerprint", forwarder.fingerprint, "suspect", suspect, "error", result.err)
}

// interrupted returns the outcome of a request whose context ended.
func (forwarder *run) interrupted(ctx context.Context) outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return forwarder.fail(ReasonTime)
	case errors.Is(cause, errStopping):
		return forwarder.fail(ReasonStopping)
	case errors.Is(cause, errHarmful):
		return forwarder.fail(ReasonCrashesServers)
	default:
		return outcome{reason: ReasonCallerGone, mayHaveRun: forwarder.runs > 0, broken: forwarder.begun, answered: forwarder.begun}
	}
}

// fail returns the outcome of a request for which no further attempt is made. A failure
// response of the last server takes precedence over one generated by the gateway.
func (forwarder *run) fail(reason Reason) outcome {
	if forwarder.begun {
		return outcome{status: http.StatusOK, reason: reason, mayHaveRun: true, answered: true, broken: true}
	}
	if answer := forwarder.last.answer; answer != nil {
		forwarder.writePlain(answer)
		return outcome{status: answer.status, reason: reason, mayHaveRun: true, answered: true}
	}
	return failure(reason, forwarder.runs > 0, forwarder.returnAfter(reason))
}

// returnAfter returns after how long a caller may retry that was refused for the given reason.
func (forwarder *run) returnAfter(reason Reason) time.Duration {
	switch reason {
	case ReasonCrashesServers:
		return forwarder.gateway.quarantine.Remaining(forwarder.fingerprint)
	case ReasonResting:
		return forwarder.givenUp.until.Sub(forwarder.gateway.now()) + forwarder.gateway.retryAfter()
	case ReasonEvacuated:
		return forwarder.gateway.storeRetryAfter() // like a store outage, an evacuation lasts seconds
	case ReasonLimited:
		return max(forwarder.givenUp.until.Sub(forwarder.gateway.now()), forwarder.gateway.settings.Request.RetryAfterMin)
	default:
		return forwarder.gateway.retryAfter()
	}
}
