package exchange

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/wire"
)

func encodeAssignmentRequest(request dispatch.AssignmentRequest) *wire.Ask {
	return &wire.Ask{
		Id:           request.ID,
		Service:      request.Service,
		Tokens:       uint64(request.Tokens), //nolint:gosec // not negative
		MemoryTokens: uint64(request.Memory), //nolint:gosec // not negative
		GapMs:        milliseconds(request.InterTokenObjective),
		ObjectiveMs:  milliseconds(request.Objective),
		DueMs:        int32(request.TimeToObjective.Milliseconds()),      //nolint:gosec // minutes at most
		StaysMs:      int32(request.TimeToCallerDeadline.Milliseconds()), //nolint:gosec // minutes at most
		DataCentre:   request.DataCentre,
		Tried:        request.Tried,
		Withdrawn:    request.Cancelled,
		Again:        request.Retry,
		KeptTo:       request.AllowedDataCentres,
		Counted:      request.Counted,
		Organisation: uint64(request.Organisation),
		Priority:     uint32(request.Priority), //nolint:gosec // not negative
		Contained:    encodeFingerprints(request.Contained),
	}
}

func decodeAssignmentRequests(requests []*wire.Ask) []dispatch.AssignmentRequest {
	list := make([]dispatch.AssignmentRequest, 0, len(requests))
	for _, request := range requests {
		list = append(list, dispatch.AssignmentRequest{
			ID:                   request.GetId(),
			Service:              request.GetService(),
			Tokens:               int(request.GetTokens()),       //nolint:gosec // millions at most
			Memory:               int(request.GetMemoryTokens()), //nolint:gosec // millions at most
			InterTokenObjective:  time.Duration(request.GetGapMs()) * time.Millisecond,
			Objective:            time.Duration(request.GetObjectiveMs()) * time.Millisecond,
			TimeToObjective:      time.Duration(request.GetDueMs()) * time.Millisecond,
			TimeToCallerDeadline: time.Duration(request.GetStaysMs()) * time.Millisecond,
			DataCentre:           request.GetDataCentre(),
			Tried:                request.GetTried(),
			Cancelled:            request.GetWithdrawn(),
			Retry:                request.GetAgain(),
			AllowedDataCentres:   request.GetKeptTo(),
			Counted:              request.GetCounted(),
			Contained:            decodeFingerprints(request.GetContained()),
			Organisation:         fairshare.Organisation(request.GetOrganisation()),
			Priority:             int(request.GetPriority()),
		})
	}
	return list
}

func encodeAssignmentResponse(response dispatch.AssignmentResponse) *wire.Verdict {
	shares := make([]uint64, 0, len(response.MemoryShares))
	for _, share := range response.MemoryShares {
		shares = append(shares, uint64(share)) //nolint:gosec // not negative
	}
	return &wire.Verdict{
		Id:           response.ID,
		Decision:     wire.Decision(response.Decision), //nolint:gosec // few values
		Servers:      response.Servers,
		PartUs:       uint64(response.PrefillPerServer.Microseconds()), //nolint:gosec // not negative
		Shares:       shares,
		PredictedMs:  milliseconds(response.PredictedTTFT),
		Tight:        response.Packable,
		Limited:      response.RateLimited,
		ReturnMs:     milliseconds(response.RetryAfter),
		SharePercent: uint32(percent * response.ShareRatio),
		Reason:       response.Reason,
	}
}

func decodeAssignmentResponses(verdicts []*wire.Verdict) []dispatch.AssignmentResponse {
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
			ShareRatio:       float64(verdict.GetSharePercent()) / percent,
			Reason:           verdict.GetReason(),
		})
	}
	return list
}

// milliseconds converts a duration for the wire. A negative one becomes zero.
func milliseconds(duration time.Duration) uint32 {
	return uint32(max(0, duration.Milliseconds())) //nolint:gosec // minutes at most
}
