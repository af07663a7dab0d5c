package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/events"
)

// relay forwards whole events until the stream ends. When the stream breaks off, lastEvent
// identifies what was forwarded, and another server may resume it.
func (forwarder *run) relay(ctx context.Context, activeAttempt *attempted) result {
	reader := events.NewReader(activeAttempt.response)
	streamTimeout := forwarder.gateway.settings.Request.silence(forwarder.route.Gap)
	first := true
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return forwarder.relayed(activeAttempt)
		}
		if err != nil {
			return forwarder.cut(ctx, err, !first, activeAttempt.stalled)
		}
		if first {
			first = false
			forwarder.hasEvents.Store(true)
			activeAttempt.use.FinishPrefill()
			forwarder.observeFirst(activeAttempt)
		}
		activeAttempt.use.RecordEvent()
		if !follows(event.ID, forwarder.lastEvent) {
			activeAttempt.expect(streamTimeout)
			continue
		}
		// The server is not read while the caller is not reading, so its silence must not count
		// against it.
		activeAttempt.rest()
		if err := forwarder.pass(activeAttempt, event); err != nil {
			return result{kind: resultBroken, err: errors.Wrap(err, "write to the caller")}
		}
		activeAttempt.expect(streamTimeout)
	}
}

// observeFirst records the time to the first event of an attempt.
func (forwarder *run) observeFirst(activeAttempt *attempted) {
	gateway := forwarder.gateway
	elapsed := gateway.now().Sub(forwarder.arrived)
	gateway.metrics.firstEvent.WithLabelValues(forwarder.route.Name).Observe(elapsed.Seconds())
	gateway.logger.Info("first event", "request_id", forwarder.head.ID, "server", activeAttempt.plan.Server.ID,
		"took", elapsed, "predicted", activeAttempt.plan.PredictedTTFT)
}

// cut returns the result of a stream that broke off. receivedEvent is true if the
// stream had an event. callerStalled is true if the caller had stopped reading, in which case the
// server may have closed the stream for that reason.
func (forwarder *run) cut(ctx context.Context, err error, receivedEvent, callerStalled bool) result {
	cause := context.Cause(ctx)
	if cause != nil {
		err = errors.CombineErrors(cause, err)
	}
	return result{
		kind: resultUncertain, status: http.StatusOK, lost: cause == nil && !callerStalled, ran: receivedEvent, excused: callerStalled,
		err: errors.Wrap(err, "read the server's stream"),
	}
}

// relayed completes the response. It writes the header if the stream had no events.
func (forwarder *run) relayed(activeAttempt *attempted) result {
	forwarder.begin(activeAttempt)
	return result{kind: resultAnswered, status: http.StatusOK}
}

// begin writes the header of the first server's response. It does nothing if a header was
// already written.
func (forwarder *run) begin(activeAttempt *attempted) {
	if forwarder.begun {
		return
	}
	forwarder.begun = true
	forwarder.copyHeader(activeAttempt.response.Header)
	forwarder.writer.WriteHeader(activeAttempt.response.Status)
}

const (
	// slowPass is the duration of a write above which the caller delayed the reading of
	// the server's stream.
	slowPass = 20 * time.Millisecond
	// stalledPass is the duration of a write above which the server may abort the stream
	// because it was not read.
	stalledPass = time.Second
)

// pass writes one event to the caller and flushes it.
func (forwarder *run) pass(activeAttempt *attempted, event events.Event) error {
	startedAt := forwarder.gateway.now()
	forwarder.boundWrite()
	forwarder.begin(activeAttempt)
	if _, err := forwarder.writer.Write(event.Raw); err != nil {
		return errors.WithStack(err)
	}
	if err := http.NewResponseController(forwarder.writer).Flush(); err != nil {
		return errors.WithStack(err)
	}
	if event.ID != "" {
		forwarder.lastEvent = event.ID
	}
	now := forwarder.gateway.now()
	if now.Sub(startedAt) > slowPass {
		activeAttempt.use.ResetEventTimer()
	}
	activeAttempt.stalled = activeAttempt.stalled || now.Sub(startedAt) > stalledPass
	forwarder.account.pass(forwarder.arrived, now)
	forwarder.gateway.metrics.eventDelay.Observe(now.Sub(startedAt).Seconds())
	return nil
}

// follows reports whether an event comes after the last one that the caller received. IDs
// increase; an ID that is not a number is always taken as new.
func follows(id, last string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	return err != nil || number > lastNumber
}
