package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/call"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/upstream"
)

// errServerTimeout is the cancellation cause of an attempt whose server sends nothing for too long.
var errServerTimeout = errors.New("server sent nothing within the timeout")

// bufferedResponse is a response of a server that was read whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to the servers of a plan. It always finishes activeRequest, which
// counts as load at these servers until then.
func (forwarder *forwarder) attempt(ctx context.Context, plan placement.Plan, activeRequest *pool.ActiveRequest) result {
	gateway := forwarder.gateway
	defer activeRequest.Finish()
	reserved, err := forwarder.reserveMemory(ctx, plan)
	if err != nil {
		return result{kind: resultNoMemory, err: err}
	}
	if reserved != nil {
		defer reserved.Release()
		if err := forwarder.checkServersAvailable(plan); err != nil {
			return result{kind: resultServerUnavailable, err: err}
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	responseTimeout := forwarder.responseTimeout(plan)
	var watchdog *time.Timer
	if responseTimeout > 0 {
		watchdog = time.AfterFunc(responseTimeout, func() { cancel(errServerTimeout) })
		defer watchdog.Stop()
	}
	dispatch := forwarder.dispatch(plan, reserved)
	request := upstream.Request{
		ID:     forwarder.head.ID,
		Server: plan.Server.ID,
		Method: forwarder.incoming.Method,
		Target: forwarder.incoming.RequestURI,
		Host:   forwarder.incoming.Host,
		Header: gateway.codec.ServerHeader(forwarder.incoming.Header, dispatch),
		Body:   forwarder.body,

		DataCentres: forwarder.allowedDataCentres,
		Repeatable:  forwarder.mayRunAgain(),
		Kind:        upstream.Kind{Service: forwarder.service.Name, Route: forwarder.route.Name},
	}
	response, err := gateway.upstream.Send(ctx, plan.Server.Address, request, func(header http.Header) bool {
		return gateway.codec.Response(http.StatusOK, header).ID == forwarder.head.ID
	})
	if err != nil {
		return sendErrorResult(ctx, err)
	}
	if response.Via != "" {
		gateway.logger.Info("server reached through another VM", "request_id", forwarder.head.ID, "server", plan.Server.ID, "via", response.Via)
	}
	decoded := gateway.codec.Response(response.Status, response.Header)
	defer func() { response.Close(decoded.IdleTimeout) }()
	activeAttempt := &activeAttempt{plan: plan, activeRequest: activeRequest, response: response, watchdog: watchdog, responseTimeout: responseTimeout}
	if decoded.Stream && decoded.Sealed && !decoded.ContentEncoded && response.Status/100 == 2 {
		return forwarder.relay(ctx, activeAttempt)
	}
	return forwarder.receiveBuffered(ctx, activeAttempt, decoded)
}

// reserveMemory reserves memory at the servers of a plan. It returns nil without an error if the
// plan needs none.
func (forwarder *forwarder) reserveMemory(ctx context.Context, plan placement.Plan) (*reservation.Reservation, error) {
	if len(plan.MemoryShares) == 0 {
		return nil, nil //nolint:nilnil // nil means that the plan needs no reservation
	}
	servers := append([]placement.Server{plan.Server}, plan.Helpers...)
	requests := make([]reservation.Claim, 0, len(servers))
	for i, server := range servers {
		if plan.MemoryShares[i] == 0 {
			continue
		}
		requests = append(requests, reservation.Claim{Instance: server.ID, Address: server.Address, Tokens: plan.MemoryShares[i]})
	}
	ticket := fmt.Sprintf("%s-%016x-%d", forwarder.gateway.site.VM, forwarder.seed, forwarder.planAttempts)
	reserved, err := forwarder.gateway.reservations.Reserve(ctx, ticket, requests)
	forwarder.recordReservationFailures(err)
	return reserved, errors.Wrap(err, "reserve engine memory")
}

// checkServersAvailable returns an error if a server of the plan no longer accepts requests from
// this VM. That may have changed while memory was being reserved, which can take as long as a whole
// reservation call.
func (forwarder *forwarder) checkServersAvailable(plan placement.Plan) error {
	if _, missing := forwarder.gateway.pool.Find(forwarder.service.Name, forwarder.allowedDataCentres, plan.IDs()); len(missing) > 0 {
		return errors.Newf("servers %v no longer accept requests", missing)
	}
	return nil
}

// recordReservationFailures reports to the pool which engines have less free memory than estimated.
// A server that failed in any other way is not tried again for this request; otherwise every
// evaluation would produce the same plan until the request is refused.
func (forwarder *forwarder) recordReservationFailures(err error) {
	var failed *reservation.ReserveError
	if !errors.As(err, &failed) {
		return
	}
	for _, failure := range failed.Failures {
		if failure.Err == nil && failure.Reply.Kind == reservation.ReplyNotFree {
			forwarder.gateway.pool.RecordFreeMemory(forwarder.service, failure.Instance, failure.Tokens, failure.Reply.Free)
			continue
		}
		forwarder.triedServers = append(forwarder.triedServers, failure.Instance)
	}
}

// mayRunAgain reports whether the request may be sent to another server after the next one may have run it.
func (forwarder *forwarder) mayRunAgain() bool {
	return forwarder.route.Repeatable() && forwarder.executions+1 < forwarder.route.MaxAttempts
}

// responseTimeout returns how long the server may take until the first event of a stream, or until
// the end of a plain response. Zero means until the deadline, which applies when no further attempt
// is possible.
func (forwarder *forwarder) responseTimeout(plan placement.Plan) time.Duration {
	settings := forwarder.gateway.settings.Request
	if !forwarder.mayRunAgain() {
		return 0
	}
	expected := max(plan.PredictedTTFT, forwarder.route.Objective)
	return settings.FirstEventMargin + time.Duration(settings.FirstEventFactor*float64(expected))
}

// receiveBuffered reads a plain response whole. It forwards the response unless it is a failure
// after which another server may be tried.
func (forwarder *forwarder) receiveBuffered(ctx context.Context, activeAttempt *activeAttempt, decoded call.Response) result {
	response := activeAttempt.response
	body, release, err := forwarder.gateway.responseMemory.read(ctx, activeAttempt, forwarder.gateway.settings.Request.MaxResponseBytes)
	defer release()
	switch {
	case err != nil:
		return result{kind: resultUncertain, status: response.Status, err: errors.Wrap(err, "read the response body")}.withLoss(ctx)
	case int64(len(body)) > forwarder.gateway.settings.Request.MaxResponseBytes:
		return result{kind: resultUncertain, status: response.Status, err: errors.New("response body is too long")}
	case decoded.NotRun:
		return result{
			kind: resultNotRun, status: response.Status, serverClosed: decoded.Misdirected && decoded.FailedServer == "",
			failedServer: decoded.FailedServer, err: errors.Newf("status %d: server did not execute the request", response.Status),
		}
	}
	if impliesNotRun(response.Status) {
		return result{
			kind: resultUncertain, status: response.Status, err: errors.Newf("status %d without the header that states that the request was not executed", response.Status),
		}
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError {
		if !decoded.Sealed {
			buffered = nil
		}
		return result{
			kind: resultUncertain, status: response.Status, response: buffered,
			err: errors.Newf("status %d", response.Status),
		}
	}
	if response.Status/100 == 2 && (!decoded.Sealed || decoded.ContentEncoded) {
		return result{kind: resultUncertain, status: response.Status, err: errors.New("response does not carry the mark that proves it came from the server")}
	}
	if forwarder.responseStarted {
		return result{kind: resultUncertain, status: response.Status, err: errors.Newf("status %d: response is no stream and cannot resume one", response.Status)}
	}
	if response.Status/100 == 2 && len(body) > 0 {
		forwarder.recordBegun()
	}
	forwarder.writeBuffered(buffered)
	return result{kind: resultCompleted, status: response.Status}
}

// writeBuffered writes a whole response to the caller.
func (forwarder *forwarder) writeBuffered(buffered *bufferedResponse) {
	forwarder.copyHeader(buffered.header)
	forwarder.writer.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	forwarder.setWriteDeadline()
	forwarder.writer.WriteHeader(buffered.status)
	_, _ = io.Copy(forwarder.writer, bytes.NewReader(buffered.body)) // the caller may have disconnected
}

// copyHeader copies the header of a server's response into the response to the caller.
func (forwarder *forwarder) copyHeader(header http.Header) {
	target := forwarder.writer.Header()
	for name, values := range forwarder.gateway.codec.CallerHeader(header) {
		target[name] = values
	}
	if _, present := target["Content-Type"]; !present {
		target["Content-Type"] = nil // keeps net/http from guessing one
	}
}

// setWriteDeadline sets the deadline for the caller to read what is written next.
func (forwarder *forwarder) setWriteDeadline() {
	deadline := forwarder.gateway.now().Add(forwarder.gateway.settings.Request.WriteTimeout)
	_ = http.NewResponseController(forwarder.writer).SetWriteDeadline(forwarder.gateway.clock.ForTimers(deadline)) // on a closed connection the write fails
}

// activeAttempt is an attempt whose server has started to respond.
type activeAttempt struct {
	plan          placement.Plan
	activeRequest *pool.ActiveRequest
	response      *upstream.Response
	// watchdog cancels the attempt when the server sends nothing for too long. It is nil if the
	// attempt has no such limit.
	watchdog *time.Timer
	// expiresAt is when it does so. It is set when the watchdog is restarted.
	expiresAt time.Time
	// responseTimeout is how long the server may take until the first event of a stream, or until
	// the end of a plain response.
	responseTimeout time.Duration
	// callerStalled is true once the caller was slow to read an event. Events that the server sent
	// before that are still read afterwards.
	callerStalled bool
}

// restartWatchdog makes the watchdog cancel the attempt if the server sends nothing for the given
// time from now on.
func (activeAttempt *activeAttempt) restartWatchdog(timeout time.Duration) {
	if activeAttempt.watchdog != nil {
		activeAttempt.expiresAt = time.Now().Add(timeout)
		activeAttempt.watchdog.Reset(timeout)
	}
}

// stopWatchdog stops the watchdog, so that the server may send nothing for any time.
func (activeAttempt *activeAttempt) stopWatchdog() {
	if activeAttempt.watchdog != nil {
		activeAttempt.watchdog.Stop()
	}
}
