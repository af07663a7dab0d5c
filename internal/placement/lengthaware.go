package placement

import (
	"cmp"
	"slices"
	"time"
)

// Reasons of LengthAware.
const (
	ReasonPacked  Reason = "packed beside short ones"
	ReasonSoonest Reason = "soonest"
	ReasonApart   Reason = "apart from tight pauses"
	ReasonSpread  Reason = "memory of several servers"
)

// MaxParts is the most servers that may read one prompt: the one that gets the
// request, and 16 helpers.
const MaxParts = 17

// maxShares is the most servers that may read one prompt whose memory is set
// aside: the one that gets the request is named beside its helpers then.
const maxShares = 16

// spareTokens is kept free at a server whose memory is set aside, since what
// is known of it is not exact.
const spareTokens = 4000

// LengthAware weighs what a long prompt is worth in time against what the pauses
// of others lose while it is read, for each number of servers that may read it
// in parts. Tight requests fill servers in one order, the same at all VMs, so
// that the servers behind them are left for long prompts, and the border between
// both moves with demand.
type LengthAware struct {
	settings Settings
}

var _ Policy = LengthAware{}

// New returns a length-aware policy.
func New(settings Settings) LengthAware {
	return LengthAware{settings: settings}
}

// Place implements Policy.
func (lengthaware LengthAware) Place(servers []Server, request Request) (Plan, bool) {
	if request.Engine == nil {
		return LeastInHand{}.Place(servers, request)
	}
	sound := withoutSuspects(servers)
	if request.Tight() {
		return lengthaware.placeTight(sound, request)
	}
	return lengthaware.placeLong(sound, request)
}

// withoutSuspects leaves out servers whose recent answers were failures, unless
// that leaves fewer than half.
func withoutSuspects(servers []Server) []Server {
	sound := make([]Server, 0, len(servers))
	for _, server := range servers {
		if !server.Suspect {
			sound = append(sound, server)
		}
	}
	if 2*len(sound) < len(servers) {
		return servers
	}
	return sound
}

// placeLong reads a prompt in parts at those servers where that does most good:
// what the request is worth in time, less what the pauses of others lose. An
// engine shares its time among all that it reads, so what is sent early makes
// the others late: a prompt is held while nothing good can be done for it and
// its caller stays long enough.
func (lengthaware LengthAware) placeLong(servers []Server, request Request) (Plan, bool) {
	open := lengthaware.withRoom(servers)
	free := lengthaware.withRoom(servers[lengthaware.keep(servers, request):])
	for _, candidates := range [][]Server{free, open} {
		plan, gain, ok := lengthaware.bestLong(candidates, request)
		if ok && lengthaware.good(gain, request) {
			return plan, true
		}
	}
	patience := time.Duration(lengthaware.settings.Patience * float64(request.Objective))
	if request.Left >= -patience && request.Stays >= lengthaware.settings.StaySpare {
		return Plan{}, false
	}
	// Waited for long enough it takes any server, but never where others lose more.
	// What its caller will not see brings nothing.
	plan, gain, ok := lengthaware.bestLong(servers, request)
	return plan, ok && gain > 0
}

// good reports whether a plan with that gain is worth taking now. A request that
// can still be in time waits for better; a late one takes what harms nobody.
func (lengthaware LengthAware) good(gain float64, request Request) bool {
	if request.Left < 0 {
		return gain > 0
	}
	return gain > lengthaware.settings.GoodGain*Weight(request.Memory)
}

// bestLong returns the plan with the most gain among those over servers.
func (lengthaware LengthAware) bestLong(servers []Server, request Request) (Plan, float64, bool) {
	work := request.Engine.ReadTime(request.Tokens)
	most := min(lengthaware.settings.MaxParts, len(servers), max(1, int(work/passes(request.Engine, lengthaware.settings.PartPasses))))
	best, bestGain, found := Plan{}, 0.0, false
	buffer := make([]harmed, 0, len(servers))
	for parts := 1; parts <= most; parts++ {
		part := work / time.Duration(parts)
		plan, harm, ok := choose(lengthaware.harms(buffer, servers, request, part), request, part, parts)
		if !ok {
			continue
		}
		gain := lengthaware.gain(plan, request) - harm
		if !found || gain > bestGain {
			best, bestGain, found = plan, gain, true
		}
	}
	return best, bestGain, found
}

