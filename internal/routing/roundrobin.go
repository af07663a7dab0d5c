package routing

import (
	"math/rand/v2"
	"sync/atomic"
)

var _ Policy = (*RoundRobin)(nil)

// RoundRobin chooses servers in turn, regardless of load and prompt length. It is a
// baseline for comparison.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a policy with its own counter.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// Decide implements Policy.
func (roundrobin *RoundRobin) Decide(snapshot Snapshot, request Request, _ *rand.Rand) Decision {
	servers := eligibleServers(snapshot, &request)
	if len(servers) == 0 {
		return refuse(RefusalNoServer, "no server has the model")
	}
	if !fitsSingleServer(servers, request) {
		return chooseGroup(servers, request)
	}
	next := roundrobin.next.Add(1)
	return choose(servers[next%uint64(len(servers))], "round robin")
}
