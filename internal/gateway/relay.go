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
func (forwarder *forwarder) relay(ctx context.Context, activeAttempt *activeAttempt) result {
	reader := events.NewReader(activeAttempt.response)
	streamTimeout := forwarder.gateway.settings.Request.streamTimeout(forwarder.route.InterTokenObjective)
	first := true
	for {
		event, err := reader.Next()
		if endedEarly(err, first) && !activeAttempt.response.StatesEnd() {
			err = activeAttempt.response.Unfinished()
		}
		if errors.Is(err, io.EOF) {
			return forwarder.finishStream(activeAttempt)
		}
		if err != nil {
			return forwarder.streamErrorResult(ctx, err, !first, activeAttempt.callerStalled)
		}
		if first {
			first = false
			forwarder.receivedEvent.Store(true)
			activeAttempt.activeRequest.FinishPrefill()
			forwarder.recordBegun()
			forwarder.recordFirstEvent(activeAttempt)
		}
		activeAttempt.activeRequest.RecordEvent()
		if !isNewEvent(event.ID, forwarder.lastEvent) {
			activeAttempt.restartWatchdog(streamTimeout)
			continue
		}
		// The server is not read while the caller is not reading, so a pause must not count
		// against it.
		activeAttempt.stopWatchdog()
		if err := forwarder.passEvent(activeAttempt, event); err != nil {
			return result{kind: resultTruncated, err: errors.Wrap(err, "write to the caller")}
		}
		activeAttempt.restartWatchdog(streamTimeout)
	}
}

// endedEarly reports whether a stream ended inside an event, or before the first one, as when a server crashes that begins it.
func endedEarly(err error, first bool) bool {
	return errors.Is(err, events.ErrPartial) || (first && errors.Is(err, io.EOF))
}

// recordFirstEvent records the time to the first event of an attempt.
func (forwarder *forwarder) recordFirstEvent(activeAttempt *activeAttempt) {
	gateway := forwarder.gateway
	elapsed := gateway.now().Sub(forwarder.arrivedAt)
	gateway.metrics.firstEvent.WithLabelValues(forwarder.route.Name).Observe(elapsed.Seconds())
	gateway.logger.Info("first event", "request_id", forwarder.head.ID, "server", activeAttempt.plan.Server.ID,
		"took", elapsed, "predicted", activeAttempt.plan.PredictedTTFT)
}

// streamErrorResult returns the result of a stream that broke off. receivedEvent is true if the
// stream had an event. callerStalled is true if the caller had stopped reading, in which case the
// server may have closed the stream for that reason.
func (forwarder *forwarder) streamErrorResult(ctx context.Context, err error, receivedEvent, callerStalled bool) result {
	cause := context.Cause(ctx)
	if cause != nil {
		err = errors.CombineErrors(cause, err)
	}
	broken := result{
		kind: resultUncertain, status: http.StatusOK, receivedEvent: receivedEvent, err: errors.Wrap(err, "read the server's stream"),
	}.withLoss(ctx)
	if callerStalled {
		broken.serverNotAtFault, broken.connectionLost, broken.lostThroughVM = true, false, false
	}
	return broken
}

// finishStream completes the response. It writes the header if the stream had no events.
func (forwarder *forwarder) finishStream(activeAttempt *activeAttempt) result {
	forwarder.startResponse(activeAttempt)
	return result{kind: resultCompleted, status: http.StatusOK}
}

// startResponse writes the header of the first server's response. It does nothing if a header was
// already written.
func (forwarder *forwarder) startResponse(activeAttempt *activeAttempt) {
	if forwarder.responseStarted {
		return
	}
	forwarder.responseStarted = true
	forwarder.copyHeader(activeAttempt.response.Header)
	forwarder.writer.WriteHeader(activeAttempt.response.Status)
}

const (
	// slowWriteThreshold is the duration of a write above which the caller delayed the reading of
	// the server's stream.
	slowWriteThreshold = 20 * time.Millisecond
	// stalledWriteThreshold is the duration of a write above which the server may abort the stream
	// because it was not read.
	stalledWriteThreshold = time.Second
)

// passEvent writes one event to the caller and flushes it.
func (forwarder *forwarder) passEvent(activeAttempt *activeAttempt, event events.Event) error {
	startedAt := forwarder.gateway.now()
	forwarder.setWriteDeadline()
	forwarder.startResponse(activeAttempt)
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
	if now.Sub(startedAt) > slowWriteThreshold {
		activeAttempt.activeRequest.ResetEventTimer()
	}
	activeAttempt.callerStalled = activeAttempt.callerStalled || now.Sub(startedAt) > stalledWriteThreshold
	forwarder.timings.passEvent(forwarder.arrivedAt, now)
	forwarder.gateway.metrics.eventDelay.Observe(now.Sub(startedAt).Seconds())
	return nil
}

// isNewEvent reports whether an event comes after the last one that the caller received. IDs
// increase; an ID that is not a number is always taken as new.
func isNewEvent(id, last string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	return err != nil || number > lastNumber
}