// withRoom returns the servers with little to read.
func (lengthaware LengthAware) withRoom(servers []Server) []Server {
	open := make([]Server, 0, len(servers))
	for _, server := range servers {
		room := lengthaware.settings.Room
		if server.ReadsLong {
			room = lengthaware.settings.LongRoom
		}
		if server.Backlog <= room {
			open = append(open, server)
		}
	}
	return open
}

// gain is what a plan brings for the request itself: the less of the time left
// it takes, the surer it is.
func (lengthaware LengthAware) gain(plan Plan, request Request) float64 {
	worth := Weight(request.Memory)
	switch {
	case plan.Predicted > request.Stays:
		return 0
	case plan.Predicted > time.Duration(lengthaware.settings.AimPart*float64(request.Left)):
		return lengthaware.settings.LatePart * worth
	}
	risk := float64(plan.Predicted) / float64(request.Left)
	return worth * (1 - lengthaware.settings.RiskPart*risk)
}

// choose takes the servers with the least harm, and tells the harm. One of them
// gets the request and writes the answer.
func choose(harms []harmed, request Request, part time.Duration, parts int) (Plan, float64, bool) {
	if len(harms) < parts {
		return Plan{}, 0, false
	}
	readers := leastHarmed(harms, parts)
	writer, alone := writerAmong(harms, readers, request)
	if alone {
		readers = withWriter(readers, writer)
	}
	harm := 0.0
	chosen := make([]Server, 0, parts)
	latest := time.Duration(0)
	for _, server := range readers {
		harm += server.harm
		chosen = append(chosen, *server.Server)
		latest = max(latest, server.Backlog)
	}
	plan := Plan{Reason: ReasonApart, Part: part, Predicted: latest + part + request.Engine.PassTime(0, 0)}
	if !alone {
		slices.SortStableFunc(chosen, func(a, b Server) int { return cmp.Compare(b.MemoryFree, a.MemoryFree) })
		shares, ok := share(chosen, request)
		if !ok || parts > maxShares {
			return Plan{}, 0, false
		}
		plan.Shares = shares
		plan.Reason = ReasonSpread
	}
	plan.Server = chosen[0]
	plan.Helpers = chosen[1:]
	return plan, harm, true
}

// withWriter returns as many servers with the writer first, in place of the last one if
// it is not among them.
func withWriter(readers []harmed, writer harmed) []harmed {
	others := slices.DeleteFunc(slices.Clone(readers), func(reader harmed) bool { return reader.index == writer.index })
	return append([]harmed{writer}, others[:len(readers)-1]...)
}

// writerAmong returns which server gets a request that readers read in parts. Of those
// that do no more harm than the last reader it is one with the fewest tight requests, and
// then the one whose memory it fits most closely: so long prompts find servers with their
// whole memory, and servers without writers, where long parts hold up nobody. Where none
// of those has memory it is the least harmed one that has. It reports false when no
// server's memory is enough.
func writerAmong(harms, readers []harmed, request Request) (harmed, bool) {
	last := readers[len(readers)-1]
	var best, least harmed
	for _, server := range harms {
		switch {
		case !server.writes(request):
		case !server.worse(last):
			if best.Server == nil || closer(server, best) {
				best = server
			}
		case server.compare(last) > 0 && (least.Server == nil || server.compare(least) < 0):
			least = server
		}
	}
	if best.Server == nil {
		best = least
	}
	return best, best.Server != nil
}

// closer reports whether a is the better server to write at.
func closer(a, b harmed) bool {
	return cmp.Or(cmp.Compare(a.Tight, b.Tight), cmp.Compare(a.MemoryFree, b.MemoryFree), a.compare(b)) < 0
}
