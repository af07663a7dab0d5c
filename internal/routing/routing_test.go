package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/routing"
)

const (
	model  = "clerk"
	memory = 100_000
)

// engines returns engines that differ only in ID and LongRank.
func engines(count int) []routing.Server {
	servers := make([]routing.Server, 0, count)
	for i := range count {
		servers = append(servers, routing.Server{
			ID: fmt.Sprintf("e%02d", i), Models: []string{model}, Memory: memory, Free: memory, LongRank: i,
		})
	}
	return servers
}

func short() routing.Request {
	return routing.Request{Model: model, Tokens: 1000, MaxTokens: 16, TimeLeft: time.Minute}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(1, 1))
}

func policies() map[string]routing.Policy {
	return map[string]routing.Policy{
		"round robin":       routing.NewRoundRobin(),
		"least outstanding": routing.LeastOutstanding{},
		"length aware":      routing.NewLengthAware(routing.DefaultLengthAwareSettings()),
	}
}

// A policy must not choose a server that drains, lacks the model, is ejected or has
// already failed the request, while another is available.
func TestIneligibleServersAreNotChosen(t *testing.T) {
	cases := map[string]struct {
		change  func(server *routing.Server)
		request func(request *routing.Request)
	}{
		"draining":      {change: func(server *routing.Server) { server.Draining = true }},
		"another model": {change: func(server *routing.Server) { server.Models = []string{"audit"} }},
		"ejected":       {change: func(server *routing.Server) { server.Ejected = true }},
		"tried before":  {request: func(request *routing.Request) { request.Tried = []string{"e00"} }},
	}
	for name, c := range cases {
		for policyName, policy := range policies() {
			t.Run(name+"/"+policyName, func(t *testing.T) {
				servers := engines(2)
				if c.change != nil {
					c.change(&servers[0])
				}
				request := short()
				if c.request != nil {
					c.request(&request)
				}
				random := newRandom()
				for range 100 {
					decision := policy.Decide(routing.NewSnapshot(servers), request, random)
					assert.Equal(t, decision.Servers[0].ID, "e01")
				}
			})
		}
	}
}

// Ejection must not make a request fail when all servers are ejected.
func TestEjectedServerIsChosenWithoutAlternative(t *testing.T) {
	servers := engines(1)
	servers[0].Ejected = true
	for name, policy := range policies() {
		t.Run(name, func(t *testing.T) {
			decision := policy.Decide(routing.NewSnapshot(servers), short(), newRandom())
			assert.Equal(t, len(decision.Servers), 1)
		})
	}
}

// Short prompts must not queue behind long ones, and requests that cannot be served in
// time or from the available memory must be refused.
func TestLengthAware(t *testing.T) {
	cases := map[string]struct {
		change  func(servers []routing.Server)
		request routing.Request
		// allowed has the IDs of the servers that may be chosen.
		allowed []string
		refusal routing.Refusal
	}{
		"a short prompt avoids engines with long prompts and those assigned to them next": {
			change:  func(servers []routing.Server) { servers[5].QueuedLong = 1000 },
			request: short(),
			allowed: []string{"e03", "e04", "e06", "e07"},
		},
		"a short prompt uses an engine with long prompts when the others have longer queues": {
			change: func(servers []routing.Server) {
				for i := range servers {
					servers[i].QueuedShort = 50_000
				}
				servers[0].QueuedShort, servers[0].QueuedLong = 0, 1000
			},
			request: short(),
			allowed: []string{"e00"},
		},
		"a long prompt uses the engine with the lowest rank": {
			request: routing.Request{Model: model, Tokens: 50_000, MaxTokens: 100, TimeLeft: time.Minute},
			allowed: []string{"e00"},
		},
		"long prompts use more engines as their backlog grows": {
			change:  func(servers []routing.Server) { servers[0].QueuedLong = 150_000 },
			request: routing.Request{Model: model, Tokens: 50_000, MaxTokens: 100, TimeLeft: time.Minute},
			allowed: []string{"e01"},
		},
		"a prompt longer than an engine's memory uses a group sorted by ID": {
			change:  func(servers []routing.Server) { servers[0].Free = 0 },
			request: routing.Request{Model: model, Tokens: 250_000, MaxTokens: 100, TimeLeft: time.Minute},
			allowed: []string{"e01", "e02", "e03"},
		},
		"a prompt longer than the memory of all engines is refused": {
			request: routing.Request{Model: model, Tokens: 1_000_000, MaxTokens: 100, TimeLeft: time.Minute},
			refusal: routing.RefusalTooLong,
		},
		"a request whose deadline cannot be met is refused": {
			change: func(servers []routing.Server) {
				for i := range servers {
					servers[i].QueuedShort = 400_000
				}
			},
			request: routing.Request{Model: model, Tokens: 1000, MaxTokens: 16, TimeLeft: time.Second},
			refusal: routing.RefusalDeadline,
		},
		"a request is refused when the measured prefill rate is too low for its deadline": {
			change: func(servers []routing.Server) {
				for i := range servers {
					servers[i].QueuedShort, servers[i].PrefillRate = 10_000, 5_000
				}
			},
			request: routing.Request{Model: model, Tokens: 1000, MaxTokens: 16, TimeLeft: 3 * time.Second},
			refusal: routing.RefusalDeadline,
		},
		"an idle server is tried again however slow it was": {
			change: func(servers []routing.Server) {
				for i := range servers {
					servers[i].PrefillRate = 100
				}
			},
			request: routing.Request{Model: model, Tokens: 1000, MaxTokens: 16, TimeLeft: 3 * time.Second},
			allowed: []string{"e03", "e04", "e05", "e06", "e07"},
		},
		"a model that no server has is refused": {
			request: routing.Request{Model: "other", Tokens: 10, MaxTokens: 1, TimeLeft: time.Second},
			refusal: routing.RefusalNoServer,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			servers := engines(8)
			if c.change != nil {
				c.change(servers)
			}
			settings := routing.DefaultLengthAwareSettings()
			settings.Choices = 64 // enough for the best server to be in every sample
			policy := routing.NewLengthAware(settings)
			random := newRandom()
			for range 50 {
				decision := policy.Decide(routing.NewSnapshot(servers), c.request, random)
				assert.Equal(t, decision.Refusal, c.refusal, decision.Reason)
				assertChosen(t, decision.Servers, c.allowed)
			}
		})
	}
}

