package exchange

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/wire"
)

func encodeAsk(ask dispatch.AssignmentRequest) *wire.Ask {
	return &wire.Ask{
		Id:           ask.ID,
		Service:      ask.Service,
		Tokens:       uint64(ask.Tokens), //nolint:gosec // not negative
		MemoryTokens: uint64(ask.Memory), //nolint:gosec // not negative
		GapMs:        milliseconds(ask.InterTokenObjective),
		ObjectiveMs:  milliseconds(ask.Objective),
		DueMs:        int32(ask.TimeToObjective.Milliseconds()),      //nolint:gosec // minutes at most
		StaysMs:      int32(ask.TimeToCallerDeadline.Milliseconds()), //nolint:gosec // minutes at most
		DataCentre:   ask.DataCentre,
		Tried:        ask.Tried,
		Withdrawn:    ask.Cancelled,
		Again:        ask.Retry,
		KeptTo:       ask.AllowedDataCentres,
		Counted:      ask.Counted,
	}
}

func decodeAsks(asks []*wire.Ask) []dispatch.AssignmentRequest {
	list := make([]dispatch.AssignmentRequest, 0, len(asks))
	for _, ask := range asks {
		list = append(list, dispatch.AssignmentRequest{
			ID:                   ask.GetId(),
			Service:              ask.GetService(),
			Tokens:               int(ask.GetTokens()),       //nolint:gosec // millions at most
			Memory:               int(ask.GetMemoryTokens()), //nolint:gosec // millions at most
			InterTokenObjective:  time.Duration(ask.GetGapMs()) * time.Millisecond,
			Objective:            time.Duration(ask.GetObjectiveMs()) * time.Millisecond,
			TimeToObjective:      time.Duration(ask.GetDueMs()) * time.Millisecond,
			TimeToCallerDeadline: time.Duration(ask.GetStaysMs()) * time.Millisecond,
			DataCentre:           ask.GetDataCentre(),
			Tried:                ask.GetTried(),
			Cancelled:            ask.GetWithdrawn(),
			Retry:                ask.GetAgain(),
			AllowedDataCentres:   ask.GetKeptTo(),
			Counted:              ask.GetCounted(),
		})
	}
	return list
}

func encodeAnswer(answer dispatch.AssignmentResponse) *wire.Verdict {
	shares := make([]uint64, 0, len(answer.MemoryShares))
	for _, share := range answer.MemoryShares {
		shares = append(shares, uint64(share)) //nolint:gosec // not negative
	}
	return &wire.Verdict{
		Id:          answer.ID,
		Decision:    wire.Decision(answer.Decision), //nolint:gosec // few values
		Servers:     answer.Servers,
		PartUs:      uint64(answer.PrefillPerServer.Microseconds()), //nolint:gosec // not negative
		Shares:      shares,
		PredictedMs: milliseconds(answer.PredictedTTFT),
		Tight:       answer.Packable,
		Limited:     answer.RateLimited,
		ReturnMs:    milliseconds(answer.RetryAfter),
		Reason:      answer.Reason,
	}
}

func decodeAnswers(verdicts []*wire.Verdict) []dispatch.AssignmentResponse {
	list := make([]dispatch.AssignmentResponse, 0, len(verdicts))
	for _, verdict := range verdicts {
		var shares []int
		for _, share := range verdict.GetShares() {
			shares = append(shares, int(share)) //nolint:gosec // bounded by any engine's memory
		}
		list = append(list, dispatch.AssignmentResponse{
			ID:               verdict.GetId(),
			Decision:         dispatch.Decision(verdict.GetDecision()),
			Servers:          verdict.GetServers(),
			PrefillPerServer: time.Duration(verdict.GetPartUs()) * time.Microsecond, //nolint:gosec // hours at most
			MemoryShares:     shares,
			PredictedTTFT:    time.Duration(verdict.GetPredictedMs()) * time.Millisecond,
			Packable:         verdict.GetTight(),
			RateLimited:      verdict.GetLimited(),
			RetryAfter:       time.Duration(verdict.GetReturnMs()) * time.Millisecond,
			Reason:           verdict.GetReason(),
		})
	}
	return list
}

// milliseconds converts a duration for the wire. A negative one becomes zero.
func milliseconds(duration time.Duration) uint32 {
	return uint32(max(0, duration.Milliseconds())) //nolint:gosec // minutes at most
}
