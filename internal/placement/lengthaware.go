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

// spareTokens is kept free at a server whose memory is set aside, since what
// is known of it is not exact.
const spareTokens = 4000

// Settings tune LengthAware.
type Settings struct {
	// TightGap is the pause up to which a request counts as tight.
	TightGap time.Duration `yaml:"tight_gap" validate:"min=1ms"`
	// PackSlots is the part of the slots of a server that tight requests fill.
	PackSlots float64 `yaml:"pack_slots" validate:"min=0.1,max=1"`
	// KeepSpare is how many servers beside the filled ones are kept for tight
	// requests, and LeaveLong how many are never kept.
	KeepSpare int `yaml:"keep_spare" validate:"min=0"`
	LeaveLong int `yaml:"leave_long" validate:"min=0"`
	// NearBacklog is the reading up to which servers count as equally busy.
	NearBacklog time.Duration `yaml:"near_backlog" validate:"min=1ms"`
	// PassSpare is what a pass takes beside reading and the steps themselves:
	// the context of what is written.
	PassSpare time.Duration `yaml:"pass_spare" validate:"min=0"`
	// MaxParts is the most servers that read one prompt.
	MaxParts int `yaml:"max_parts" validate:"min=1,max=17"`
	// MinPart is the least that a server reads of a prompt read by several.
	MinPart time.Duration `yaml:"min_part" validate:"min=1ms"`
	// Room is the most that a server may have to read to get a part of another
	// long prompt.
	Room time.Duration `yaml:"room" validate:"min=0"`
	// LongRoom is the same for a server that reads another long prompt: the
	// parts of several servers are read before the prompt of one, and late ones
	// hold up the others.
	LongRoom time.Duration `yaml:"long_room" validate:"min=0"`
	// TightPass is the longest pass that keeps tight pauses in time.
	TightPass time.Duration `yaml:"tight_pass" validate:"min=1ms"`
	// TightLife is how long a tight request takes, about.
	TightLife time.Duration `yaml:"tight_life" validate:"min=1ms"`
	// LatePart is the part of its worth that a late request keeps.
	LatePart float64 `yaml:"late_part" validate:"min=0,max=1"`
	// GoodGain is the part of its worth that a plan must bring for a request
	// that can still be in time.
	GoodGain float64 `yaml:"good_gain" validate:"min=0,max=1"`
	// AimPart is the part of the time left within which a first event must be
	// predicted to count as in time.
	AimPart float64 `yaml:"aim_part" validate:"min=0.1,max=1"`
	// RiskPart is the part of its worth that a plan loses when it takes all of
	// the time that is left.
	RiskPart float64 `yaml:"risk_part" validate:"min=0,max=1"`
	// Patience is the multiple of the objective, beyond it, for which a prompt
	// is held at most.
	Patience float64 `yaml:"patience" validate:"min=0"`
	// StaySpare is how long its caller must stay for a prompt to be held.
	StaySpare time.Duration `yaml:"stay_spare" validate:"min=0"`
}

// DefaultSettings returns the settings that docs/RESULTS.md found best.
func DefaultSettings() Settings {
	return Settings{
		TightGap:    400 * time.Millisecond,
		PackSlots:   0.6,
		KeepSpare:   1,
		LeaveLong:   1,
		NearBacklog: 50 * time.Millisecond,
		PassSpare:   30 * time.Millisecond,
		MaxParts:    MaxParts,
		MinPart:     20 * time.Millisecond,
		Room:        100 * time.Millisecond,
		LongRoom:    20 * time.Millisecond,
		TightPass:   240 * time.Millisecond,
		TightLife:   1800 * time.Millisecond,
		LatePart:    0.25,
		GoodGain:    0.5,
		AimPart:     0.9,
		RiskPart:    0.1,
		Patience:    2,
		StaySpare:   time.Second,
	}
}

// LengthAware reads a long prompt in many thin parts, each at another server,
// so that no pass grows longer than the shortest pause that is in time among
// those who write there. Tight requests fill servers in one order, the same at
// all VMs, so that servers without them are left for thicker parts. So the
// border between long and short moves with demand.
type LengthAware struct {
	settings Settings
}

var _ Policy = LengthAware{}

// New returns a length-aware policy.
func New(settings Settings) LengthAware {
	return LengthAware{settings: settings}
}

// Tight reports whether a request with that pause counts as tight.
func (lengthaware LengthAware) Tight(gap time.Duration) bool {
	return gap > 0 && gap <= lengthaware.settings.TightGap
}

