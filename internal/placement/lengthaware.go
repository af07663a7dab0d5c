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
)

// Settings tune LengthAware.
type Settings struct {
	// TightGap is the pause up to which a request counts as tight.
	TightGap time.Duration `yaml:"tight_gap" validate:"min=1ms"`
	// PackSlots is the part of the slots of a server that tight requests fill
	// before they go to the next one.
	PackSlots float64 `yaml:"pack_slots" validate:"min=0.1,max=1"`
	// PackBacklog is the reading in hand up to which a server is filled.
	PackBacklog time.Duration `yaml:"pack_backlog" validate:"min=0"`
	// MaxPart is the longest part of a prompt that one server reads.
	MaxPart time.Duration `yaml:"max_part" validate:"min=1ms"`
	// MaxParts is the most servers that read one prompt.
	MaxParts int `yaml:"max_parts" validate:"min=1,max=16"`
	// AimPart is the part of the objective in which a first event is aimed at.
	AimPart float64 `yaml:"aim_part" validate:"min=0.1,max=1"`
}

// DefaultSettings returns the settings that the trials of docs/RESULTS.md were
// best with.
func DefaultSettings() Settings {
	return Settings{
		TightGap:    400 * time.Millisecond,
		PackSlots:   0.75,
		PackBacklog: 100 * time.Millisecond,
		MaxPart:     600 * time.Millisecond,
		MaxParts:    8,
		AimPart:     0.7,
	}
}

// LengthAware keeps long reading apart from requests with tight pauses. Tight
// requests fill servers in one order, the same at all VMs; long prompts take
// those that are left, and are read in parts by several servers when one would
// take too long. So the border between both moves with demand.
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
		if server.MemoryFree < request.Memory {
			continue
		}
		if lengthaware.packs(server) {
			plan.Server = *server
			plan.Predicted = server.Backlog + work + request.Engine.PassTime()
			plan.Reason = ReasonPacked
			return plan, true
		}
		if server.Running < server.Slots && (best < 0 || server.Backlog < servers[best].Backlog) {
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
func (lengthaware LengthAware) packs(server *Server) bool {
	return server.Loose == 0 &&
		server.Backlog <= lengthaware.settings.PackBacklog &&
		float64(server.Running) < lengthaware.settings.PackSlots*float64(server.Slots)
}

func (lengthaware LengthAware) placeLong(servers []Server, request Request) (Plan, bool) {
	work := request.Engine.ReadTime(request.Tokens)
	open := make([]Server, 0, len(servers))
	for _, server := range servers {
		if server.Running < server.Slots {
			open = append(open, server)
		}
	}
	target := time.Duration(lengthaware.settings.AimPart * float64(request.Left))
	least := max(1, int((work+lengthaware.settings.MaxPart-1)/lengthaware.settings.MaxPart))
	least = min(least, lengthaware.settings.MaxParts)
	best, found := Plan{}, false
	for parts := least; parts <= lengthaware.settings.MaxParts; parts++ {
		plan, ok := lengthaware.apart(open, request, work, parts)
		if ok && plan.Predicted <= target {
			return plan, true
		}
		if ok && (!found || plan.Predicted < best.Predicted) {
			best, found = plan, true
		}
	}
	if found && best.Predicted <= request.Left {
		return best, true
	}
	any, ok := lengthaware.anywhere(open, request, work, least)
	if ok && (!found || any.Predicted < best.Predicted) {
		return any, true
	}
	return best, found
}

// apart chooses among the servers on which no pause grows too long.
func (lengthaware LengthAware) apart(servers []Server, request Request, work time.Duration, parts int) (Plan, bool) {
	part := work / time.Duration(parts)
	clean := make([]Server, 0, len(servers))
	for _, server := range servers {
		pass := request.Engine.PassTime() + server.Backlog + part
		if server.Tight == 0 && (server.MinGap == 0 || pass < server.MinGap) {
			clean = append(clean, server)
		}
	}
	return lengthaware.choose(clean, request, part, parts, ReasonApart)
}

// anywhere chooses among all servers, those with the fewest tight requests
// first.
func (lengthaware LengthAware) anywhere(servers []Server, request Request, work time.Duration, parts int) (Plan, bool) {
	return lengthaware.choose(servers, request, work/time.Duration(parts), parts, ReasonNoApart)
}

// choose takes the servers with the least to read; the one with most memory is
// the first.
func (lengthaware LengthAware) choose(
	servers []Server, request Request, part time.Duration, parts int, reason Reason,
) (Plan, bool) {
	if len(servers) < parts {
		return Plan{}, false
	}
	ordered := slices.Clone(servers)
	slices.SortStableFunc(ordered, func(a, b Server) int {
		return cmp.Or(
			cmp.Compare(a.Tight, b.Tight),
			cmp.Compare(a.Backlog, b.Backlog),
			cmp.Compare(b.MemoryFree, a.MemoryFree),
		)
	})
	first := slices.IndexFunc(ordered, func(server Server) bool { return server.MemoryFree >= request.Memory })
	if first < 0 {
		return Plan{}, false
	}
	plan := Plan{Server: ordered[first], Part: part, Reason: reason}
	latest := ordered[first].Backlog
	for i := range ordered {
		if i != first && len(plan.Helpers) < parts-1 {
			plan.Helpers = append(plan.Helpers, ordered[i])
			latest = max(latest, ordered[i].Backlog)
		}
	}
	plan.Predicted = latest + part + request.Engine.PassTime()
	return plan, true
}
