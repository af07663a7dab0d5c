package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// LengthAwareSettings configure LengthAware.
type LengthAwareSettings struct {
	// LongTokens is the minimum length of a long prompt, in tokens. Shorter prompts are
	// short.
	LongTokens int `yaml:"long_tokens" validate:"min=1"`
	// MaxLongFraction is the maximum fraction (0 to 1) of the engines that long prompts
	// may use, except for prompts that need the memory of several engines.
	MaxLongFraction float64 `yaml:"long_share" validate:"gt=0,max=1"`
	// LongBacklog is the number of queued tokens of long prompts, per engine that they
	// use, above which they may use one more engine.
	LongBacklog int `yaml:"long_backlog" validate:"min=1"`
	// Choices is how many randomly sampled engines are compared for a short prompt.
	Choices int `yaml:"choices" validate:"min=1,max=64"`
	// LongSetMargin is how many engines, beyond those in use for long prompts, short
	// prompts avoid, so that these engines have no short prompts left when the set for
	// long prompts grows.
	LongSetMargin int `yaml:"quiet_margin" validate:"min=0"`
	// StepTokens is how long a short prompt waits for the step in progress of an engine
	// that prefills long prompts, expressed in prompt tokens.
	StepTokens int `yaml:"step_tokens" validate:"min=0"`
	// PrefillTokensPerSecond is the assumed prefill rate of an engine until its rate has
	// been measured, and the minimum assumed for an idle engine.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" validate:"gt=0"`
}

// DefaultLengthAwareSettings returns the defaults, which suit the cost model of the
// simulated engines in internal/standin.
func DefaultLengthAwareSettings() LengthAwareSettings {
	return LengthAwareSettings{
		LongTokens:             16 << 10,
		MaxLongFraction:        0.6,
		LongBacklog:            100_000,
		Choices:                4,
		LongSetMargin:          2,
		StepTokens:             8 << 10,
		PrefillTokensPerSecond: 200_000,
	}
}

// maxPrefillFraction is the fraction of a request's remaining time within which its
// prefill must be expected to end for the request to be admitted.
const maxPrefillFraction = 0.7

// samplesPerChoice limits how many engines are sampled for each choice, since sampled
// engines may be ineligible.
const samplesPerChoice = 8

var _ Policy = LengthAware{}

// LengthAware restricts long prompts to as few engines as their backlog needs, and
// sends short prompts to the least loaded of a few randomly sampled other engines, so
// that they do not queue behind long ones.
type LengthAware struct {
	settings LengthAwareSettings
}

// NewLengthAware returns a policy with these settings, which must be valid.
func NewLengthAware(settings LengthAwareSettings) LengthAware {
	return LengthAware{settings: settings}
}

// Decide implements Policy.
func (lengthaware LengthAware) Decide(snapshot Snapshot, request Request, random *rand.Rand) Decision {
	if request.Tokens < lengthaware.settings.LongTokens {
		if best := lengthaware.sampleForShort(snapshot, &request, random); best != nil {
			return lengthaware.admitShort(best, &request)
		}
	}
	servers := eligibleServers(snapshot, &request)
	switch {
	case len(servers) == 0:
		return refuse(RefusalNoServer, "no server has the model")
	case !fitsSingleServer(servers, request):
		return chooseGroup(servers, request)
	case request.Tokens < lengthaware.settings.LongTokens:
		best := slices.MinFunc(servers, func(a, b Server) int { return lengthaware.compareForShort(&a, &b, &request) })
		return lengthaware.admitShort(&best, &request)
	default:
		return lengthaware.chooseLong(servers, request, snapshot.LongBacklog)
	}
}

// admitShort chooses the server for a short prompt, unless the prompt cannot be
// prefilled in time.
func (lengthaware LengthAware) admitShort(best *Server, request *Request) Decision {
	if !lengthaware.meetsDeadline(best, best.QueuedShort, request) {
		return refuse(RefusalDeadline, fmt.Sprintf("%d tokens of short prompts are queued", best.QueuedShort))
	}
	if best.QueuedLong > 0 {
		return choose(*best, "shortest wait among sampled engines")
	}
	return choose(*best, "shortest wait among sampled engines without long prompts")
}

// sampleForShort returns the best of a few engines that long prompts do not use,
// unless the best of a few among all engines is better. It returns nil if it sampled
// no eligible engine with enough memory; the caller then considers all engines.
func (lengthaware LengthAware) sampleForShort(snapshot Snapshot, request *Request, random *rand.Rand) *Server {
	firstRank := lengthaware.firstShortRank(snapshot)
	best := lengthaware.sample(snapshot, request, random, firstRank)
	if best == nil || lengthaware.shortWaitTokens(best) > lengthaware.settings.StepTokens {
		other := lengthaware.sample(snapshot, request, random, 0)
		if best == nil || other != nil && lengthaware.compareForShort(other, best, request) < 0 {
			best = other
		}
	}
	if best == nil || best.Memory*groupMemoryPercent/percent < request.RequiredMemory() {
		return nil
	}
	return best
}

