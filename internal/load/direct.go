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

// submitDirect sends the arrival to one of the engines and reads its answer.
func submitDirect(ctx context.Context, engines backend.Engine, addresses []string, arrival Arrival) Answer {
	prompt := arrival.Prompt()
	call := &call{
		answer: Answer{Arrival: arrival, RequestID: "direct." + uuid.NewString()},
		digest: xxhash.Sum64String(prompt),
		sent:   time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, arrival.Class.Time)
	defer cancel()
	stream, err := engines.Generate(ctx, addresses[arrival.Seed%uint64(len(addresses))], backend.Dispatch{
		Attempt:      call.answer.RequestID,
		Request:      call.answer.RequestID,
		Organisation: arrival.Organisation,
		Owner:        "direct",
		Model:        arrival.Class.Model,
		Body:         []byte(prompt),
		Priority:     backend.PriorityShort,
		MaxTokens:    arrival.Class.MaxTokens,
		TimeLeft:     arrival.Class.Time,
	})
	if err != nil {
		call.answer.Kind = request.KindFailedMayHaveRun
		call.answer.Total = time.Since(call.sent)
		return call.answer
	}
	defer stream.Close()
	call.readFrames(stream)
	call.answer.Total = time.Since(call.sent)
	return call.answer
}

func (call *call) readFrames(stream backend.Stream) {
	for {
		frame, err := stream.Next()
		switch {
		case err != nil:
			call.answer.Kind = request.KindFailedMayHaveRun
			return
		case frame.End == backend.EndCompleted:
			call.answer.Kind = request.KindCompleted
			return
		case frame.End != backend.EndNone:
			call.answer.Kind = request.KindFailedMayHaveRun
			return
		}
		call.token(entry.TokenEvent{Seq: frame.Seq, Text: frame.Text})
	}
}
