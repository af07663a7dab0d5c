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

// serve answers one request of a caller.
func (gateway *Gateway) serve(writer http.ResponseWriter, incoming *http.Request) {
	gateway.clock.Sync() // else what is old would look young right after a suspension
	arrived := gateway.now()
	gateway.running.Add(1)
	defer gateway.running.Add(-1)
	if gateway.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	admitted, refused, detail := gateway.admit(incoming, arrived)
	if refused.status != 0 {
		gateway.writeOutcome(writer, admitted.head.ID, refused, detail)
		gateway.ended(admitted, refused, &run{})
		return
	}
	body, release, refused := gateway.readBody(writer, incoming, admitted)
	defer release()
	if refused.status != 0 {
		gateway.writeOutcome(writer, admitted.head.ID, refused, "")
		gateway.ended(admitted, refused, &run{})
		return
	}
	ctx, cancel := gateway.bound(incoming.Context(), admitted.deadline)
	defer cancel()
	run := newRun(gateway, admitted, body, writer)
	outcome := run.execute(ctx)
	if !outcome.answered && outcome.reason != ReasonCallerGone {
		gateway.writeOutcome(writer, admitted.head.ID, outcome, outcome.reason.detail())
	}
	gateway.ended(admitted, outcome, run)
	if outcome.broken {
		panic(http.ErrAbortHandler) // net/http's way of cutting an answer that must not look whole
	}
}

// bound returns a context that ends when the caller is gone, when the time is
// over, or when the process must stop.
func (gateway *Gateway) bound(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	cancellable, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(gateway.life, func() { cancel(errStopping) })
	ctx, end := gateway.clock.WithDeadline(cancellable, deadline)
	return ctx, func() {
		stop()
		end()
		cancel(nil)
	}
}

// admitted is a request that the configuration in force allows.
type admitted struct {
	head     call.Head
	incoming *http.Request
	catalog  *catalog.Catalog
	route    *catalog.Route
	service  *catalog.Service
	// organisation is nil for a request without a key.
	organisation *catalog.Organisation
	// keptTo has the data centres whose servers may get it, or none where any may.
	keptTo  []string
	arrived time.Time
	// since is when its caller first tried, as far as that can be told.
	since time.Time
	// deadline is when the caller must have an answer.
	deadline time.Time
	// callerDeadline is until when the caller waits.
	callerDeadline time.Time
}

// admit checks the head of a request. An outcome with a status refuses it.
func (gateway *Gateway) admit(incoming *http.Request, arrived time.Time) (*admitted, outcome, string) {
	result := &admitted{incoming: incoming, arrived: arrived}
	head, err := gateway.codec.Head(incoming)
	result.head = head
	if gateway.closing.Load() {
		return result, failure(ReasonStopping, false, gateway.retryAfter()), ""
	}
	untilStarted := gateway.started.Add(gateway.settings.Request.StartHold).Sub(arrived)
	current := gateway.awaitConfiguration(incoming.Context(), untilStarted)
	if current == nil {
		return result, failure(ReasonNoConfiguration, false, gateway.storeRetryAfter()), ""
	}
	result.catalog = current
	if headBytes(incoming) > current.Limits().MaxHeaderBytes && current.Limits().MaxHeaderBytes > 0 {
		return result, refusal(http.StatusRequestHeaderFieldsTooLarge, ReasonHeadTooLong), ""
	}
	var field *call.FieldError
	if errors.As(err, &field) {
		return result, refusal(http.StatusBadRequest, ReasonBadRequest), field.Error()
	}
	if !strings.HasPrefix(incoming.RequestURI, "/") {
		return result, refusal(http.StatusBadRequest, ReasonBadRequest), "target: must be a path"
	}
	path, _, _ := strings.Cut(incoming.RequestURI, "?")
	route, found := current.Route(incoming.Host, path)
	if !found {
		return result, refusal(http.StatusNotFound, ReasonNoRoute), ""
	}
	result.route = route
	if refused := gateway.admitKey(result); refused.status != 0 {
		return result, refused, ""
	}
	service, found := current.Service(route.Target(randomFraction()))
	if !found {
		return result, failure(ReasonNoServer, false, gateway.retryAfter()), "service not configured"
	}
	result.service = service
	if !result.keep(gateway.site.Regions) {
		return result, failure(ReasonNoRegion, false, gateway.storeRetryAfter()), "regions: no data centre is in all that are allowed"
	}
	result.setDeadlines(gateway.settings.Request.Margin)
	result.since = gateway.returns.since(route.Name, route.Timeout, result.callerDeadline.Sub(arrived))
	return result, outcome{}, ""
}

