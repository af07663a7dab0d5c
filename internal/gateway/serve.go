package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/call"
	"github.com/mastwinch/mastwinch/internal/catalog"
)

// serve handles one request of a caller. It aborts the connection when a response that was started
// cannot be completed, and when the caller has ended its side.
func (gateway *Gateway) serve(writer http.ResponseWriter, incoming *http.Request) {
	gateway.clock.Sync() // without it, stale state would seem fresh right after a suspension
	arrivedAt := gateway.now()
	gateway.inFlight.Add(1)
	defer gateway.inFlight.Add(-1)
	if gateway.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	admitted, refused, detail := gateway.admit(incoming, arrivedAt)
	if refused.status != 0 {
		gateway.writeOutcome(writer, admitted.head.ID, refused, detail)
		gateway.recordEnd(admitted, refused, &forwarder{})
		return
	}
	body, release, refused := gateway.readBody(writer, incoming, admitted)
	defer release()
	if refused.status != 0 {
		gateway.writeOutcome(writer, admitted.head.ID, refused, "")
		gateway.recordEnd(admitted, refused, &forwarder{})
		return
	}
	ctx, cancel := gateway.requestContext(incoming.Context(), admitted.deadline)
	defer cancel()
	forwarder := newForwarder(gateway, admitted, body, writer)
	ended := false
	defer func() {
		if !ended { // a panic
			gateway.recordEnd(admitted, failure(ReasonPanicked, true, 0), forwarder)
		}
	}()
	outcome := forwarder.forward(ctx)
	if !outcome.responseWritten && outcome.reason != ReasonCallerGone {
		gateway.writeOutcome(writer, admitted.head.ID, outcome, outcome.reason.detail())
	}
	gateway.recordEnd(admitted, outcome, forwarder)
	ended = true
	if outcome.truncated || outcome.reason == ReasonCallerGone {
		// Makes net/http abort the connection. Otherwise a caller that still reads would take what it got for the whole response.
		panic(http.ErrAbortHandler)
	}
}

// requestContext returns the context of a request. It ends when the caller disconnects, at the
// deadline, or when the process must abort requests; context.Cause distinguishes these.
func (gateway *Gateway) requestContext(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	cancellable, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(gateway.baseContext, func() { cancel(errStopping) })
	ctx, end := gateway.clock.WithDeadline(cancellable, deadline)
	return ctx, func() {
		stop()
		end()
		cancel(nil)
	}
}

// admitted is a request that passed the checks against the configuration in force.
type admitted struct {
	head     call.Head
	incoming *http.Request
	catalog  *catalog.Catalog
	route    *catalog.Route
	service  *catalog.Service
	// organisation is nil for a request without a key.
	organisation *catalog.Organisation
	// allowedDataCentres has the names of the data centres whose servers may process the request,
	// sorted; it is empty when all may.
	allowedDataCentres []string
	arrivedAt          time.Time
	// firstTriedAt is the estimated time of the caller's first try, which is earlier than arrivedAt
	// for a retry.
	firstTriedAt time.Time
	// deadline is when the gateway must have responded.
	deadline time.Time
	// callerDeadline is when the caller stops waiting.
	callerDeadline time.Time
}

