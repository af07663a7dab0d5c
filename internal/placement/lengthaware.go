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
	ReasonNoApart Reason = "no server apart"
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
	// PackSlots is the part of the slots of a server that tight requests fill
	// before they go to the next one.
	PackSlots float64 `yaml:"pack_slots" validate:"min=0.1,max=1"`
	// PassSpare is what a pass takes beside reading and the steps themselves:
	// the context of what is written.
	PassSpare time.Duration `yaml:"pass_spare" validate:"min=0"`
	// MaxParts is the most servers that read one prompt.
	MaxParts int `yaml:"max_parts" validate:"min=1,max=17"`
	// MinPart is the least that a server reads of a prompt read by several.
	MinPart time.Duration `yaml:"min_part" validate:"min=1ms"`
	// HoldPart is the part of the objective up to which a prompt is held until
	// it does not make the pauses of others too long.
	HoldPart float64 `yaml:"hold_part" validate:"min=0,max=1"`
}

// DefaultSettings returns the settings that docs/RESULTS.md found best.
func DefaultSettings() Settings {
	return Settings{
		TightGap:  400 * time.Millisecond,
		PackSlots: 0.75,
		PassSpare: 30 * time.Millisecond,
		MaxParts:  MaxParts,
		MinPart:   20 * time.Millisecond,
		HoldPart:  0.5,
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

func (lengthaware LengthAware) placeTight(servers []Server, request Request) (Plan, bool) {
	work := request.Engine.ReadTime(request.Tokens)
	plan := Plan{Part: work, Tight: true}
	best := -1
	for i := range servers {
		server := &servers[i]
		if !server.writes(request) {
			continue
		}
		if lengthaware.packs(server, request, work) {
			plan.Server = *server
			plan.Predicted = server.Backlog + work + request.Engine.PassTime()
			plan.Reason = ReasonPacked
			return plan, true
		}
		if best < 0 || server.Backlog < servers[best].Backlog {
			best = i
		}
	}
	if best < 0 {
		return Plan{}, false
	}
	plan.Server = servers[best]
	plan.Predicted = plan.Server.Backlog + work + request.Engine.PassTime()
	plan.Reason = ReasonSoonest
	return plan, true
}

// packs reports whether a tight request may be added without harm.
func (lengthaware LengthAware) packs(server *Server, request Request, work time.Duration) bool {
	return lengthaware.fits(server, request, work) &&
		lengthaware.pass(server, request, work) < request.Gap &&
		float64(server.Running) < lengthaware.settings.PackSlots*float64(server.Slots)
}

// pass is how long the next pass of a server takes with more to read.
func (lengthaware LengthAware) pass(server *Server, request Request, part time.Duration) time.Duration {
	return request.Engine.PassTime() + lengthaware.settings.PassSpare + server.Backlog + part
}

// fits reports whether a part keeps all pauses at a server in time.
func (lengthaware LengthAware) fits(server *Server, request Request, part time.Duration) bool {
	return server.MinGap == 0 || lengthaware.pass(server, request, part) < server.MinGap
}

func (lengthaware LengthAware) placeLong(servers []Server, request Request) (Plan, bool) {
	work := request.Engine.ReadTime(request.Tokens)
	most := min(lengthaware.settings.MaxParts, len(servers), max(1, int(work/lengthaware.settings.MinPart)))
	best, found := Plan{}, false
	for parts := most; parts >= 1; parts-- {
		part := work / time.Duration(parts)
		clean := make([]Server, 0, len(servers))
		for i := range servers {
			if lengthaware.fits(&servers[i], request, part) {
				clean = append(clean, servers[i])
			}
		}
		plan, ok := choose(clean, request, work, parts, ReasonApart)
		if ok && (!found || plan.Predicted < best.Predicted) {
			best, found = plan, true
		}
	}
	if found && best.Predicted <= request.Left {
		return best, true
	}
	if request.Left > time.Duration((1-lengthaware.settings.HoldPart)*float64(request.Objective)) {
		return Plan{}, false
	}
	for parts := most; parts >= 1; parts-- {
		plan, ok := choose(servers, request, work, parts, ReasonNoApart)
		if ok && (!found || plan.Predicted < best.Predicted) {
			best, found = plan, true
		}
	}
	return best, found
}

// choose takes the servers with the least to read. The one with most memory,
// among those with the fewest tight requests, gets the request.
func choose(servers []Server, request Request, work time.Duration, parts int, reason Reason) (Plan, bool) {
	if len(servers) < parts {
		return Plan{}, false
	}
	chosen := slices.Clone(servers)
	slices.SortStableFunc(chosen, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Backlog, b.Backlog), cmp.Compare(a.Tight, b.Tight))
	})
	if alone := slices.IndexFunc(chosen, func(server Server) bool { return server.writes(request) }); alone >= parts {
		// One that can write must be among those that read.
		chosen[parts-1], chosen[alone] = chosen[alone], chosen[parts-1]
	}
	chosen = chosen[:parts]
	slices.SortStableFunc(chosen, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Tight, b.Tight), cmp.Compare(b.MemoryFree, a.MemoryFree))
	})
	plan := Plan{Reason: reason}
	if first := slices.IndexFunc(chosen, func(server Server) bool { return server.writes(request) }); first >= 0 {
		chosen[0], chosen[first] = chosen[first], chosen[0]
	} else {
		slices.SortStableFunc(chosen, func(a, b Server) int { return cmp.Compare(b.MemoryFree, a.MemoryFree) })
		shares, ok := share(chosen, request)
		if !ok {
			return Plan{}, false
		}
		plan.Shares = shares
		plan.Reason = ReasonSpread
	}
	plan.Server = chosen[0]
	plan.Helpers = chosen[1:]
	plan.Part = work / time.Duration(parts)
	latest := time.Duration(0)
	for i := range chosen {
		latest = max(latest, chosen[i].Backlog)
	}
	plan.Predicted = latest + plan.Part + request.Engine.PassTime()
	return plan, true
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
