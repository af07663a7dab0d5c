package routing

import "math/rand/v2"

var _ Policy = LeastOutstanding{}

// LeastOutstanding chooses the server with the fewest requests in flight from this
// entry process. It is a baseline for comparison.
type LeastOutstanding struct{}

// Decide implements Policy.
func (LeastOutstanding) Decide(snapshot Snapshot, request Request, random *rand.Rand) Decision {
	servers := eligibleServers(snapshot, &request)
	if len(servers) == 0 {
		return refuse(RefusalNoServer, "no server has the model")
	}
	if !fitsSingleServer(servers, request) {
		return chooseGroup(servers, request)
	}
	start := random.IntN(len(servers))
	best := servers[start]
	for i := range servers {
		server := servers[(start+i)%len(servers)]
		if server.Outstanding < best.Outstanding {
			best = server
		}
	}
	return choose(best, "least outstanding")
}