// admit checks the header of a request against the configuration in force. An outcome with a
// non-zero status refuses the request; the string is the detail for the error body.
func (gateway *Gateway) admit(incoming *http.Request, arrivedAt time.Time) (*admitted, outcome, string) {
	request := &admitted{incoming: incoming, arrivedAt: arrivedAt}
	head, err := gateway.codec.Head(incoming)
	request.head = head
	if gateway.refusing.Load() {
		return request, failure(ReasonStopping, false, gateway.retryAfter()), ""
	}
	untilStarted := gateway.started.Add(gateway.settings.Request.StartupWait).Sub(arrivedAt)
	current := gateway.awaitConfiguration(incoming.Context(), untilStarted)
	if current == nil {
		return request, failure(ReasonNoConfiguration, false, gateway.storeRetryAfter()), ""
	}
	request.catalog = current
	if approximateHeaderBytes(incoming) > current.Limits().MaxHeaderBytes && current.Limits().MaxHeaderBytes > 0 {
		return request, refusal(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLong), ""
	}
	var field *call.FieldError
	if errors.As(err, &field) {
		return request, refusal(http.StatusBadRequest, ReasonBadRequest), field.Error()
	}
	if !strings.HasPrefix(incoming.RequestURI, "/") {
		return request, refusal(http.StatusBadRequest, ReasonBadRequest), "target: must be a path"
	}
	path, _, _ := strings.Cut(incoming.RequestURI, "?")
	route, found := current.Route(incoming.Host, path)
	if !found {
		return request, refusal(http.StatusNotFound, ReasonNoRoute), ""
	}
	request.route = route
	if refused := gateway.authenticate(request); refused.status != 0 {
		return request, refused, ""
	}
	service, found := current.Service(route.Target(randomFraction()))
	if !found {
		return request, failure(ReasonNoServer, false, gateway.retryAfter()), "service not configured"
	}
	request.service = service
	if !request.restrictDataCentres(gateway.site.Regions) {
		return request, failure(ReasonNoAllowedRegion, false, gateway.storeRetryAfter()), "regions: no data centre is in all that are allowed"
	}
	request.setDeadlines(gateway.settings.Request.DeadlineMargin)
	request.firstTriedAt = gateway.retryDetector.firstTriedAt(route.Name, route.Timeout, request.callerDeadline.Sub(arrivedAt))
	return request, outcome{}, ""
}

// awaitConfiguration returns the configuration in force, or nil if there is none within the longest
// wait. It also waits for the first confirmation that the configuration is current, which arrives shortly
// after the configuration itself: without that, requests that waited for the configuration would be
// refused as if it were too old.
func (gateway *Gateway) awaitConfiguration(ctx context.Context, longest time.Duration) *catalog.Catalog {
	if longest <= 0 {
		return gateway.operatorState.current.Load()
	}
	waitCtx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	current := gateway.operatorState.await(waitCtx)
	if current == nil {
		return nil
	}
	select {
	case <-gateway.configuration.Confirmed():
	case <-waitCtx.Done():
	}
	return current
}

// authenticate sets the organisation of a request from its key. An outcome with a non-zero status
// refuses the request.
func (gateway *Gateway) authenticate(request *admitted) outcome {
	if !request.catalog.HasOrganisations() {
		return outcome{}
	}
	key := request.head.Key
	if key == "" && request.route.Anonymous {
		return outcome{}
	}
	if key == "" {
		return refusal(http.StatusUnauthorized, ReasonKeyMissing)
	}
	if !gateway.keysCurrent() {
		return failure(ReasonStaleConfiguration, false, gateway.retryAfter())
	}
	organisation, found := request.catalog.Organisation(key)
	if !found {
		return refusal(http.StatusUnauthorized, ReasonKeyUnknown)
	}
	request.organisation = organisation
	return outcome{}
}

// organisationName returns the name of the organisation that owns the key, or an empty string
// without one.
func (admitted *admitted) organisationName() string {
	if admitted.organisation == nil {
		return ""
	}
	return admitted.organisation.Name
}

// priority returns the priority of the request among those to its service. Zero is the most urgent.
// That of the organisation goes before that of the route. It is zero for a request without a route.
func (admitted *admitted) priority() int {
	if admitted.organisation != nil && admitted.organisation.Priority != nil {
		return max(0, *admitted.organisation.Priority)
	}
	if admitted.route == nil {
		return 0
	}
	return max(0, admitted.route.Priority)
}

