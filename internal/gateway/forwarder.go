package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/call"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// forwarder handles one admitted request from its placement to its outcome. It is used by one
// goroutine, apart from receivedEvent.
type forwarder struct {
	*admitted

	gateway *Gateway
	body    []byte
	// fingerprints identify the content of the request and the parts that its prompt shares with others;
	// they are the same for each of the caller's tries.
	fingerprints fingerprint.Set
	// allFingerprints are all of fingerprints.
	allFingerprints []fingerprint.Fingerprint
	// contained has those of them that count this request as in flight.
	contained []fingerprint.Fingerprint
	// waitedForContained is true once the request waited for another one that counts so.
	waitedForContained bool
	writer             http.ResponseWriter
	// sends counts the attempts to send the request to a server.
	sends int
	// unsent counts the last attempts in a row for which no connection could be opened.
	unsent int
	// unsentBackoff has the pauses between them.
	unsentBackoff *wait.Backoff
	// deliveries counts the attempts in which the request may have reached a server.
	deliveries int
	// placementRequested is true once a placement was requested from the coordinator, which then
	// has counted the request for the retry budget.
	placementRequested bool
	// planAttempts counts the placement plans that were attempted.
	planAttempts int
	// executions counts the servers that may have executed the request.
	executions int
	// triedServers has the IDs of servers that failed or refused the request.
	triedServers []string
	// lastResult is the result of the last attempt.
	lastResult result
	// placementRefused is true when the coordinator expects no capacity before the caller
	// disconnects.
	placementRefused bool
	// retryGranted is true when the coordinator chose the servers of the last plan. Where the
	// coordinator grants retries, this includes the grant.
	retryGranted bool
	// rejection is why the request is rejected without a placement, or its zero value.
	rejection rejection
	// responseStarted is true once the header of a response was written to the caller. receivedEvent is
	// true once an event was received from a server; the quarantine reads it from another
	// goroutine.
	responseStarted bool
	receivedEvent   atomic.Bool
	// lastEvent is the ID of the last event that the caller received, or empty.
	lastEvent string
	timings   timings
	seed      uint64
}

func newForwarder(gateway *Gateway, admitted *admitted, body []byte, writer http.ResponseWriter) *forwarder {
	fingerprints := admitted.fingerprints(body)
	return &forwarder{
		admitted:  admitted,
		gateway:   gateway,
		body:      body,
		writer:    writer,
		lastEvent: admitted.head.LastEvent,

		unsentBackoff: wait.NewBackoff(unsentPause, unsentPauseMax),
		seed:          rand.Uint64(), //nolint:gosec // not used for security

		fingerprints:    fingerprints,
		allFingerprints: fingerprints.All(),
	}
}

// fingerprints returns the fingerprints of the request with its body.
func (admitted *admitted) fingerprints(body []byte) fingerprint.Set {
	var sharedParts []string
	if admitted.head.Prompt != nil {
		sharedParts = admitted.head.Prompt.SharedParts
	}
	return fingerprint.NewSet(fingerprint.Request{
		Organisation: admitted.organisationName(),
		Method:       admitted.incoming.Method,
		Host:         admitted.incoming.Host,
		Target:       admitted.incoming.RequestURI,
		Body:         body,
	}, admitted.service.Name, sharedParts)
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 {
	return rand.Float64() //nolint:gosec // not used for security
}

// forward sends the request to servers until it has an outcome.
func (forwarder *forwarder) forward(ctx context.Context) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer forwarder.gateway.quarantine.Watch(func() { forwarder.cancelIfNoEvents(cancel) }, forwarder.allFingerprints...)()
	defer forwarder.finishContained()
	budget := forwarder.gateway.budget(forwarder.service.Name)
	budget.Earn()
	for {
		if forwarder.gateway.quarantine.Remaining(forwarder.allFingerprints...) > 0 {
			return forwarder.failureOutcome(ReasonCrashesServers)
		}
		plan, activeRequest, ok := forwarder.place(ctx)
		if !ok && ctx.Err() == nil {
			return forwarder.failureOutcome(forwarder.rejectionReason())
		}
		if !ok {
			return forwarder.interruptedOutcome(ctx)
		}
		if forwarder.deliveries > 0 && !forwarder.mayRetry(budget) {
			activeRequest.Finish()
			return forwarder.failureOutcome(ReasonServersRefused)
		}
		forwarder.planAttempts++
		result := forwarder.attempt(ctx, plan, activeRequest)
		switch result.kind {
		case resultNoMemory:
			forwarder.gateway.logger.Info("engine memory reservation failed", "request_id", forwarder.head.ID, "look", forwarder.planAttempts, "error", result.err)
			wait.For(ctx, forwarder.gateway.settings.Request.PlacementInterval)
			continue
		case resultServerUnavailable:
			forwarder.gateway.logger.Info("planned server stopped accepting requests; placing the request again", "request_id", forwarder.head.ID, "look", forwarder.planAttempts, "error", result.err)
			continue
		case resultCompleted, resultNotRun, resultUncertain, resultTruncated:
		}
		forwarder.sends++
		if !result.notSent {
			forwarder.deliveries++
		}
		if final, done := forwarder.handleResult(ctx, plan, result); done {
			return final
		}
		forwarder.pauseIfUnsent(ctx, result)
	}
}

