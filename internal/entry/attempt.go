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

const (
	// maxResumeAttempts is how often in a row a stream is resumed after the connection
	// to the engine broke.
	maxResumeAttempts = 3
	// resumeDelay is the delay before each resumption but the first.
	resumeDelay = 50 * time.Millisecond
	// commandTimeout is the timeout of a command to an engine.
	commandTimeout = 2 * time.Second
)

// send sends the request once, to the servers of a routing decision. If there
// are several, memory is reserved at each before the request is sent to the first.
func (forwarder *forwarder) send(ctx context.Context, decision routing.Decision) result {
	forwarder.dispatched = forwarder.entry.fleet.RecordDispatch(decision, forwarder.routingRequest())
	defer forwarder.dispatched.Finish()
	attempt := forwarder.attempts
	forwarder.attempts++
	group := ""
	if len(decision.Servers) > 1 {
		reserved, failure := forwarder.reserveMemory(ctx, decision.Servers)
		if failure != nil {
			return *failure
		}
		group = reserved.name
		defer reserved.release()
	}
	// The right to dispatch may have expired while this process was suspended.
	if ctx.Err() != nil {
		return result{kind: resultInterrupted}
	}
	server := decision.Servers[0]
	dispatch := forwarder.newDispatch(attempt, group)
	if forwarder.request.Service {
		return forwarder.callService(ctx, server, dispatch)
	}
	stream, err := forwarder.entry.backends.Generate(ctx, server.Address, dispatch)
	if err != nil {
		return forwarder.dispatchFailure(ctx, server, err)
	}
	forwarder.mayHaveRun = true
	return forwarder.relayStream(ctx, stream, source{attempt: attempt, id: dispatch.Attempt, server: server, from: dispatch.From})
}

func (forwarder *forwarder) newDispatch(attempt int, group string) backend.Dispatch {
	return backend.Dispatch{
		Attempt:      attemptID(forwarder.request.ID, attempt),
		Request:      forwarder.request.ID,
		Organisation: forwarder.request.Organisation,
		Owner:        forwarder.entry.incarnation,
		Session:      forwarder.request.Session,
		Model:        forwarder.request.Model,
		Body:         forwarder.request.Body,
		Priority:     forwarder.priority(),
		From:         forwarder.buffer.Next(),
		MaxTokens:    forwarder.request.MaxTokens,
		TimeLeft:     forwarder.timeLeft(),
		Group:        group,
		Key:          forwarder.request.Key.Value,
		Fence:        forwarder.fence,
	}
}

// priority returns the scheduling priority at the engine: shorter prompts are
// prefilled before longer ones.
func (forwarder *forwarder) priority() int {
	settings := forwarder.entry.settings.Routing
	switch tokens := forwarder.request.Tokens(); {
	case tokens < settings.LengthAware.LongTokens:
		return backend.PriorityShort
	case tokens < settings.MediumTokens:
		return backend.PriorityMedium
	default:
		return backend.PriorityLong
	}
}

// attemptID returns the ID of one attempt of a request: "<request ID>~<number>".
func attemptID(requestID string, attempt int) string {
	return fmt.Sprintf("%s~%d", requestID, attempt)
}

// dispatchFailure returns the result of a failed dispatch. The server may have run
// the request unless err is a backend.NotRunError.
func (forwarder *forwarder) dispatchFailure(ctx context.Context, server routing.Server, err error) result {
	var notRun *backend.NotRunError
	if errors.As(err, &notRun) {
		if notRun.Draining {
			forwarder.entry.fleet.MarkDraining(server.ID)
		}
		return result{kind: resultNotRun, reason: request.ReasonEngineRefused, server: server.ID, err: err}
	}
	forwarder.mayHaveRun = true
	if ctx.Err() != nil {
		return result{kind: resultInterrupted, server: server.ID, err: err}
	}
	var status *backend.StatusError
	return result{
		kind: resultUncertain, reason: request.ReasonEngineFailed, server: server.ID,
		connectionLost: !errors.As(err, &status), address: server.Address, err: err,
	}
}

// callService sends a call to a plain service and stores its response as one token.
func (forwarder *forwarder) callService(ctx context.Context, server routing.Server, dispatch backend.Dispatch) result {
	response, err := forwarder.entry.backends.Call(ctx, server.Address, dispatch)
	if err != nil {
		return forwarder.dispatchFailure(ctx, server, err)
	}
	forwarder.mayHaveRun = true
	forwarder.buffer.MarkStarted()
	forwarder.buffer.Add(relay.Token{Text: string(response), Server: server.ID})
	return result{kind: resultCompleted, server: server.ID}
}