// setDeadlines sets both deadlines from the route's timeout and the time that the caller states.
func (admitted *admitted) setDeadlines(margin time.Duration) {
	limit := admitted.route.Timeout
	admitted.callerDeadline = admitted.arrivedAt.Add(limit)
	if admitted.head.TimeToCallerDeadline > 0 {
		admitted.callerDeadline = admitted.arrivedAt.Add(admitted.head.TimeToCallerDeadline)
		limit = min(limit, admitted.head.TimeToCallerDeadline)
	}
	admitted.deadline = admitted.arrivedAt.Add(limit - margin)
}

// approximateHeaderBytes returns the approximate size of a request's header in bytes.
func approximateHeaderBytes(incoming *http.Request) int {
	const perLine = 4 // colon, space and line end, in bytes
	count := len(incoming.Method) + len(incoming.RequestURI) + len(incoming.Host) + perLine
	for name, values := range incoming.Header {
		for _, value := range values {
			count += len(name) + len(value) + perLine
		}
	}
	return count
}

// readBody reads the whole body within the size and memory limits. The body counts against the
// memory limit until release is called, which must happen even when the request is refused.
func (gateway *Gateway) readBody(
	writer http.ResponseWriter, incoming *http.Request, admitted *admitted,
) (body []byte, release func(), refused outcome) {
	limit := admitted.catalog.Limits().MaxBodyBytes
	noRelease := func() {}
	switch {
	case incoming.ContentLength > limit:
		return nil, noRelease, refusal(http.StatusRequestEntityTooLarge, ReasonBodyTooLong)
	case incoming.Body == nil || incoming.Body == http.NoBody:
		return nil, noRelease, outcome{}
	case !gateway.bodyMemory.fits(max(0, incoming.ContentLength)):
		return nil, noRelease, failure(ReasonNoMemory, false, gateway.retryAfter())
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(gateway.clock.ForTimers(admitted.deadline)) // on a closed connection the read fails
	reader := &meteredReader{Reader: http.MaxBytesReader(writer, incoming.Body, limit), memoryLimit: &gateway.bodyMemory}
	body, err := io.ReadAll(reader)
	_ = controller.SetReadDeadline(time.Time{}) // a closed connection needs no deadline
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return body, reader.release, outcome{}
	case errors.As(err, &tooLong):
		return nil, reader.release, refusal(http.StatusRequestEntityTooLarge, ReasonBodyTooLong)
	case errors.Is(err, errBodyMemoryLimit):
		return nil, reader.release, failure(ReasonNoMemory, false, gateway.retryAfter())
	default:
		gateway.logger.Info("reading the request body failed", "request_id", admitted.head.ID, "error", err)
		return nil, reader.release, refusal(http.StatusBadRequest, ReasonBodyNotRead)
	}
}

// recordEnd logs and counts the end of a request. The forwarder is empty for a request that was
// refused before it was forwarded.
func (gateway *Gateway) recordEnd(admitted *admitted, outcome outcome, forwarder *forwarder) {
	duration := gateway.now().Sub(admitted.arrivedAt)
	route, version := &catalog.Route{}, int64(0)
	if admitted.route != nil {
		route = admitted.route
	}
	if admitted.catalog != nil {
		version = admitted.catalog.Version()
	}
	age, _ := gateway.configuration.Age()
	gateway.metrics.recordEnd(route.Name, string(route.Kind), admitted.priority(), outcome, duration)
	gateway.logger.Info("ended", "request_id", admitted.head.ID, "route", route.Name, "kind", route.Kind,
		"organisation", admitted.organisationName(), "priority", admitted.priority(),
		"fingerprint", forwarder.fingerprints.Request, "status", outcome.status, "reason", outcome.reason, "may_have_run", outcome.mayHaveRun,
		"server", outcome.server, "broken", outcome.truncated, "took", duration,
		"tokens", admitted.promptTokens(), "objective", route.Objective, "gap", route.InterTokenObjective, "sends", forwarder.sends,
		"waited", forwarder.timings.waited, "placed", forwarder.timings.placedAfter, "predicted", forwarder.timings.predicted,
		"first", forwarder.timings.firstEventAfter, "pause", forwarder.timings.longestPause,
		"version", version, "version_age", age)
}
