package fleet

import (
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/routing"
)

// Measurement of prefill rates.
const (
	// minRateTokens is the minimum number of prompt tokens, with those queued before, of
	// a sample. The time of fewer tokens depends more on the time of a step than on the
	// rate.
	minRateTokens = 4096
	// rateWeight is the weight of a sample in the moving average.
	rateWeight = 0.1
)

// ActiveRequest is a request in flight to the servers of a decision. Its functions are
// safe for concurrent use.
type ActiveRequest struct {
	// FinishPrefill records that the prompt is prefilled. Calls after the first have no
	// effect.
	FinishPrefill func()
	// Finish records that the request has ended. Calls after the first have no effect.
	Finish func()
}

// UntrackedRequest returns an ActiveRequest that records nothing, for a stream that
// another entry process started.
func UntrackedRequest() ActiveRequest {
	return ActiveRequest{FinishPrefill: func() {}, Finish: func() {}}
}

// RecordDispatch records that a request is sent to the servers of a decision. The
// caller must call Finish when the request has ended.
func (fleet *Fleet) RecordDispatch(decision routing.Decision, request routing.Request) ActiveRequest {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	groupSize := max(1, len(decision.Servers))
	share := pendingPrefill{short: request.Tokens / groupSize}
	if decision.Long {
		share = pendingPrefill{long: request.Tokens / groupSize}
	}
	now := fleet.now()
	for _, chosen := range decision.Servers {
		server := fleet.servers[chosen.ID]
		if server == nil {
			continue
		}
		server.outstanding++
		server.own.short += share.short
		server.own.long += share.long
		server.unreported = append(server.unreported, unreported{at: now, memory: request.RequiredMemory() / groupSize})
		server.ejection.StartProbe(now, fleet.settings.ejection())
	}
	removePending := sync.OnceFunc(func() { fleet.finishPrefill(decision, share) })
	finishPrefill := sync.OnceFunc(func() {
		fleet.updatePrefillRate(decision, request, now)
		removePending()
	})
	finish := sync.OnceFunc(func() {
		removePending()
		fleet.finish(decision)
	})
	return ActiveRequest{FinishPrefill: finishPrefill, Finish: finish}
}

// updatePrefillRate updates the server's prefill rate by the time that a short prompt
// took. Long prompts, and those with few tokens to prefill, are ignored.
func (fleet *Fleet) updatePrefillRate(decision routing.Decision, request routing.Request, sentAt time.Time) {
	chosen := decision.Servers[0]
	tokens := chosen.QueuedShort + request.Tokens
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	elapsed := fleet.now().Sub(sentAt).Seconds()
	server := fleet.servers[chosen.ID]
	if server == nil || decision.Long || tokens < minRateTokens || elapsed <= 0 {
		return
	}
	sample := float64(tokens) / elapsed
	if server.prefillRate == 0 {
		server.prefillRate = sample
	}
	server.prefillRate += rateWeight * (sample - server.prefillRate)
}

// finishPrefill removes the request's prompt tokens from those pending at its servers.
func (fleet *Fleet) finishPrefill(decision routing.Decision, share pendingPrefill) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, chosen := range decision.Servers {
		if server := fleet.servers[chosen.ID]; server != nil {
			server.own.short = max(0, server.own.short-share.short)
			server.own.long = max(0, server.own.long-share.long)
		}
	}
}

// finish removes the request from those in flight to its servers.
func (fleet *Fleet) finish(decision routing.Decision) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, chosen := range decision.Servers {
		if server := fleet.servers[chosen.ID]; server != nil {
			server.outstanding = max(0, server.outstanding-1)
		}
	}
}