// cancelIfNoEvents cancels the request when it is quarantined. A request that has received events
// continues, and its result shows whether the quarantine was wrong.
func (forwarder *forwarder) cancelIfNoEvents(cancel context.CancelCauseFunc) {
	if !forwarder.receivedEvent.Load() {
		cancel(errQuarantined)
	}
}

// dispatch returns the fields that are sent to the server of a plan. The reservation is nil if no
// memory was reserved.
func (forwarder *forwarder) dispatch(plan placement.Plan, reserved *reservation.Reservation) call.Dispatch {
	dispatch := call.Dispatch{
		Instance:             plan.Server.ID,
		TimeToCallerDeadline: forwarder.callerDeadline.Sub(forwarder.gateway.now()),
		Organisation:         forwarder.organisationName(),
		LastEvent:            forwarder.lastEvent,
		Urgency:              forwarder.urgency(),
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

// handleResult records the result of an attempt. It returns the final outcome and true, or false if
// another attempt follows.
func (forwarder *forwarder) handleResult(ctx context.Context, plan placement.Plan, result result) (outcome, bool) {
	gateway := forwarder.gateway
	gateway.metrics.attempts.WithLabelValues(string(result.kind)).Inc()
	forwarder.lastResult = result
	if result.kind == resultCompleted {
		gateway.pool.RecordSuccess(plan.Server.ID, forwarder.fingerprints.Request)
		gateway.quarantine.RecordCompletion(forwarder.fingerprints.Request, plan.Server.ID)
		return outcome{status: result.status, responseWritten: true, server: plan.Server.ID}, true
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		forwarder.recordFailure(plan, result)
	}
	if result.kind != resultNotRun {
		forwarder.executions++
	}
	switch {
	case ctx.Err() != nil:
		return forwarder.interruptedOutcome(ctx), true
	case result.kind == resultTruncated, result.kind == resultUncertain && !forwarder.route.Repeatable(),
		forwarder.executions >= forwarder.route.MaxAttempts, (result.connectionLost || result.lostThroughVM) && gateway.quarantine.OnProbation(forwarder.allFingerprints...):
		return forwarder.failureOutcome(ReasonServerFailed), true
	}
	return outcome{}, false
}

// linksFailed reports whether an attempt failed since the links of this VM are cut. A connection that broke during the request
// counts as the server's crash unless connections cannot be opened: servers that crash under requests end connections before
// their first byte too, and their losses say which request is the cause.
func (gateway *Gateway) linksFailed(result result) bool {
	if result.connectionLost {
		return gateway.links.CannotOpen()
	}
	return gateway.links.Verdict() == reachability.Unreachable
}

// recordLoss reports the loss of a server at an address to the quarantine, and checks whether the server has ended.
func (forwarder *forwarder) recordLoss(loss quarantine.Loss, address string) {
	forwarder.gateway.quarantine.RecordLoss(loss)
	forwarder.gateway.endChecks.start(lostServer{id: loss.Server, address: address, overOwnLink: !loss.ThroughVM})
}

// recordFailure reports a failed attempt to the pool and the quarantine, and logs it.
func (forwarder *forwarder) recordFailure(plan placement.Plan, result result) {
	gateway := forwarder.gateway
	failedServer := plan.ServerIDAt(result.failedServer)
	forwarder.triedServers = append(forwarder.triedServers, failedServer)
	suspect := false
	loss := quarantine.Loss{
		Fingerprint: forwarder.fingerprints.Request, Parts: forwarder.fingerprints.Parts, Server: failedServer,
		HadEvent: result.receivedEvent, ThroughVM: result.lostThroughVM,
	}
	switch {
	case result.lostThroughVM:
		gateway.pool.PublishLossThroughVM(failedServer, forwarder.fingerprints, phaseOf(loss))
		forwarder.recordLoss(loss, cmp.Or(result.failedServer, plan.Server.Address))
	case result.serverNotAtFault:
	case gateway.linksFailed(result): // and not the servers
	case result.serverClosed:
		gateway.pool.MarkClosed(failedServer)
	case result.connectionLost:
		suspect = gateway.pool.RecordConnectionLoss(failedServer, forwarder.fingerprints, phaseOf(loss))
		forwarder.recordLoss(loss, cmp.Or(result.failedServer, plan.Server.Address))
	default:
		suspect = gateway.pool.RecordFailure(failedServer)
	}
	gateway.logger.Warn("attempt failed", "request_id", forwarder.head.ID, "send", forwarder.sends-1,
		"server", plan.Server.ID, "at_fault", failedServer, "result", result.kind, "status", result.status,
		"lost", result.connectionLost || result.lostThroughVM, "ran", result.receivedEvent, "fingerprint", forwarder.fingerprints.Request, "parts", forwarder.fingerprints.Parts, "suspect", suspect, "error", result.err)
}