// Place implements Policy.
func (lengthaware LengthAware) Place(servers []Server, request Request) (Plan, bool) {
	if request.Engine == nil {
		return LeastInHand{}.Place(servers, request)
	}
	sound := withoutSuspects(servers)
	if lengthaware.Tight(request.Gap) {
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

// placeTight chooses among the servers that are kept for tight requests, the
// one with the least to do; then, when all pauses would grow too long there,
// among all.
func (lengthaware LengthAware) placeTight(servers []Server, request Request) (Plan, bool) {
	work := request.Engine.ReadTime(request.Tokens)
	reason := ReasonPacked
	best, fits, ok := lengthaware.leastBusy(servers[:lengthaware.keep(servers)], request, work)
	if !fits {
		reason = ReasonSoonest
		best, _, ok = lengthaware.leastBusy(servers, request, work)
	}
	if !ok {
		return Plan{}, false
	}
	return Plan{
		Server: best, Part: work, Tight: true, Reason: reason,
		Predicted: best.Backlog + work + request.Engine.PassTime(),
	}, true
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

// placeLong reads a prompt in parts at those servers where that does most good:
// what the request is worth in time, less what the pauses of others lose. An
// engine shares its time among all that it reads, so what is sent early makes
// the others late: a prompt is held while nothing good can be done for it and
// its caller stays long enough.
func (lengthaware LengthAware) placeLong(servers []Server, request Request) (Plan, bool) {
	open := lengthaware.withRoom(servers)
	free := lengthaware.withRoom(servers[lengthaware.keep(servers):])
	for _, candidates := range [][]Server{free, open} {
		plan, gain, ok := lengthaware.bestLong(candidates, request)
		if ok && lengthaware.good(gain, request) {
			return plan, true
		}
	}
	plan, _, ok := lengthaware.bestLong(servers, request)
	patience := time.Duration(lengthaware.settings.Patience * float64(request.Objective))
	urgent := request.Left < -patience || request.Stays < lengthaware.settings.StaySpare
	// What its caller will not see is work for nothing, which makes others late.
	return plan, ok && urgent && plan.Predicted < request.Stays
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
	most := min(lengthaware.settings.MaxParts, len(servers), max(1, int(work/lengthaware.settings.MinPart)))
	best, bestGain, found := Plan{}, 0.0, false
	for parts := 1; parts <= most; parts++ {
		part := work / time.Duration(parts)
		plan, harm, ok := choose(lengthaware.harms(servers, request, part), request, part, parts)
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

// harmed is a server with what others there lose by a part of a prompt.
type harmed struct {
	*Server

	harm float64
}

// harms returns the servers with what others lose by a part, least first.
func (lengthaware LengthAware) harms(servers []Server, request Request, part time.Duration) []harmed {
	lost := 1 - lengthaware.settings.LatePart
	list := make([]harmed, 0, len(servers))
	for i := range servers {
		server := &servers[i]
		pass := lengthaware.pass(server, request, part)
		// Tight requests that come while the part is read wait for it.
		harm := lost * server.TightWeight * part.Seconds() / lengthaware.settings.TightLife.Seconds()
		if pass > lengthaware.settings.TightPass {
			harm += lost * server.TightWeight
		}
		if server.LooseGap > 0 && pass > server.LooseGap {
			harm += lost * server.LooseWeight
		}
		list = append(list, harmed{Server: server, harm: harm})
	}
	slices.SortStableFunc(list, func(a, b harmed) int {
		return cmp.Or(cmp.Compare(a.harm, b.harm), cmp.Compare(a.Backlog, b.Backlog))
	})
	return list
}

// choose takes the servers with the least harm, and tells the harm. The one with
// most memory, among those with the fewest tight requests, gets the request.
func choose(harms []harmed, request Request, part time.Duration, parts int) (Plan, float64, bool) {
	if len(harms) < parts {
		return Plan{}, 0, false
	}
	if alone := slices.IndexFunc(harms, func(server harmed) bool { return server.writes(request) }); alone >= parts {
		// One that can write must be among those that read.
		harms[parts-1], harms[alone] = harms[alone], harms[parts-1]
	}
	harm := 0.0
	chosen := make([]Server, 0, parts)
	latest := time.Duration(0)
	for _, server := range harms[:parts] {
		harm += server.harm
		chosen = append(chosen, *server.Server)
		latest = max(latest, server.Backlog)
	}
	slices.SortStableFunc(chosen, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Tight, b.Tight), cmp.Compare(b.MemoryFree, a.MemoryFree))
	})
	plan := Plan{Reason: ReasonApart, Part: part, Predicted: latest + part + request.Engine.PassTime()}
	if first := slices.IndexFunc(chosen, func(server Server) bool { return server.writes(request) }); first >= 0 {
		chosen[0], chosen[first] = chosen[first], chosen[0]
	} else {
		slices.SortStableFunc(chosen, func(a, b Server) int { return cmp.Compare(b.MemoryFree, a.MemoryFree) })
		shares, ok := share(chosen, request)
		if !ok {
			return Plan{}, 0, false
		}
		plan.Shares = shares
		plan.Reason = ReasonSpread
	}
	plan.Server = chosen[0]
	plan.Helpers = chosen[1:]
	return plan, harm, true
}

// writes reports whether a server may write the answer with memory of its own.
func (server *Server) writes(request Request) bool {
	return server.MemoryFree >= request.Memory && server.Running < server.Slots
}

// share sets memory aside at as few servers as it takes. The first one needs
// memory for the answer too.
func share(ordered []Server, request Request) ([]int, bool) {
	shares := make([]int, len(ordered))
	left := request.Tokens
	for i := range ordered {
		usable := ordered[i].MemoryFree - spareTokens
		if i == 0 {
			usable -= request.Memory - request.Tokens
		}
		if i == 0 && (usable <= 0 || ordered[i].Running >= ordered[i].Slots) {
			return nil, false
		}
		shares[i] = max(0, min(usable, left))
		left -= shares[i]
	}
	return shares, left == 0
}
