package exchange

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/wire"
)

func encodeAsk(ask dispatch.Ask) *wire.Ask {
	return &wire.Ask{
		Id:           ask.ID,
		Service:      ask.Service,
		Tokens:       uint64(ask.Tokens), //nolint:gosec // not negative
		MemoryTokens: uint64(ask.Memory), //nolint:gosec // not negative
		GapMs:        milliseconds(ask.Gap),
		ObjectiveMs:  milliseconds(ask.Objective),
		DueMs:        int32(ask.Due.Milliseconds()),   //nolint:gosec // minutes at most
		StaysMs:      int32(ask.Stays.Milliseconds()), //nolint:gosec // minutes at most
		DataCentre:   ask.DataCentre,
		Tried:        ask.Tried,
		Withdrawn:    ask.Withdrawn,
		Again:        ask.Again,
		KeptTo:       ask.KeptTo,
		Counted:      ask.Counted,
	}
}

func decodeAsks(asks []*wire.Ask) []dispatch.Ask {
	list := make([]dispatch.Ask, 0, len(asks))
	for _, ask := range asks {
		list = append(list, dispatch.Ask{
			ID:         ask.GetId(),
			Service:    ask.GetService(),
			Tokens:     int(ask.GetTokens()),       //nolint:gosec // millions at most
			Memory:     int(ask.GetMemoryTokens()), //nolint:gosec // millions at most
			Gap:        time.Duration(ask.GetGapMs()) * time.Millisecond,
			Objective:  time.Duration(ask.GetObjectiveMs()) * time.Millisecond,
			Due:        time.Duration(ask.GetDueMs()) * time.Millisecond,
			Stays:      time.Duration(ask.GetStaysMs()) * time.Millisecond,
			DataCentre: ask.GetDataCentre(),
			Tried:      ask.GetTried(),
			Withdrawn:  ask.GetWithdrawn(),
			Again:      ask.GetAgain(),
			KeptTo:     ask.GetKeptTo(),
			Counted:    ask.GetCounted(),
		})
	}
	return list
}

func encodeAnswer(answer dispatch.Answer) *wire.Verdict {
	shares := make([]uint64, 0, len(answer.Shares))
	for _, share := range answer.Shares {
		shares = append(shares, uint64(share)) //nolint:gosec // not negative
	}
	return &wire.Verdict{
		Id:          answer.ID,
		Decision:    wire.Decision(answer.Decision), //nolint:gosec // few values
		Servers:     answer.Servers,
		PartUs:      uint64(answer.Part.Microseconds()), //nolint:gosec // not negative
		Shares:      shares,
		PredictedMs: milliseconds(answer.Predicted),
		Tight:       answer.Tight,
		Limited:     answer.Limited,
		ReturnMs:    milliseconds(answer.Return),
		Reason:      answer.Reason,
	}
}

func decodeAnswers(verdicts []*wire.Verdict) []dispatch.Answer {
	list := make([]dispatch.Answer, 0, len(verdicts))
	for _, verdict := range verdicts {
		var shares []int
		for _, share := range verdict.GetShares() {
			shares = append(shares, int(share)) //nolint:gosec // bounded by any engine's memory
		}
		list = append(list, dispatch.Answer{
			ID:        verdict.GetId(),
			Decision:  dispatch.Decision(verdict.GetDecision()),
			Servers:   verdict.GetServers(),
			Part:      time.Duration(verdict.GetPartUs()) * time.Microsecond, //nolint:gosec // hours at most
			Shares:    shares,
			Predicted: time.Duration(verdict.GetPredictedMs()) * time.Millisecond,
			Tight:     verdict.GetTight(),
			Limited:   verdict.GetLimited(),
			Return:    time.Duration(verdict.GetReturnMs()) * time.Millisecond,
			Reason:    verdict.GetReason(),
		})
	}
	return list
}

// milliseconds converts a duration for the wire. A negative one becomes zero.
func milliseconds(duration time.Duration) uint32 {
	return uint32(max(0, duration.Milliseconds())) //nolint:gosec // minutes at most
}
