package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/relay"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Opening a stream again after a cut to the engine.
const (
	reopenTries = 3
	reopenPause = 50 * time.Millisecond
	orderTime   = 2 * time.Second
)

// attempt sends the request to the servers of a decision once.
func (run *run) attempt(ctx context.Context, decision routing.Decision) result {
	run.sending = run.entry.fleet.Sent(decision, run.routingRequest())
	defer run.sending.Over()
	attempt := run.attempts
	run.attempts++
	group := ""
	if len(decision.Servers) > 1 {
		reserved, failure := run.reserve(ctx, decision.Servers)
		if failure != nil {
			return *failure
		}
		group = reserved.name
		defer reserved.release()
	}
	// The right to dispatch may have lapsed while this process did not run.
	if ctx.Err() != nil {
		return result{kind: resultInterrupted}
	}
	server := decision.Servers[0]
	dispatch := run.dispatch(attempt, group)
	if run.request.Service {
		return run.call(ctx, server, dispatch)
	}
	stream, err := run.entry.backends.Generate(ctx, server.Address, dispatch)
	if err != nil {
		return run.dispatchFailed(ctx, server, err)
	}
	run.mayHaveRun = true
	return run.relay(ctx, stream, source{attempt: attempt, id: dispatch.Attempt, server: server, from: dispatch.From})
}

func (run *run) dispatch(attempt int, group string) backend.Dispatch {
	return backend.Dispatch{
		Attempt:      attemptID(run.request.ID, attempt),
		Request:      run.request.ID,
		Organisation: run.request.Organisation,
		Owner:        run.entry.incarnation,
		Session:      run.request.Session,
		Model:        run.request.Model,
		Body:         run.request.Body,
		Priority:     run.priority(),
		From:         run.buffer.Next(),
		MaxTokens:    run.request.MaxTokens,
		TimeLeft:     run.timeLeft(),
		Group:        group,
		Key:          run.request.Key.Value,
		Fence:        run.fence,
	}
}

// priority puts shorter prompts before longer ones.
func (run *run) priority() int {
	settings := run.entry.settings.Routing
	switch tokens := run.request.Tokens(); {
	case tokens < settings.LengthAware.LongTokens:
		return backend.PriorityShort
	case tokens < settings.MediumTokens:
		return backend.PriorityMedium
	default:
		return backend.PriorityLong
	}
}

// attemptID names one dispatch of a request.
func attemptID(requestID string, attempt int) string {
	return fmt.Sprintf("%s~%d", requestID, attempt)
}

// dispatchFailed tells whether a dispatch that failed may have run.
func (run *run) dispatchFailed(ctx context.Context, server routing.Server, err error) result {
	var notRun *backend.NotRunError
	if errors.As(err, &notRun) {
		if notRun.Leaving {
			run.entry.fleet.Leaving(server.ID)
		}
		return result{kind: resultNotRun, reason: request.ReasonEngineRefused, server: server.ID, err: err}
	}
	run.mayHaveRun = true
	if ctx.Err() != nil {
		return result{kind: resultInterrupted, server: server.ID, err: err}
	}
	var status *backend.StatusError
	return result{
		kind: resultUncertain, reason: request.ReasonEngineFailed, server: server.ID,
		lost: !errors.As(err, &status), err: err,
	}
}

// call sends a call to a plain service.
func (run *run) call(ctx context.Context, server routing.Server, dispatch backend.Dispatch) result {
	answer, err := run.entry.backends.Call(ctx, server.Address, dispatch)
	if err != nil {
		return run.dispatchFailed(ctx, server, err)
	}
	run.mayHaveRun = true
	run.buffer.Start()
	run.buffer.Add(relay.Token{Text: string(answer), Server: server.ID})
	return result{kind: resultCompleted, server: server.ID}
}

// source is the stream that an answer comes from.
type source struct {
	// attempt is the number of the dispatch, and id its name.
	attempt int
	id      string
	server  routing.Server
	// from is the first token that was asked for.
	from int
}

// relay passes on the frames of a stream until it ends.
func (run *run) relay(ctx context.Context, stream backend.Stream, source source) result {
	defer func() { stream.Close() }()
	run.buffer.Start()
	// cuts counts cuts since a frame last came.
	cuts := 0
	for {
		frame, err := stream.Next()
		if err != nil {
			cuts++
			reopened, failure := run.reopen(ctx, source, cuts, err)
			if failure != nil {
				return *failure
			}
			stream.Close()
			stream = reopened
			continue
		}
		cuts = 0
		if frame.End != backend.EndNone {
			return run.streamEnded(frame, source)
		}
		run.add(frame, source)
	}
}

func (run *run) add(frame backend.Frame, source source) {
	token := relay.Token{
		Seq:     frame.Seq,
		Text:    frame.Text,
		Attempt: source.attempt,
		Server:  source.server.ID,
	}
	if !run.buffer.Add(token) {
		run.entry.metrics.dropped.Inc()
		return
	}
	run.sending.Computed()
	if frame.Seq == 0 {
		run.observeFirstToken()
	}
}

func (run *run) observeFirstToken() {
	since := run.request.Time - run.timeLeft()
	length := "short"
	if run.request.Tokens() >= run.entry.settings.Routing.LengthAware.LongTokens {
		length = "long"
	}
	run.entry.metrics.firstToken.WithLabelValues(length).Observe(since.Seconds())
}

// streamEnded returns the result that the last frame states. An answer is
// whole only if it has every token up to its end.
func (run *run) streamEnded(frame backend.Frame, source source) result {
	server := source.server.ID
	switch {
	case frame.End == backend.EndCompleted && frame.Seq == run.buffer.Next():
		return result{kind: resultCompleted, server: server}
	case frame.End == backend.EndDeadline:
		return result{kind: resultEnded, reason: request.ReasonDeadline, server: server}
	case frame.End == backend.EndCancelled:
		return result{kind: resultEnded, reason: request.ReasonCancelled, server: server}
	default:
		err := errors.Newf("stream ended with %s at token %d of %d: %s", frame.End, run.buffer.Next(), frame.Seq, frame.Reason)
		return result{kind: resultUncertain, reason: request.ReasonEngineFailed, server: server, err: err}
	}
}

// reopen opens the stream again after so many cuts in a row, or returns how the
// attempt ends.
func (run *run) reopen(ctx context.Context, source source, cuts int, cut error) (backend.Stream, *result) {
	entry := run.entry
	for try := cuts; try <= reopenTries; try++ {
		if try > 1 {
			wait.For(ctx, reopenPause)
		}
		if ctx.Err() != nil {
			break
		}
		stream, err := entry.backends.Resume(ctx, source.server.Address, source.id, run.buffer.Next())
		if err == nil {
			entry.metrics.resumed.Inc()
			return stream, nil
		}
		cut = errors.CombineErrors(cut, err)
	}
	if ctx.Err() != nil {
		entry.cancelAt(source.server.Address, source.id)
		return nil, &result{kind: resultInterrupted, server: source.server.ID}
	}
	return nil, &result{
		kind: resultUncertain, reason: request.ReasonEngineFailed, server: source.server.ID,
		lost: true, ran: run.buffer.Next() > source.from, err: cut,
	}
}

// cancelAt cancels a stream without waiting for it. Engines end what they are
// not told of when its time is over.
func (entry *Entry) cancelAt(address, attempt string) {
	entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTime)
		defer cancel()
		err := entry.backends.Cancel(ctx, address, attempt)
		if err != nil {
			entry.logger.Warn("stream not cancelled", "attempt", attempt, "address", address, "error", err)
		}
	})
}
