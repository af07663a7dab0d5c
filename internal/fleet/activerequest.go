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
	rateWork = 4096
	// rateWeight is the weight of a sample in the moving average.
	rateGain = 0.1
)

// ActiveRequest is a request in flight to the servers of a decision. Its functions are
// safe for concurrent use.
type Sending struct {
	// FinishPrefill records that the prompt is prefilled. Calls after the first have no
	// effect.
	Computed func()
	// Finish records that the request has ended. Calls after the first have no effect.
	Over func()
}

// UntrackedRequest returns an ActiveRequest that records nothing, for a stream that
// another entry process started.
func NoSending() Sending {
	return Sending{Computed: func() {}, Over: func() {}}
}

// RecordDispatch records that a request is sent to the servers of a decision. The
// caller must call Finish when the request has ended.
func (fleet *Fleet) Sent(decision routing.Decision, request routing.Request) Sending {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	groupSize := max(1, len(decision.Servers))
	share := pending{short: request.Tokens / groupSize}
	if decision.Long {
		share = pending{long: request.Tokens / groupSize}
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
		server.sent = append(server.sent, sent{at: now, memory: request.Need() / groupSize})
		server.ejection.StartProbe(now, fleet.settings.ejection())
	}
	removePending := sync.OnceFunc(func() { fleet.computed(decision, share) })
	finishPrefill := sync.OnceFunc(func() {
		fleet.observe(decision, request, now)
		removePending()
	})
	finish := sync.OnceFunc(func() {
		removePending()
		fleet.over(decision)
	})
	return Sending{Computed: finishPrefill, Over: finish}
}

// updatePrefillRate updates the server's prefill rate by the time that a short prompt
// took. Long prompts, and those with few tokens to prefill, are ignored.
func (fleet *Fleet) observe(decision routing.Decision, request routing.Request, sentAt time.Time) {
	chosen := decision.Servers[0]
	tokens := chosen.QueuedShort + request.Tokens
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	elapsed := fleet.now().Sub(sentAt).Seconds()
	server := fleet.servers[chosen.ID]
	if server == nil || decision.Long || tokens < rateWork || elapsed <= 0 {
		return
	}
	sample := float64(tokens) / elapsed
	if server.rate == 0 {
		server.rate = sample
	}
	server.rate += rateGain * (sample - server.rate)
}

// finishPrefill removes the request's prompt tokens from those pending at its servers.
func (fleet *Fleet) computed(decision routing.Decision, share pending) {
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
func (fleet *Fleet) over(decision routing.Decision) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, chosen := range decision.Servers {
		if server := fleet.servers[chosen.ID]; server != nil {
			server.outstanding = max(0, server.outstanding-1)
		}
	}
}