// assertChosen checks that the chosen server is allowed, or that the chosen group has
// the allowed servers in their order.
func assertChosen(t *testing.T, chosen []routing.Server, allowed []string) {
	t.Helper()
	for i, server := range chosen {
		if len(chosen) > 1 {
			assert.Equal(t, server.ID, allowed[i])
			continue
		}
		assert.Assert(t, slices.Contains(allowed, server.ID), "chose %s", server.ID)
	}
}

// TestDecisionInvariants checks, for random snapshots and requests, the invariants of
// every policy's decisions: servers or a refusal, none draining, groups sorted by ID,
// and enough memory.
func TestDecisionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := engines(rapid.IntRange(0, 12).Draw(t, "servers"))
		for i := range servers {
			servers[i].Draining = rapid.Bool().Draw(t, "leaving")
			servers[i].Ejected = rapid.Bool().Draw(t, "ejected")
			servers[i].Free = rapid.IntRange(-memory, memory).Draw(t, "free")
			servers[i].QueuedLong = rapid.IntRange(0, 1_000_000).Draw(t, "long")
			servers[i].QueuedShort = rapid.IntRange(0, 10_000).Draw(t, "short")
		}
		request := routing.Request{
			Model:     model,
			Tokens:    rapid.IntRange(1, 1_000_000).Draw(t, "tokens"),
			MaxTokens: rapid.IntRange(0, 1000).Draw(t, "max"),
			TimeLeft:  time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second,
		}
		for name, policy := range policies() {
			decision := policy.Decide(routing.NewSnapshot(servers), request, newRandom())
			if problem := problemOf(decision, request); problem != "" {
				t.Fatalf("%s: %s", name, problem)
			}
		}
	})
}

// problemOf describes the first invariant that a decision violates. It returns an
// empty string if there is none.
func problemOf(decision routing.Decision, request routing.Request) string {
	if (len(decision.Servers) == 0) != (decision.Refusal != routing.RefusalNone) {
		return fmt.Sprintf("%d servers and refusal %q", len(decision.Servers), decision.Refusal)
	}
	totalMemory := 0
	for i, chosen := range decision.Servers {
		totalMemory += chosen.Memory
		if chosen.Draining {
			return chosen.ID + " is draining"
		}
		if i > 0 && decision.Servers[i-1].ID >= chosen.ID {
			return "group is not sorted by ID"
		}
	}
	if len(decision.Servers) > 0 && totalMemory < request.RequiredMemory() {
		return fmt.Sprintf("%d tokens of memory for %d", totalMemory, request.RequiredMemory())
	}
	return ""
}

func BenchmarkLengthAware(b *testing.B) {
	for _, size := range []int{20, 600} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			snapshot := routing.NewSnapshot(engines(size))
			policy := routing.NewLengthAware(routing.DefaultLengthAwareSettings())
			random := newRandom()
			b.ReportAllocs()
			for b.Loop() {
				policy.Decide(snapshot, short(), random)
			}
		})
	}
}
