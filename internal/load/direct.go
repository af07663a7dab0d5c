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
func submitDirect(ctx context.Context, engines backend.Engine, addresses []string, arrival Arrival) Result {
	prompt := arrival.Prompt()
	caller := &caller{
		result: Result{Arrival: arrival, RequestID: "direct." + uuid.NewString()},
		digest: xxhash.Sum64String(prompt),
		sentAt: time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, arrival.Class.Time)
	defer cancel()
	stream, err := engines.Generate(ctx, addresses[arrival.Seed%uint64(len(addresses))], backend.Dispatch{
		Attempt:      caller.result.RequestID,
		Request:      caller.result.RequestID,
		Organisation: arrival.Organisation,
		Owner:        "direct",
		Model:        arrival.Class.Model,
		Body:         []byte(prompt),
		Priority:     backend.PriorityShort,
		MaxTokens:    arrival.Class.MaxTokens,
		TimeLeft:     arrival.Class.Time,
	})
	if err != nil {
		caller.result.Kind = request.KindFailedMayHaveRun
		caller.result.Total = time.Since(caller.sentAt)
		return caller.result
	}
	defer stream.Close()
	caller.readFrames(stream)
	caller.result.Total = time.Since(caller.sentAt)
	return caller.result
}

// readFrames reads a stream of an engine until its end.
func (caller *caller) readFrames(stream backend.Stream) {
	for {
		frame, err := stream.Next()
		switch {
		case err != nil:
			caller.result.Kind = request.KindFailedMayHaveRun
			return
		case frame.End == backend.EndCompleted:
			caller.result.Kind = request.KindCompleted
			return
		case frame.End != backend.EndNone:
			caller.result.Kind = request.KindFailedMayHaveRun
			return
		}
		caller.token(entry.TokenEvent{Seq: frame.Seq, Text: frame.Text})
	}
}