// awaitConfiguration returns the configuration in force, for which it waits that long when there is none
// yet, and for its proof. Without one it returns nil. The proof comes a moment after the first configuration:
// requests that wait for this one alone would be refused as if it were too old.
func (gateway *Gateway) awaitConfiguration(ctx context.Context, most time.Duration) *catalog.Catalog {
	if most <= 0 {
		return gateway.belief.current.Load()
	}
	bounded, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	current := gateway.belief.await(bounded)
	if current == nil {
		return nil
	}
	select {
	case <-gateway.configuration.Proven():
	case <-bounded.Done():
	}
	return current
}

// admitKey finds the organisation of a request by its key.
func (gateway *Gateway) admitKey(result *admitted) outcome {
	if !result.catalog.HasOrganisations() {
		return outcome{}
	}
	key := result.head.Key
	if key == "" && result.route.Anonymous {
		return outcome{}
	}
	if key == "" {
		return refusal(http.StatusUnauthorized, ReasonKeyMissing)
	}
	if !gateway.keysFresh() {
		return failure(ReasonStale, false, gateway.retryAfter())
	}
	organisation, found := result.catalog.Organisation(key)
	if !found && !result.route.Anonymous {
		return refusal(http.StatusUnauthorized, ReasonKeyUnknown)
	}
	result.organisation = organisation
	return outcome{}
}

// organisationName returns whose key the caller used, or nothing.
func (admitted *admitted) organisationName() string {
	if admitted.organisation == nil {
		return ""
	}
	return admitted.organisation.Name
}

// setDeadlines reckons until when the request may take.
func (admitted *admitted) setDeadlines(margin time.Duration) {
	limit := admitted.route.Timeout
	admitted.callerDeadline = admitted.arrived.Add(limit)
	if admitted.head.Time > 0 {
		admitted.callerDeadline = admitted.arrived.Add(admitted.head.Time)
		limit = min(limit, admitted.head.Time)
	}
	admitted.deadline = admitted.arrived.Add(limit - margin)
}

// headBytes is the size of a head, near enough.
func headBytes(incoming *http.Request) int {
	const perLine = 4 // colon, blank and the end of the line
	count := len(incoming.Method) + len(incoming.RequestURI) + len(incoming.Host) + perLine
	for name, values := range incoming.Header {
		for _, value := range values {
			count += len(name) + len(value) + perLine
		}
	}
	return count
}

// readBody reads the whole body within the limits. It counts as kept until release is called.
func (gateway *Gateway) readBody(
	writer http.ResponseWriter, incoming *http.Request, admitted *admitted,
) (body []byte, release func(), refused outcome) {
	limit := admitted.catalog.Limits().MaxBodyBytes
	nothing := func() {}
	switch {
	case incoming.ContentLength > limit:
		return nil, nothing, refusal(http.StatusRequestEntityTooLarge, ReasonBodyTooLong)
	case incoming.Body == nil || incoming.Body == http.NoBody:
		return nil, nothing, outcome{}
	case !gateway.bodies.fits(max(0, incoming.ContentLength)):
		return nil, nothing, failure(ReasonNoMemory, false, gateway.retryAfter())
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(gateway.clock.ForTimers(admitted.deadline)) // a connection that is gone fails the read
	reader := &metered{Reader: http.MaxBytesReader(writer, incoming.Body, limit), memory: &gateway.bodies}
	body, err := io.ReadAll(reader)
	_ = controller.SetReadDeadline(time.Time{}) // as above
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return body, reader.release, outcome{}
	case errors.As(err, &tooLong):
		return nil, reader.release, refusal(http.StatusRequestEntityTooLarge, ReasonBodyTooLong)
	case errors.Is(err, errNoMemory):
		return nil, reader.release, failure(ReasonNoMemory, false, gateway.retryAfter())
	default:
		gateway.logger.Info("body not read", "request_id", admitted.head.ID, "error", err)
		return nil, reader.release, refusal(http.StatusBadRequest, ReasonBodyNotRead)
	}
}

// ended logs and counts the end of a request. The run is empty for one that was
// refused before it began.
func (gateway *Gateway) ended(admitted *admitted, outcome outcome, run *run) {
	took := gateway.now().Sub(admitted.arrived)
	route, version := &catalog.Route{}, int64(0)
	if admitted.route != nil {
		route = admitted.route
	}
	if admitted.catalog != nil {
		version = admitted.catalog.Version()
	}
	age, _ := gateway.configuration.Age()
	gateway.metrics.ended(route.Name, string(route.Kind), outcome, took)
	gateway.logger.Info("ended", "request_id", admitted.head.ID, "route", route.Name, "kind", route.Kind,
		"organisation", admitted.organisationName(),
		"fingerprint", run.fingerprint, "status", outcome.status, "reason", outcome.reason, "may_have_run", outcome.mayHaveRun,
		"server", outcome.server, "broken", outcome.broken, "took", took,
		"tokens", admitted.tokens(), "objective", route.Objective, "gap", route.Gap, "sends", run.sends,
		"waited", run.account.waited, "placed", run.account.placed, "predicted", run.account.predicted,
		"first", run.account.first, "pause", run.account.pause,
		"version", version, "version_age", age)
}
