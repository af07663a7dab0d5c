package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwinch/mastwinch/internal/catalog"
)

// placeTight chooses among the servers that are kept for tight requests, the
// one with the least to do; then, when all pauses would grow too long there, the
// first other one that bears it; then among all. It is held while only servers that
// read for long have a slot.
func (lengthaware LengthAware) placeTight(servers []Server, request Request) (Plan, bool) {
	work := request.Engine.ReadTime(request.Tokens)
	reason := ReasonPacked
	kept := lengthaware.keep(servers, request)
	best, fits, ok := lengthaware.leastBusy(servers[:kept], request, work)
	if !fits {
		best, fits = lengthaware.firstFit(servers[kept:], request, work)
		ok = fits
	}
	if !fits {
		reason = ReasonSoonest
		best, _, ok = lengthaware.leastBusy(servers, request, work)
	}
	plan := Plan{
		Server: best, Part: work, Tight: true, Reason: reason,
		Predicted: best.Backlog + work + request.Engine.PassTime(0, 0),
	}
	// A slot elsewhere is free sooner than a server that reads for long.
	held := !fits && plan.Predicted > max(request.Left, lengthaware.settings.TightHold)
	return plan, ok && !held
}

// leastBusy returns one of the servers whose passes are shortest among those where
// the request keeps all pauses in time, or else one with the least to read. It
// tells whether all pauses stay in time, and whether there is a server at all. Of
// servers that are nearly alike any is taken, since other VMs choose at the same
// moment.
func (lengthaware LengthAware) leastBusy(
	servers []Server, request Request, work time.Duration,
) (best Server, bestFits, found bool) {
	able := make([]*Server, 0, len(servers))
	for i := range servers {
		server := &servers[i]
		if !server.writes(request) {
			continue
		}
		fits := lengthaware.keepsPauses(server, request, work)
		if fits && !bestFits {
			bestFits = true
			able = able[:0]
		}
		if fits == bestFits {
			able = append(able, server)
		}
	}
	if len(able) == 0 {
		return Server{}, false, false
	}
	near := passes(request.Engine, lengthaware.settings.NearPasses)
	least := slices.MinFunc(able, compareBusy(near))
	able = slices.DeleteFunc(able, func(server *Server) bool { return !lengthaware.alike(server, least, near) })
	return *anyOf(preferConnected(able), request.Seed), bestFits, true
}

// firstFit returns the first of the servers, in their order, where the request keeps all pauses
// in time and nothing long is read. So short prompts beyond the kept servers stay together:
// where each goes to the least busy of all, they are at most servers, and no long prompt finds
// enough others.
func (lengthaware LengthAware) firstFit(servers []Server, request Request, work time.Duration) (best Server, found bool) {
	for i := range servers {
		server := &servers[i]
		if server.writes(request) && !server.ReadsLong && lengthaware.keepsPauses(server, request, work) {
			return *server, true
		}
	}
	return Server{}, false
}

// preferConnected returns the servers to which connections are kept, or all when
// there are none.
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

// anyOf returns one of the servers by a seed: with the same seed mostly the same one,
// whatever else is among them.
func anyOf(servers []*Server, seed uint64) *Server {
	return slices.MaxFunc(servers, func(a, b *Server) int {
		return cmp.Compare(weight(seed, a), weight(seed, b))
	})
}

// weight draws a number for a server by a seed.
func weight(seed uint64, server *Server) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(seed, 16) + server.ID) //nolint:mnd // hexadecimal
}

// alike reports whether a server is as good for a tight request as the least busy.
func (lengthaware LengthAware) alike(server, least *Server, near time.Duration) bool {
	return server.Backlog/near == least.Backlog/near && server.Running <= least.Running+lengthaware.settings.NearRunning
}

// compareBusy compares servers by what they read and, where that is near, by how
// many requests they have.
func compareBusy(near time.Duration) func(a, b *Server) int {
	return func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.Backlog/near, b.Backlog/near), cmp.Compare(a.Running, b.Running))
	}
}

// keep returns how many of the servers, in their order, are kept for tight
// requests: as many as those in progress fill to PackSlots, and KeepSpare more.
// Where reading of long prompts waits or is in progress, servers are left for it,
// down to as many as tight requests fill to PackDense.
func (lengthaware LengthAware) keep(servers []Server, request Request) int {
	settings := lengthaware.settings
	roomy := filled(servers, settings.PackSlots) + settings.KeepSpare
	dense := filled(servers, settings.PackDense)
	wanted := int(longWork(servers, request) / settings.LongTime)
	count := max(dense, min(roomy, len(servers)-wanted))
	return min(count, max(1, len(servers)-settings.LeaveLong), len(servers))
}

// filled returns how many servers the tight requests in progress fill to a part of
// the slots.
func filled(servers []Server, part float64) int {
	tight, slots := 0, 0
	for i := range servers {
		tight += servers[i].Tight
		slots = max(slots, servers[i].Slots)
	}
	each := max(1, int(part*float64(slots)))
	return (tight + each - 1) / each
}

// longWork is the reading of long prompts that wait or are being read.
func longWork(servers []Server, request Request) time.Duration {
	work := request.Waiting
	for i := range servers {
		if servers[i].ReadsLong {
			work += servers[i].Backlog
		}
	}
	return work
}

// passes is so many passes of an engine that reads nothing and writes for one.
func passes(engine *catalog.Engine, count float64) time.Duration {
	return max(time.Millisecond, time.Duration(count*float64(engine.PassTime(1, 0))))
}

// pass is how long the next pass of a server takes with more to read.
func (lengthaware LengthAware) pass(server *Server, request Request, part time.Duration) time.Duration {
	engine := request.Engine
	context := max(0, engine.MemoryTokens-server.MemoryFree)
	return engine.PassTime(server.Running, context) + lengthaware.settings.PassSpare + server.Backlog + part
}

// keepsPauses reports whether a part of a request that is to write there keeps all pauses at
// a server in time, and its own too.
func (lengthaware LengthAware) keepsPauses(server *Server, request Request, part time.Duration) bool {
	pass := lengthaware.pass(server, request, part)
	return pass < request.Gap && (server.MinGap == 0 || pass < server.MinGap)
}
