package placement

import "time"

// placeTight chooses among the servers that are kept for tight requests, the
// one with the least to do; then, when all pauses would grow too long there,
// among all. It is held while only servers that read for long have a slot.
func (lengthaware LengthAware) placeTight(servers []Server, request Request) (Plan, bool) {
	work := request.Engine.ReadTime(request.Tokens)
	reason := ReasonPacked
	best, fits, ok := lengthaware.leastBusy(servers[:lengthaware.keep(servers)], request, work)
	if !fits {
		reason = ReasonSoonest
		best, _, ok = lengthaware.leastBusy(servers, request, work)
	}
	plan := Plan{
		Server: best, Part: work, Tight: true, Reason: reason,
		Predicted: best.Backlog + work + request.Engine.PassTime(),
	}
	// A slot elsewhere is free sooner than a server that reads for long.
	held := !fits && plan.Predicted > max(request.Left, lengthaware.settings.TightHold)
	return plan, ok && !held
}

// leastBusy returns the server whose passes are shortest among those where the
// request keeps all pauses in time, or else the one with the least to read. It
// tells whether all pauses stay in time, and whether there is a server at all.
func (lengthaware LengthAware) leastBusy(
	servers []Server, request Request, work time.Duration,
) (best Server, bestFits, found bool) {
	for i := range servers {
		server := &servers[i]
		if !server.writes(request) {
			continue
		}
		fits := lengthaware.pass(server, request, work) < request.Gap && lengthaware.fits(server, request, work)
		better := !found || (fits && !bestFits) ||
			(fits == bestFits && lengthaware.lessBusy(server, &best))
		if better {
			best, bestFits, found = *server, fits, true
		}
	}
	return best, bestFits, found
}

// lessBusy compares servers by what they read and, where that is near, by how
// many requests they have.
func (lengthaware LengthAware) lessBusy(a, b *Server) bool {
	near := lengthaware.settings.NearBacklog
	if a.Backlog/near != b.Backlog/near {
		return a.Backlog < b.Backlog
	}
	return a.Running < b.Running
}

// keep returns how many of the servers, in their order, are kept for tight
// requests: as many as those in progress fill to PackSlots, and KeepSpare more.
func (lengthaware LengthAware) keep(servers []Server) int {
	tight, slots := 0, 0
	for i := range servers {
		tight += servers[i].Tight
		slots = max(slots, servers[i].Slots)
	}
	filled := max(1, int(lengthaware.settings.PackSlots*float64(slots)))
	count := (tight+filled-1)/filled + lengthaware.settings.KeepSpare
	return min(count, max(1, len(servers)-lengthaware.settings.LeaveLong), len(servers))
}

// pass is how long the next pass of a server takes with more to read.
func (lengthaware LengthAware) pass(server *Server, request Request, part time.Duration) time.Duration {
	return request.Engine.PassTime() + lengthaware.settings.PassSpare + server.Backlog + part
}

// fits reports whether a part keeps all pauses at a server in time.
func (lengthaware LengthAware) fits(server *Server, request Request, part time.Duration) bool {
	return server.MinGap == 0 || lengthaware.pass(server, request, part) < server.MinGap
}
