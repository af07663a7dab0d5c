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

// relay passes whole events on until the stream ends. When it is cut, what was
// passed on is known by lastEvent, and the stream may go on at another server.
func (run *run) relay(ctx context.Context, attempted *attempted) result {
	reader := events.NewReader(attempted.response)
	silence := run.gateway.settings.Request.silence(run.route.Gap)
	first := true
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return run.relayed(attempted)
		}
		if err != nil {
			return run.cut(ctx, err, !first, attempted.stalled)
		}
		if first {
			first = false
			run.hasEvents.Store(true)
			attempted.use.Read()
			run.observeFirst(attempted)
		}
		attempted.use.Event()
		if !follows(event.ID, run.lastEvent) {
			attempted.expect(silence)
			continue
		}
		// While the caller does not read, the server is not read either: its silence then says nothing of it.
		attempted.rest()
		if err := run.pass(attempted, event); err != nil {
			return result{kind: resultBroken, err: errors.Wrap(err, "caller")}
		}
		attempted.expect(silence)
	}
}

// observeFirst notes the first event of an attempt.
func (run *run) observeFirst(attempted *attempted) {
	gateway := run.gateway
	took := gateway.now().Sub(run.arrived)
	gateway.metrics.firstEvent.WithLabelValues(run.route.Name).Observe(took.Seconds())
	gateway.logger.Info("first event", "request_id", run.head.ID, "server", attempted.plan.Server.ID,
		"took", took, "predicted", attempted.plan.Predicted)
}

// cut returns the result of a stream that broke off, after an event or before. Where the caller had stalled it the server
// may have cut it for that.
func (run *run) cut(ctx context.Context, err error, ran, stalled bool) result {
	cause := context.Cause(ctx)
	if cause != nil {
		err = errors.CombineErrors(cause, err)
	}
	return result{
		kind: resultUncertain, status: http.StatusOK, lost: cause == nil && !stalled, ran: ran, excused: stalled,
		err: errors.Wrap(err, "stream"),
	}
}

// relayed ends the answer.
func (run *run) relayed(attempted *attempted) result {
	run.begin(attempted)
	return result{kind: resultAnswered, status: http.StatusOK}
}

// begin writes the head of the first server's answer, once.
func (run *run) begin(attempted *attempted) {
	if run.begun {
		return
	}
	run.begun = true
	run.copyHeader(attempted.response.Header)
	run.writer.WriteHeader(attempted.response.Status)
}

const (
	// slowPass is from how long on a caller has held the reading of its stream up.
	slowPass = 20 * time.Millisecond
	// stalledPass is from how long on the server may cut the answer off for that.
	stalledPass = time.Second
)

// pass passes one event on at once.
func (run *run) pass(attempted *attempted, event events.Event) error {
	started := run.gateway.now()
	run.boundWrite()
	run.begin(attempted)
	if _, err := run.writer.Write(event.Raw); err != nil {
		return errors.WithStack(err)
	}
	if err := http.NewResponseController(run.writer).Flush(); err != nil {
		return errors.WithStack(err)
	}
	if event.ID != "" {
		run.lastEvent = event.ID
	}
	now := run.gateway.now()
	if now.Sub(started) > slowPass {
		attempted.use.Interrupted()
	}
	attempted.stalled = attempted.stalled || now.Sub(started) > stalledPass
	run.account.pass(run.arrived, now)
	run.gateway.metrics.eventDelay.Observe(now.Sub(started).Seconds())
	return nil
}

// follows reports whether the caller does not have the event yet. IDs rise; one
// that is no number is always new.
func follows(id, last string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	had, err := strconv.ParseInt(last, 10, 64)
	return err != nil || next > had
}
