package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/events"
)

// relay forwards whole events until the stream ends. When the stream breaks off, lastEvent
// identifies what was forwarded, and another server may resume it.
func (forwarder *forwarder) relay(ctx context.Context, activeAttempt *activeAttempt) result {
	reader := events.NewReader(activeAttempt.response)
	streamTimeout := forwarder.gateway.settings.Request.streamTimeout(forwarder.route.InterTokenObjective)
	progress := newStreamProgress()
	for {
		block, err := reader.Next()
		if endedEarly(err, !progress.started) && !activeAttempt.response.StatesEnd() {
			err = activeAttempt.response.Unfinished()
		}
		if errors.Is(err, io.EOF) {
			return forwarder.finishStream(activeAttempt, progress.takeHeld())
		}
		if err != nil {
			return forwarder.streamErrorResult(ctx, err, progress.started, activeAttempt.callerStalled)
		}
		wasStarted := progress.started
		use := progress.use(block, forwarder.lastEvent)
		if progress.started && !wasStarted {
			forwarder.recordStarted(activeAttempt)
		}
		switch use {
		case blockExcess:
			return result{kind: resultUncertain, status: http.StatusOK, receivedEvent: progress.started, err: errors.WithStack(errNoProgress)}
		case blockHeld, blockDropped:
			continue
		case blockRepeated:
			activeAttempt.activeRequest.RecordEvent()
			activeAttempt.restartWatchdog(streamTimeout)
			continue
		case blockComment:
			err = forwarder.passComment(activeAttempt, block.Raw)
		case blockPassed:
			activeAttempt.activeRequest.RecordEvent()
			err = forwarder.passEvent(activeAttempt, progress.takeHeld(), block)
			activeAttempt.restartWatchdog(streamTimeout)
		}
		if err != nil {
			return result{kind: resultTruncated, err: errors.Wrap(err, "write to the caller")}
		}
	}
}

// recordStarted records that an attempt had its first event.
func (forwarder *forwarder) recordStarted(activeAttempt *activeAttempt) {
	forwarder.receivedEvent.Store(true)
	activeAttempt.activeRequest.FinishPrefill()
	forwarder.recordBegun()
	forwarder.recordFirstEvent(activeAttempt)
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

// finishStream completes the response. It writes the header if the stream had no events, and what was held for the next one.
func (forwarder *forwarder) finishStream(activeAttempt *activeAttempt, held []byte) result {
	forwarder.startResponse(activeAttempt)
	if len(held) > 0 {
		_ = forwarder.write(activeAttempt, held) // the caller may have disconnected
	}
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

// passEvent writes one event to the caller, after the blocks that were held for it.
func (forwarder *forwarder) passEvent(activeAttempt *activeAttempt, held []byte, event events.Event) error {
	startedAt := forwarder.gateway.now()
	if err := forwarder.write(activeAttempt, append(held, event.Raw...)); err != nil {
		return err
	}
	if event.ID != "" {
		forwarder.lastEvent = event.ID
	}
	now := forwarder.gateway.now()
	forwarder.timings.passEvent(forwarder.arrivedAt, now)
	forwarder.gateway.metrics.eventDelay.Observe(now.Sub(startedAt).Seconds())
	return nil
}

// passComment writes a block that is no event to the caller. The server's time for its next event runs on, but for the time of
// the write.
func (forwarder *forwarder) passComment(activeAttempt *activeAttempt, raw []byte) error {
	remaining := time.Until(activeAttempt.expiresAt)
	err := forwarder.write(activeAttempt, raw)
	activeAttempt.restartWatchdog(remaining)
	return err
}

// write writes to the caller, after the header if it was not written, and flushes it. The server is not read while the caller is not
// reading, so that a pause must not count against it: the watchdog is stopped.
func (forwarder *forwarder) write(activeAttempt *activeAttempt, data []byte) error {
	startedAt := forwarder.gateway.now()
	activeAttempt.stopWatchdog()
	forwarder.setWriteDeadline()
	forwarder.startResponse(activeAttempt)
	if _, err := forwarder.writer.Write(data); err != nil {
		return errors.WithStack(err)
	}
	if err := http.NewResponseController(forwarder.writer).Flush(); err != nil {
		return errors.WithStack(err)
	}
	took := forwarder.gateway.now().Sub(startedAt)
	if took > slowWriteThreshold {
		activeAttempt.activeRequest.ResetEventTimer()
	}
	activeAttempt.callerStalled = activeAttempt.callerStalled || took > stalledWriteThreshold
	return nil
}
