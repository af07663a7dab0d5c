package placement

// ReasonRoundRobin is the reason of RoundRobin.
const ReasonRoundRobin Reason = "round robin"

// RoundRobin chooses any server by the request's seed, whatever its load. It is a baseline for
// comparison.
type RoundRobin struct{}

var _ Policy = RoundRobin{}

// Place implements Policy.
func (RoundRobin) Place(servers []Server, request Request) (Plan, bool) {
	if len(servers) == 0 {
		return Plan{}, false
	}
	chosen := servers[request.Seed%uint64(len(servers))]
	return Plan{Server: chosen, Reason: ReasonRoundRobin}, true
}