// source is the stream that is relayed to the caller.
type source struct {
	// attempt is the number of the attempt, and id its ID.
	attempt int
	id      string
	server  routing.Server
	// from is the sequence number of the first requested token.
	from int
}

// relayStream copies the frames of a stream into the buffer until the stream ends. It
// resumes the stream after connection losses.
func (forwarder *forwarder) relayStream(ctx context.Context, stream backend.Stream, source source) result {
	defer func() { stream.Close() }()
	forwarder.buffer.MarkStarted()
	// losses is the number of connection losses since the last frame.
	losses := 0
	for {
		frame, err := stream.Next()
		if err != nil {
			losses++
			resumed, failure := forwarder.resumeStream(ctx, source, losses, err)
			if failure != nil {
				return *failure
			}
			stream.Close()
			stream = resumed
			continue
		}
		losses = 0
		if frame.End != backend.EndNone {
			return forwarder.streamResult(frame, source)
		}
		forwarder.addToken(frame, source)
	}
}

func (forwarder *forwarder) addToken(frame backend.Frame, source source) {
	token := relay.Token{
		Seq:     frame.Seq,
		Text:    frame.Text,
		Attempt: source.attempt,
		Server:  source.server.ID,
	}
	if !forwarder.buffer.Add(token) {
		forwarder.entry.metrics.dropped.Inc()
		return
	}
	forwarder.dispatched.FinishPrefill()
	if frame.Seq == 0 {
		forwarder.recordFirstToken()
	}
}

func (forwarder *forwarder) recordFirstToken() {
	elapsed := forwarder.request.TimeLimit - forwarder.timeLeft()
	length := "short"
	if forwarder.request.Tokens() >= forwarder.entry.settings.Routing.LengthAware.LongTokens {
		length = "long"
	}
	forwarder.entry.metrics.firstToken.WithLabelValues(length).Observe(elapsed.Seconds())
}

// streamResult returns the result for the last frame of a stream. A response is
// complete only if every token up to its end was received.
func (forwarder *forwarder) streamResult(frame backend.Frame, source source) result {
	server := source.server.ID
	switch {
	case frame.End == backend.EndCompleted && frame.Seq == forwarder.buffer.Next():
		return result{kind: resultCompleted, server: server}
	case frame.End == backend.EndDeadline:
		return result{kind: resultEndedByServer, reason: request.ReasonDeadline, server: server}
	case frame.End == backend.EndCancelled:
		return result{kind: resultEndedByServer, reason: request.ReasonCancelled, server: server}
	default:
		err := errors.Newf("stream ended with %s at token %d of %d: %s", frame.End, forwarder.buffer.Next(), frame.Seq, frame.Reason)
		return result{kind: resultUncertain, reason: request.ReasonEngineFailed, server: server, err: err}
	}
}

// resumeStream resumes a stream after its connection was lost for the given number of
// times in a row, or returns the result of the attempt. lossErr is the error of
// the last loss.
func (forwarder *forwarder) resumeStream(ctx context.Context, source source, losses int, lossErr error) (backend.Stream, *result) {
	entry := forwarder.entry
	for try := losses; try <= maxResumeAttempts; try++ {
		if try > 1 {
			wait.For(ctx, resumeDelay)
		}
		if ctx.Err() != nil {
			break
		}
		stream, err := entry.backends.Resume(ctx, source.server.Address, source.id, forwarder.buffer.Next())
		if err == nil {
			entry.metrics.resumed.Inc()
			return stream, nil
		}
		lossErr = errors.CombineErrors(lossErr, err)
	}
	if ctx.Err() != nil {
		entry.cancelStream(source.server.Address, source.id)
		return nil, &result{kind: resultInterrupted, server: source.server.ID}
	}
	return nil, &result{
		kind: resultUncertain, reason: request.ReasonEngineFailed, server: source.server.ID,
		connectionLost: true, address: source.server.Address, receivedToken: forwarder.buffer.Next() > source.from, err: lossErr,
	}
}

// cancelStream cancels a stream at an engine, in the background. If the engine cannot
// be reached, it ends the stream at the deadline of the request.
func (entry *Entry) cancelStream(address, attempt string) {
	entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		err := entry.backends.Cancel(ctx, address, attempt)
		if err != nil {
			entry.logger.Warn("failed to cancel stream", "attempt", attempt, "address", address, "error", err)
		}
	})
}