// sample returns the best of a few random servers whose LongRank is at least rank,
// or nil if it found none. If rank is above zero, servers with long prompts are
// skipped too. Only a sample is compared because otherwise all entry processes would
// choose the same engine at once.
func (lengthaware LengthAware) sample(snapshot Snapshot, request *Request, random *rand.Rand, rank int) *Server {
	var best *Server
	found := 0
	for range lengthaware.settings.Choices * samplesPerChoice {
		if found == lengthaware.settings.Choices || len(snapshot.Servers) == 0 {
			break
		}
		server := &snapshot.Servers[random.IntN(len(snapshot.Servers))]
		if server.Ejected || server.LongRank < rank || rank > 0 && server.QueuedLong > 0 || !request.mayUse(server) {
			continue
		}
		if best == nil || lengthaware.compareForShort(server, best, request) < 0 {
			best = server
		}
		found++
	}
	return best
}

// compareForShort orders engines with enough free memory for the request first, then
// by the expected wait for the first token.
func (lengthaware LengthAware) compareForShort(a, b *Server, request *Request) int {
	if fits(a, request) != fits(b, request) {
		return compareTrueFirst(fits(a, request), fits(b, request))
	}
	return cmp.Compare(lengthaware.shortWaitTokens(a), lengthaware.shortWaitTokens(b))
}

// shortWaitTokens estimates how long a short prompt waits, in prompt tokens. Engines
// prioritise it over long prompts, so it waits for at most one step of those.
func (lengthaware LengthAware) shortWaitTokens(server *Server) int {
	wait := server.QueuedShort + server.Outstanding
	if server.QueuedLong > 0 {
		wait += lengthaware.settings.StepTokens
	}
	return wait
}

// chooseLong chooses, from the set for long prompts, the engine with the fewest queued
// tokens of long prompts, preferring engines with enough free memory.
func (lengthaware LengthAware) chooseLong(servers []Server, request Request, backlog int) Decision {
	set := slices.SortedFunc(slices.Values(servers), func(a, b Server) int {
		return cmp.Compare(a.LongRank, b.LongRank)
	})[:lengthaware.longSetSize(len(servers), backlog)]
	best := slices.MinFunc(set, func(a, b Server) int {
		return cmp.Or(
			compareTrueFirst(fits(&a, &request), fits(&b, &request)),
			cmp.Compare(a.QueuedLong, b.QueuedLong),
			cmp.Compare(a.ID, b.ID),
		)
	})
	if !lengthaware.meetsDeadline(&best, best.QueuedLong, &request) {
		return refuse(RefusalDeadline, fmt.Sprintf("%d tokens of long prompts are queued", best.QueuedLong))
	}
	decision := choose(best, fmt.Sprintf("fewest queued tokens of long prompts among %d engines", len(set)))
	decision.Long = true
	return decision
}

// longSetSize returns how many engines long prompts may use: as many as their backlog
// needs. It is the same at every entry process that observes the same backlog.
func (lengthaware LengthAware) longSetSize(servers, backlog int) int {
	limit := max(1, int(float64(servers)*lengthaware.settings.MaxLongFraction))
	return min(limit, 1+backlog/lengthaware.settings.LongBacklog)
}

// firstShortRank returns the lowest LongRank of the engines that short prompts prefer,
// which are at least half of all engines. Ranks are used in addition to load reports
// because a long prompt that another entry process has just sent is reported late, but
// is always on an engine of the set for long prompts.
func (lengthaware LengthAware) firstShortRank(snapshot Snapshot) int {
	servers := len(snapshot.Servers)
	size := lengthaware.longSetSize(servers, snapshot.LongBacklog) + lengthaware.settings.LongSetMargin
	return min(size, servers/2)
}

// meetsDeadline reports whether the prompt, after the queued tokens, is expected to be
// prefilled early enough to leave time for decoding.
func (lengthaware LengthAware) meetsDeadline(server *Server, queued int, request *Request) bool {
	rate := server.PrefillRate
	if rate == 0 || queued == 0 {
		// An idle server is retried however slow it was, so that its rate is measured
		// again.
		rate = max(rate, lengthaware.settings.PrefillTokensPerSecond)
	}
	seconds := float64(queued+request.Tokens) / rate
	return seconds < maxPrefillFraction*request.TimeLeft.Seconds()
}

// fits reports whether the server has enough free memory for the request.
func fits(server *Server, request *Request) bool {
	return server.Free >= request.RequiredMemory()
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
