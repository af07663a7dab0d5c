// Package placement decides which backend servers get a request. A policy is a
// pure function of what is known of the servers: it does no I/O and reads no
// clock.
package placement

import "time"

// Server is what is known of one backend server.
type Server struct {
	ID         string
	Address    string
	DataCentre string
	// Slots is how many requests it works on at once.
	Slots int
	// Running is how many requests of all VMs are there.
	Running int
	// Tight is how many of them are tight, TightWeight what they are worth
	// together, and TightGap the shortest pause that is in time among them, or zero when
	// there is none.
	Tight       int
	TightWeight float64
	TightGap    time.Duration
	// LooseWeight is what the others are worth together, and LooseGap the
	// shortest pause that is in time among them, or zero when there is none.
	LooseWeight float64
	LooseGap    time.Duration
	// Backlog is the reading of prompts that is not done yet.
	Backlog time.Duration
	// ReadsLong says that a prompt of a request without tight pauses is read
	// there, or a part of one.
	ReadsLong bool
	// MinGap is the shortest pause that is in time among the requests there, or
	// zero when there is none.
	MinGap time.Duration
	// MemoryFree is the KV memory that no request there will need, in tokens.
	// It may be negative.
	MemoryFree int
	// Suspect says that recent answers were failures.
	Suspect bool
	// Limited says that it named how many requests a second it takes, or did a moment ago.
	Limited bool
	// Connected says that this VM keeps a connection to it, so that none has to be
	// opened.
	Connected bool
}

// tokensPerWeight scales what a request is worth by its length. No caller or route states
// what a request is worth, and it need not be near.
const tokensPerWeight = 10_000

// Weight is what a request is worth beside others, near enough to weigh harm
// against gain.
func Weight(tokens int) float64 {
	return 1 + float64(tokens)/tokensPerWeight
}

// Plan is the servers that get a request.
type Plan struct {
	Server Server
	// Helpers read parts of the prompt.
	Helpers []Server
	// Part is the reading that each server does.
	Part time.Duration
	// Shares is the memory that is set aside at each server, in tokens, the
	// first one's first. It is zero for those that only read, and nil when the
	// first server's own memory is enough.
	Shares []int
	// Predicted is when the first event is expected, from now.
	Predicted time.Duration
	// Tight says that the request counts as one with tight pauses.
	Tight bool
	// Reason names the rule that decided.
	Reason Reason
}

// Named returns the ID of the helper that a server named by its address, or else
// that of the server itself.
func (plan Plan) Named(address string) string {
	for _, helper := range plan.Helpers {
		if helper.Address == address {
			return helper.ID
		}
	}
	return plan.Server.ID
}

// IDs returns the servers of the plan by their IDs, the one that writes the answer first.
func (plan Plan) IDs() []string {
	ids := make([]string, 0, 1+len(plan.Helpers))
	ids = append(ids, plan.Server.ID)
	for _, helper := range plan.Helpers {
		ids = append(ids, helper.ID)
	}
	return ids
}

// Reason names the rule that decided.
type Reason string

// Policy chooses servers. It reports false when none fits now.
type Policy interface {
	Place(servers []Server, request Request) (Plan, bool)
}
