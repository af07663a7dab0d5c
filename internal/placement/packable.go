package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwinch/mastwinch/internal/catalog"
)

// placePackable chooses the least busy of the servers that are set apart for packable requests. If
// inter-token objectives would be missed on all of these, it chooses the first other server that
// meets them, and then the least busy of all servers. The request stays queued while the only
// servers with a free slot have a long prefill backlog.
func (lengthaware LengthAware) placePackable(servers []Server, request Request) (Plan, bool) {
	prefill := request.Engine.PrefillTime(request.Tokens)
	reason := ReasonPacked
	packed := lengthaware.packedCount(servers, request)
	best, fits, ok := lengthaware.leastBusy(servers[:packed], request, prefill)
	if !fits {
		best, fits = lengthaware.firstFit(servers[packed:], request, prefill)
		ok = fits
	}
	if !fits {
		reason = ReasonSoonest
		best, _, ok = lengthaware.leastBusy(servers, request, prefill)
	}
	plan := Plan{
		Server: best, PrefillPerServer: prefill, Packable: true, Reason: reason,
		PredictedTTFT: best.Backlog + prefill + request.Engine.PassTime(0, 0),
	}
	// A slot at another server is freed sooner than this server finishes its prefill.
	queued := !fits && plan.PredictedTTFT > max(request.TimeToObjective, lengthaware.settings.MaxPackableTTFT)
	return plan, ok && !queued
}

// leastBusy returns one of the least busy servers among those where the request meets all
// inter-token objectives, or else among all servers that can decode it. It reports whether the
// objectives are met, and whether there is a server at all. It chooses by seed among servers that
// are nearly equal, since other VMs choose at the same moment.
func (lengthaware LengthAware) leastBusy(
	servers []Server, request Request, prefill time.Duration,
) (best Server, bestFits, found bool) {
	eligible := make([]*Server, 0, len(servers))
	for i := range servers {
		server := &servers[i]
		if !server.canDecode(request) {
			continue
		}
		fits := lengthaware.meetsInterTokenObjectives(server, request, prefill)
		if fits && !bestFits {
			bestFits = true
			eligible = eligible[:0]
		}
		if fits == bestFits {
			eligible = append(eligible, server)
		}
	}
	if len(eligible) == 0 {
		return Server{}, false, false
	}
	near := decodePasses(request.Engine, lengthaware.settings.NearlyEqualPasses)
	leastLoaded := slices.MinFunc(eligible, compareLoad(near))
	eligible = slices.DeleteFunc(eligible, func(server *Server) bool { return !lengthaware.nearlyEqual(server, leastLoaded, near) })
	return *chooseBySeed(preferConnected(eligible), request.Seed), bestFits, true
}

// firstFit returns the first of the servers, in their order, where the request meets all
// inter-token objectives and no long prompt is being prefilled. So the short prompts that exceed
// the packed servers share few other servers. If each went to the least busy server, they would
// spread over most servers, and long prompts would not find enough others.
func (lengthaware LengthAware) firstFit(servers []Server, request Request, prefill time.Duration) (best Server, found bool) {
	for i := range servers {
		server := &servers[i]
		if server.canDecode(request) && !server.PrefillsLong && lengthaware.meetsInterTokenObjectives(server, request, prefill) {
			return *server, true
		}
	}
	return Server{}, false
}

// preferConnected returns the servers with an open connection, or all when there are none.
func preferConnected(servers []*Server) []*Server {
	var connected []*Server
	for _, server := range servers {
		if server.Connected {
			connected = append(connected, server)
		}
	}
	if len(connected) == 0 {
		return servers
	}
	return connected
}

// chooseBySeed returns one of the servers by rendezvous hashing: the same seed mostly returns the
// same server, whatever other servers are in the list.
func chooseBySeed(servers []*Server, seed uint64) *Server {
	return slices.MaxFunc(servers, func(a, b *Server) int {
		return cmp.Compare(rendezvousWeight(seed, a), rendezvousWeight(seed, b))
	})
}

// rendezvousWeight hashes a seed and a server to a weight.
func rendezvousWeight(seed uint64, server *Server) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(seed, 16) + server.ID) //nolint:mnd // base 16
}

// nearlyEqual reports whether a server is as good for a packable request as the least busy one.
func (lengthaware LengthAware) nearlyEqual(server, leastLoaded *Server, near time.Duration) bool {
	return server.Backlog/near == leastLoaded.Backlog/near && server.Running <= leastLoaded.Running+lengthaware.settings.NearlyEqualRunning
}

// compareLoad orders servers by prefill backlog in units of near, then by running requests.
func compareLoad(near time.Duration) func(a, b *Server) int {
	return func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.Backlog/near, b.Backlog/near), cmp.Compare(a.Running, b.Running))
	}
}

// packedCount returns how many of the servers, in their order, are set apart for packable requests:
// as many as the running ones fill to PackSlots, and SparePackedServers more. While long prompts
// are queued or being prefilled, servers are left to them, down to as many as packable requests
// fill to PackDense.
func (lengthaware LengthAware) packedCount(servers []Server, request Request) int {
	settings := lengthaware.settings
	sparse := filledCount(servers, settings.PackSlots) + settings.SparePackedServers
	dense := filledCount(servers, settings.PackDense)
	wantedByLong := int(longPrefill(servers, request) / settings.LongPrefillPerServer)
	count := max(dense, min(sparse, len(servers)-wantedByLong))
	return min(count, max(1, len(servers)-settings.MinUnpackedServers), len(servers))
}

// filledCount returns how many servers the running packable requests fill, if each server is filled
// to the given fraction of its slots.
func filledCount(servers []Server, fraction float64) int {
	packable, slots := 0, 0
	for i := range servers {
		packable += servers[i].Packable
		slots = max(slots, servers[i].Slots)
	}
	perServer := max(1, int(fraction*float64(slots)))
	return (packable + perServer - 1) / perServer
}

// longPrefill returns the prefill time of the long prompts that are queued or being prefilled.
func longPrefill(servers []Server, request Request) time.Duration {
	prefill := request.QueuedPrefill
	for i := range servers {
		if servers[i].PrefillsLong {
			prefill += servers[i].Backlog
		}
	}
	return prefill
}

// decodePasses returns the time of count forward passes of an engine that decodes for one request
// and prefills nothing. It is at least 1 ms.
func decodePasses(engine *catalog.Engine, count float64) time.Duration {
	return max(time.Millisecond, time.Duration(count*float64(engine.PassTime(1, 0))))
}

// pass returns how long the next forward pass of a server takes if it prefills the given part in
// addition.
func (lengthaware LengthAware) pass(server *Server, request Request, part time.Duration) time.Duration {
	engine := request.Engine
	context := max(0, engine.MemoryTokens-server.MemoryFree)
	return engine.PassTime(server.Running, context) + lengthaware.settings.PassTimeMargin + server.Backlog + part
}

// meetsInterTokenObjectives reports whether all streams at a server meet their inter-token
// objectives while the server prefills a part of the request, and whether the request, which is to
// be decoded there, meets its own.
func (lengthaware LengthAware) meetsInterTokenObjectives(server *Server, request Request, part time.Duration) bool {
	pass := lengthaware.pass(server, request, part)
	return pass < request.InterTokenObjective && (server.MinInterTokenObjective == 0 || pass < server.MinInterTokenObjective)
}
