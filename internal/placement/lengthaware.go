package placement

import (
	"cmp"
	"slices"
	"time"
)

// Reasons of LengthAware. Their texts are recorded with each placement.
const (
	ReasonPacked       Reason = "packed beside short ones"
	ReasonSoonest      Reason = "soonest"
	ReasonIsolated     Reason = "apart from tight pauses"
	ReasonSpreadMemory Reason = "memory of several servers"
)

// MaxParts is the maximum number of servers that prefill one prompt: the one that decodes the
// answer, and 16 helpers.
const MaxParts = 17

// maxMemoryServers is the maximum number of servers that prefill one prompt with memory reserved at
// several of them. The decode server is then listed to the engine with its helpers, and an engine
// accepts at most 16 servers in the list.
const maxMemoryServers = 16

// spareMemoryTokens is the KV memory kept free at a server where memory is reserved, since its
// known free memory is not exact.
const spareMemoryTokens = 4000

// LengthAware places long prompts where the value of serving them in time most exceeds the cost to
// other streams, whose inter-token latency grows during the prefill. It compares all numbers of
// servers over which the prefill can be split. Packable requests fill servers in one order, the
// same at all VMs, so that the servers behind them stay free for long prompts; the boundary moves
// with demand.
type LengthAware struct {
	settings Settings
}

var _ Policy = LengthAware{}

// New returns a length-aware policy with the given settings.
func New(settings Settings) LengthAware {
	return LengthAware{settings: settings}
}

// Place implements Policy.
func (lengthaware LengthAware) Place(servers []Server, request Request) (Plan, bool) {
	if request.Engine == nil {
		return LeastRequests{}.Place(servers, request)
	}
	healthy := withoutSuspects(servers)
	if request.Packable() {
		return lengthaware.placePackable(healthy, request)
	}
	return lengthaware.placeLong(healthy, request)
}

// withoutSuspects leaves out servers whose recent responses were failures, unless fewer than half
// of the servers would remain.
func withoutSuspects(servers []Server) []Server {
	healthy := make([]Server, 0, len(servers))
	for _, server := range servers {
		if !server.Suspect {
			healthy = append(healthy, server)
		}
	}
	if 2*len(healthy) < len(servers) {
		return servers
	}
	return healthy
}

// placeLong splits the prefill of a prompt over the servers with the highest gain: the value of
// serving the request in time, less the cost to other streams. An engine shares its time among all
// prompts that it prefills, so a prompt sent early delays the others. So a prompt stays queued
// while no worthwhile plan exists and its caller waits long enough.
func (lengthaware LengthAware) placeLong(servers []Server, request Request) (Plan, bool) {
	available := lengthaware.withinBacklogLimit(servers)
	unpacked := lengthaware.withinBacklogLimit(servers[lengthaware.packedCount(servers, request):])
	for _, eligible := range [][]Server{unpacked, available} {
		plan, gain, ok := lengthaware.bestLongPlan(eligible, request)
		if ok && lengthaware.worthwhile(gain, request) {
			return plan, true
		}
	}
	maxDelay := time.Duration(lengthaware.settings.MaxLateObjectives * float64(request.Objective))
	if request.TimeToObjective >= -maxDelay && request.TimeToCallerDeadline >= lengthaware.settings.MinTimeToCallerDeadline {
		return Plan{}, false
	}
	// A request that has been queued long enough may go to any server, but never where the cost
	// exceeds its value. A first event after the caller's deadline has no value.
	plan, gain, ok := lengthaware.bestLongPlan(servers, request)
	return plan, ok && gain > 0
}

// worthwhile reports whether to accept a plan with the given gain now. A request that can still
// meet its objective waits for a better plan; a late one accepts any plan with a positive gain.
func (lengthaware LengthAware) worthwhile(gain float64, request Request) bool {
	if request.TimeToObjective < 0 {
		return gain > 0
	}
	return gain > lengthaware.settings.MinGainFraction*Weight(request.Memory)
}

// bestLongPlan returns the plan with the highest gain over the given servers, its gain, and whether
// there is one.
func (lengthaware LengthAware) bestLongPlan(servers []Server, request Request) (Plan, float64, bool) {
	prefill := request.Engine.PrefillTime(request.Tokens)
	maxParts := min(lengthaware.settings.MaxParts, len(servers), max(1, int(prefill/decodePasses(request.Engine, lengthaware.settings.MinPartPasses))))
	best, bestGain, found := Plan{}, 0.0, false
	buffer := make([]candidate, 0, len(servers))
	for parts := 1; parts <= maxParts; parts++ {
		part := prefill / time.Duration(parts)
		plan, cost, ok := planForParts(lengthaware.costs(buffer, servers, request, part), request, part, parts)
		if !ok {
			continue
		}
		gain := lengthaware.gain(plan, request) - cost
		if !found || gain > bestGain {
			best, bestGain, found = plan, gain, true
		}
	}
	return best, bestGain, found
}

