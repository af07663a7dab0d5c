package dispatch

import "time"

// Ask is what a VM tells the one that decides of a request that wants servers.
type Ask struct {
	// ID is unique to the VM.
	ID      uint64
	Service string
	// Tokens is the length of the prompt, and Memory the KV memory that it takes with
	// its answer, in tokens.
	Tokens int
	Memory int
	// Gap is the longest pause between events that is in time.
	Gap       time.Duration
	Objective time.Duration
	// Due is when the first event is due, from now. It is below zero when that time is
	// over.
	Due time.Duration
	// Stays is how long the caller still waits for it.
	Stays      time.Duration
	DataCentre string
	// Tried has the servers that failed the request.
	Tried []string
	// KeptTo has the data centres whose servers may get it, or none where any may.
	KeptTo []string
	// Withdrawn says that the request wants no servers any more.
	Withdrawn bool
	// Again says that servers may have got the request before, and that it needs a grant to go to others.
	Again bool
	// Counted says that an ask for the same request was made before, so that it earns no retry again.
	Counted bool
}

// Decision is what became of an ask.
type Decision int

// Decisions.
const (
	// DecisionHeld: the request waits.
	DecisionHeld Decision = iota
	// DecisionPlaced: it has servers.
	DecisionPlaced
	// DecisionUnknown: who was asked does not know the service.
	DecisionUnknown
	// DecisionRefused: no place is expected before its caller leaves.
	DecisionRefused
)

// Answer is the answer to an ask.
type Answer struct {
	// ID is that of the ask.
	ID       uint64
	Decision Decision
	// Servers has the IDs of the servers, the one that writes the answer first.
	Servers []string
	// Part is the reading that each of them does.
	Part time.Duration
	// Shares is the memory that is set aside at each of them, in tokens, or nil.
	Shares []int
	// Predicted is when the first event is expected, from now.
	Predicted time.Duration
	Tight     bool
	// Limited says that the first server named a limit, so that its answer is to be told of if it has none.
	Limited bool
	Reason  string
	// Return is in how long the caller of a refused request may return, or zero where nothing is known of that.
	Return time.Duration
}

// Final reports whether nothing else follows for the ask.
func (answer Answer) Final() bool {
	return answer.Decision == DecisionPlaced || answer.Decision == DecisionRefused
}

// Placed returns the answer that tells a verdict.
func (verdict Verdict) Placed() Answer {
	plan := verdict.Plan
	return Answer{
		ID: verdict.ID, Decision: DecisionPlaced, Servers: plan.IDs(), Part: plan.Part, Shares: plan.Shares,
		Predicted: plan.Predicted, Tight: plan.Tight, Limited: plan.Server.Limited, Reason: string(plan.Reason),
	}
}
