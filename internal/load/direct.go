package load

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/entry"
	"github.com/mastwinch/mastwinch/internal/request"
)

// submitDirect sends an arrival to one of the engines, chosen by the arrival's
// seed, and reads the response.
func submitDirect(ctx context.Context, engines backend.Engine, addresses []string, arrival Arrival) Answer {
	prompt := arrival.Prompt()
	caller := &call{
		answer: Answer{Arrival: arrival, RequestID: "direct." + uuid.NewString()},
		digest: xxhash.Sum64String(prompt),
		sent:   time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, arrival.Class.Time)
	defer cancel()
	stream, err := engines.Generate(ctx, addresses[arrival.Seed%uint64(len(addresses))], backend.Dispatch{
		Attempt:      caller.answer.RequestID,
		Request:      caller.answer.RequestID,
		Organisation: arrival.Organisation,
		Owner:        "direct",
		Model:        arrival.Class.Model,
		Body:         []byte(prompt),
		Priority:     backend.PriorityShort,
		MaxTokens:    arrival.Class.MaxTokens,
		TimeLeft:     arrival.Class.Time,
	})
	if err != nil {
		caller.answer.Kind = request.KindFailedMayHaveRun
		caller.answer.Total = time.Since(caller.sent)
		return caller.answer
	}
	defer stream.Close()
	caller.readFrames(stream)
	caller.answer.Total = time.Since(caller.sent)
	return caller.answer
}

// readFrames reads a stream of an engine until its end.
func (caller *call) readFrames(stream backend.Stream) {
	for {
		frame, err := stream.Next()
		switch {
		case err != nil:
			caller.answer.Kind = request.KindFailedMayHaveRun
			return
		case frame.End == backend.EndCompleted:
			caller.answer.Kind = request.KindCompleted
			return
		case frame.End != backend.EndNone:
			caller.answer.Kind = request.KindFailedMayHaveRun
			return
		}
		caller.token(entry.TokenEvent{Seq: frame.Seq, Text: frame.Text})
	}
}
