package fleet

import (
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/routing"
)

// Learning of rates: the least work, in tokens, of a prompt that tells of the
// rate, and the weight of one sample.
const (
	rateWork = 4096
	rateGain = 0.1
)

// Sending is a request on its way to the servers of a decision.
type Sending struct {
	// Computed notes that the prompt is computed. Only the first call counts.
	Computed func()
	// Over notes that the request is over. Only the first call counts.
	Over func()
}

// NoSending returns what notes nothing, for a stream that another entry sent.
func NoSending() Sending {
	return Sending{Computed: func() {}, Over: func() {}}
}

// Sent notes that a request goes to the servers of a decision.
func (fleet *Fleet) Sent(decision routing.Decision, request routing.Request) Sending {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	width := max(1, len(decision.Servers))
	share := pending{short: request.Tokens / width}
	if decision.Long {
		share = pending{long: request.Tokens / width}
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
		server.sent = append(server.sent, sent{at: now, memory: request.Need() / width})
		server.ejection.StartProbe(now, fleet.settings.ejection())
	}
	counted := sync.OnceFunc(func() { fleet.computed(decision, share) })
	computed := sync.OnceFunc(func() {
		fleet.observe(decision, request, now)
		counted()
	})
	over := sync.OnceFunc(func() {
		counted()
		fleet.over(decision)
	})
	return Sending{Computed: computed, Over: over}
}

// observe learns from a short prompt how quickly its server computes. Those
// that took little work tell more of the time of a step than of the rate.
func (fleet *Fleet) observe(decision routing.Decision, request routing.Request, sentAt time.Time) {
	chosen := decision.Servers[0]
	work := chosen.QueuedShort + request.Tokens
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	elapsed := fleet.now().Sub(sentAt).Seconds()
	server := fleet.servers[chosen.ID]
	if server == nil || decision.Long || work < rateWork || elapsed <= 0 {
		return
	}
	sample := float64(work) / elapsed
	if server.rate == 0 {
		server.rate = sample
	}
	server.rate += rateGain * (sample - server.rate)
}

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

func (fleet *Fleet) over(decision routing.Decision) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, chosen := range decision.Servers {
		if server := fleet.servers[chosen.ID]; server != nil {
			server.outstanding = max(0, server.outstanding-1)
		}
	}
}