// withinBacklogLimit returns the servers whose prefill backlog allows another part of a long
// prompt.
func (lengthaware LengthAware) withinBacklogLimit(servers []Server) []Server {
	available := make([]Server, 0, len(servers))
	for _, server := range servers {
		limit := lengthaware.settings.MaxBacklog
		if server.PrefillsLong {
			limit = lengthaware.settings.MaxLongBacklog
		}
		if server.Backlog <= limit {
			available = append(available, server)
		}
	}
	return available
}

// gain returns the value of a plan for the request itself. The less of the remaining time the plan
// takes, the lower is the risk of missing the objective.
func (lengthaware LengthAware) gain(plan Plan, request Request) float64 {
	value := Weight(request.Memory)
	switch {
	case plan.PredictedTTFT > request.TimeToCallerDeadline:
		return 0
	case plan.PredictedTTFT > time.Duration(lengthaware.settings.InTimeFraction*float64(request.TimeToObjective)):
		return lengthaware.settings.LateValueFraction * value
	}
	risk := float64(plan.PredictedTTFT) / float64(request.TimeToObjective)
	return value * (1 - lengthaware.settings.RiskFraction*risk)
}

// planForParts returns the plan over the servers with the lowest cost, and its total cost. One of
// the servers decodes the answer. It reports false when the servers are too few or have too little
// memory.
func planForParts(costs []candidate, request Request, part time.Duration, parts int) (Plan, float64, bool) {
	if len(costs) < parts {
		return Plan{}, 0, false
	}
	prefillServers := lowestCost(costs, parts)
	decodeServer, fitsOne := chooseDecodeServer(costs, prefillServers, request)
	if fitsOne {
		prefillServers = withDecodeServer(prefillServers, decodeServer)
	}
	cost := 0.0
	chosen := make([]Server, 0, parts)
	longestBacklog := time.Duration(0)
	for _, server := range prefillServers {
		cost += server.cost
		chosen = append(chosen, *server.Server)
		longestBacklog = max(longestBacklog, server.Backlog)
	}
	plan := Plan{Reason: ReasonIsolated, PrefillPerServer: part, PredictedTTFT: longestBacklog + part + request.Engine.PassTime(0, 0)}
	if !fitsOne {
		slices.SortStableFunc(chosen, func(a, b Server) int { return cmp.Compare(b.MemoryFree, a.MemoryFree) })
		shares, ok := splitMemory(chosen, request)
		if !ok || parts > maxMemoryServers {
			return Plan{}, 0, false
		}
		plan.MemoryShares = shares
		plan.Reason = ReasonSpreadMemory
	}
	plan.Server = chosen[0]
	plan.Helpers = chosen[1:]
	return plan, cost, true
}

// withDecodeServer returns the same number of servers with the decode server first. It replaces the
// last one if the decode server is not among them.
func withDecodeServer(prefillServers []candidate, decodeServer candidate) []candidate {
	others := slices.DeleteFunc(slices.Clone(prefillServers), func(server candidate) bool { return server.index == decodeServer.index })
	return append([]candidate{decodeServer}, others[:len(prefillServers)-1]...)
}

// chooseDecodeServer returns the server that decodes the answer of a request whose prompt
// prefillServers prefill in parts. Among the servers with neither a higher cost nor a longer
// backlog than the last of these it takes one with the fewest packable requests, and then the one
// with the least free memory that suffices. This leaves servers with their whole memory to long
// prompts, and servers without streams, where long parts delay none. If none of those servers has
// enough memory it takes the lowest-cost server that has. It reports false when no server has
// enough memory.
func chooseDecodeServer(costs, prefillServers []candidate, request Request) (candidate, bool) {
	last := prefillServers[len(prefillServers)-1]
	var best, lowest candidate
	for _, server := range costs {
		switch {
		case !server.canDecode(request):
		case !server.worse(last):
			if best.Server == nil || betterDecodeServer(server, best) {
				best = server
			}
		case server.compare(last) > 0 && (lowest.Server == nil || server.compare(lowest) < 0):
			lowest = server
		}
	}
	if best.Server == nil {
		best = lowest
	}
	return best, best.Server != nil
}

// betterDecodeServer reports whether a is the better decode server of the two.
func betterDecodeServer(a, b candidate) bool {
	return cmp.Or(cmp.Compare(a.Packable, b.Packable), cmp.Compare(a.MemoryFree, b.MemoryFree), a.compare(b)) < 0
}
