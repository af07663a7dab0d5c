// Package placement chooses the backend servers for a request. A policy is a pure function of the
// known state of the servers: it does no I/O and reads no clock.
package placement

import "time"

// Server is the known state of one backend server.
type Server struct {
	ID         string
	Address    string
	DataCentre string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Running is the number of requests of all VMs that are in flight there.
	Running int
	// Packable is the number of running requests that are packable (see Request.Packable),
	// PackableWeight their total weight, and PackableInterTokenObjective the shortest inter-token
	// objective among them, or zero when there is none.
	Packable                    int
	PackableWeight              float64
	PackableInterTokenObjective time.Duration
	// OtherWeight is the total weight of the other running requests, and OtherInterTokenObjective
	// the shortest inter-token objective among them, or zero when there is none.
	OtherWeight              float64
	OtherInterTokenObjective time.Duration
	// Backlog is the prefill time of the prompts, or parts of them, that are in flight there and
	// not prefilled yet.
	Backlog time.Duration
	// PrefillsLong reports that the server is prefilling a prompt, or a part of one, of a request
	// that is not packable.
	PrefillsLong bool
	// MinInterTokenObjective is the shortest inter-token objective among all running requests, or
	// zero when there is none.
	MinInterTokenObjective time.Duration
	// MemoryFree is the KV memory, in tokens, that no running request will need. It may be
	// negative.
	MemoryFree int
	// Suspect reports that recent responses of the server were failures.
	Suspect bool
	// RateLimited reports that the server advertises a request rate limit, or did until a moment
	// ago.
	RateLimited bool
	// Connected reports that this VM has an open connection to the server, so that no new one is
	// needed.
	Connected bool
}

// tokensPerWeight is the number of tokens that adds one to a request's weight. No caller or route
// states the value of a request, and a rough estimate is enough.
const tokensPerWeight = 10_000

// Weight estimates the value of a request relative to others from its length in tokens. It is exact
// enough to compare costs with gains.
func Weight(tokens int) float64 {
	return 1 + float64(tokens)/tokensPerWeight
}

// Plan is a policy's decision for one request.
type Plan struct {
	// Server gets the request and decodes the answer.
	Server Server
	// Helpers prefill parts of the prompt.
	Helpers []Server
	// PrefillPerServer is the prefill time at each of the servers.
	PrefillPerServer time.Duration
	// MemoryShares is the KV memory to reserve at each server, in tokens, starting with Server. It
	// is zero for servers that only prefill. It is nil when the free memory of Server is enough.
	MemoryShares []int
	// PredictedTTFT is the predicted time to first token, from now.
	PredictedTTFT time.Duration
	// Packable reports that the request is packable (see Request.Packable).
	Packable bool
	// Reason names the rule that made the decision.
	Reason Reason
}

// ServerIDAt returns the ID of the helper with the given address, or the ID of Server if no helper
// has it.
func (plan Plan) ServerIDAt(address string) string {
	for _, helper := range plan.Helpers {
		if helper.Address == address {
			return helper.ID
		}
	}
	return plan.Server.ID
}

// IDs returns the IDs of the servers of the plan. The one that decodes the answer comes first.
func (plan Plan) IDs() []string {
	ids := make([]string, 0, 1+len(plan.Helpers))
	ids = append(ids, plan.Server.ID)
	for _, helper := range plan.Helpers {
		ids = append(ids, helper.ID)
	}
	return ids
}

// Reason names the rule that made a decision. Its text is recorded and reported to operators.
type Reason string

// Policy chooses servers for a request. Place reports false when no server fits now.
type Policy interface {
	Place(servers []Server, request Request) (Plan, bool)
}
