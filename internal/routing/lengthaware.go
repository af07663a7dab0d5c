package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// LengthAwareSettings tune LengthAware.
type LengthAwareSettings struct {
	// LongTokens is the length from which on a prompt counts as long.
	LongTokens int `yaml:"long_tokens" validate:"min=1"`
	// LongShare is the largest part of the engines that long prompts may
	// use while each of them fits one engine.
	LongShare float64 `yaml:"long_share" validate:"gt=0,max=1"`
	// LongBacklog is the queued tokens of long prompts, for each engine that
	// they use, above which they may use one more.
	LongBacklog int `yaml:"long_backlog" validate:"min=1"`
	// Choices is how many engines are compared for a short prompt.
	Choices int `yaml:"choices" validate:"min=1,max=64"`
	// QuietMargin is how many more engines short prompts avoid, so that they
	// are done when the set for long prompts grows.
	QuietMargin int `yaml:"quiet_margin" validate:"min=0"`
	// StepTokens is how long a short prompt waits for the step in progress
	// of an engine that computes long ones, in tokens of prompt.
	StepTokens int `yaml:"step_tokens" validate:"min=0"`
	// PrefillTokensPerSecond is what an engine is taken to compute until its
	// answers have shown it.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" validate:"gt=0"`
}

// DefaultLengthAwareSettings returns settings for the stand-ins' cost model.
func DefaultLengthAwareSettings() LengthAwareSettings {
	return LengthAwareSettings{
		LongTokens:             16 << 10,
		LongShare:              0.6,
		LongBacklog:            100_000,
		Choices:                4,
		QuietMargin:            2,
		StepTokens:             8 << 10,
		PrefillTokensPerSecond: 200_000,
	}
}

// prefillPart is the part of the stated time within which the prompt must be
// computed for a request to be taken on.
const prefillPart = 0.7

// samplesPerChoice bounds how many engines are looked at for each choice.
const samplesPerChoice = 8

var _ Policy = LengthAware{}

// LengthAware keeps long prompts to as few engines as their backlog needs, and
// sends short ones to the best of a few of the others.
type LengthAware struct {
	settings LengthAwareSettings
}

// NewLengthAware returns the policy.
func NewLengthAware(settings LengthAwareSettings) LengthAware {
	return LengthAware{settings: settings}
}

// Decide implements Policy.
func (lengthaware LengthAware) Decide(snapshot Snapshot, request Request, random *rand.Rand) Decision {
	if request.Tokens < lengthaware.settings.LongTokens {
		if best := lengthaware.short(snapshot, &request, random); best != nil {
			return lengthaware.chooseShort(best, &request)
		}
	}
	servers := usable(snapshot, &request)
	switch {
	case len(servers) == 0:
		return refuse(RefusalNoServer, "no server has the model")
	case !fitsOne(servers, request):
		return groupFor(servers, request)
	case request.Tokens < lengthaware.settings.LongTokens:
		best := slices.MinFunc(servers, func(a, b Server) int { return lengthaware.compareForShort(&a, &b, &request) })
		return lengthaware.chooseShort(&best, &request)
	default:
		return lengthaware.long(servers, request, snapshot.LongBacklog)
	}
}

func (lengthaware LengthAware) chooseShort(best *Server, request *Request) Decision {
	if !lengthaware.inTime(best, best.QueuedShort, request) {
		return refuse(RefusalNoTime, fmt.Sprintf("%d short tokens are queued", best.QueuedShort))
	}
	if best.QueuedLong > 0 {
		return choose(*best, "best of a few")
	}
	return choose(*best, "best of a few without long work")
}

// short returns the best of a few engines that long prompts do not use, unless
// one of all engines is better even so. It returns nil when it happened on none
// that may be used and has the memory; then all are looked at.
func (lengthaware LengthAware) short(snapshot Snapshot, request *Request, random *rand.Rand) *Server {
	firstQuiet := lengthaware.firstQuietRank(snapshot)
	best := lengthaware.sample(snapshot, request, random, firstQuiet)
	if best == nil || lengthaware.waitForShort(best) > lengthaware.settings.StepTokens {
		other := lengthaware.sample(snapshot, request, random, 0)
		if best == nil || other != nil && lengthaware.compareForShort(other, best, request) < 0 {
			best = other
		}
	}
	if best == nil || best.Memory*groupFill/percent < request.Need() {
		return nil
	}
	return best
}

// sample returns the best of a few servers at random, of those from a rank on.
// If the rank is above zero they have no long work. The best of all would draw
// all entries to the same engine at once.
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

// compareForShort puts an engine with memory for the request first, and then
// the one that computes its first token sooner.
func (lengthaware LengthAware) compareForShort(a, b *Server, request *Request) int {
	if fits(a, request) != fits(b, request) {
		return compareTrueFirst(fits(a, request), fits(b, request))
	}
	return cmp.Compare(lengthaware.waitForShort(a), lengthaware.waitForShort(b))
}

// waitForShort is what a short prompt waits for, in tokens of prompt. Engines
// put it before long prompts, so of those it waits for one step at most.
func (lengthaware LengthAware) waitForShort(server *Server) int {
	wait := server.QueuedShort + server.Outstanding
	if server.QueuedLong > 0 {
		wait += lengthaware.settings.StepTokens
	}
	return wait
}

// long takes the engine with least long work in the set for long prompts.
func (lengthaware LengthAware) long(servers []Server, request Request, backlog int) Decision {
	set := slices.SortedFunc(slices.Values(servers), func(a, b Server) int {
		return cmp.Compare(a.LongRank, b.LongRank)
	})[:lengthaware.setSize(len(servers), backlog)]
	best := slices.MinFunc(set, func(a, b Server) int {
		return cmp.Or(
			compareTrueFirst(fits(&a, &request), fits(&b, &request)),
			cmp.Compare(a.QueuedLong, b.QueuedLong),
			cmp.Compare(a.ID, b.ID),
		)
	})
	if !lengthaware.inTime(&best, best.QueuedLong, &request) {
		return refuse(RefusalNoTime, fmt.Sprintf("%d long tokens are queued", best.QueuedLong))
	}
	decision := choose(best, fmt.Sprintf("least long work among %d engines", len(set)))
	decision.Long = true
	return decision
}

// setSize is how many engines long prompts may use now: as many as their
// backlog needs, and the same at every entry that sees the same backlog.
func (lengthaware LengthAware) setSize(servers, backlog int) int {
	most := max(1, int(float64(servers)*lengthaware.settings.LongShare))
	return min(most, 1+backlog/lengthaware.settings.LongBacklog)
}

// firstQuietRank returns the lowest rank of engines that short prompts do not
// avoid: at least half of all. A long prompt that another entry has just sent
// shows late in the reports, but it went to an engine of the set.
func (lengthaware LengthAware) firstQuietRank(snapshot Snapshot) int {
	servers := len(snapshot.Servers)
	size := lengthaware.setSize(servers, snapshot.LongBacklog) + lengthaware.settings.QuietMargin
	return min(size, servers/2)
}

// inTime reports whether the prompt can be computed behind what is queued, with
// part of the time left for the answer.
func (lengthaware LengthAware) inTime(server *Server, queued int, request *Request) bool {
	rate := server.PrefillRate
	if rate == 0 || queued == 0 {
		// A server with nothing to do is tried again, however slow it was.
		rate = max(rate, lengthaware.settings.PrefillTokensPerSecond)
	}
	seconds := float64(queued+request.Tokens) / rate
	return seconds < prefillPart*request.TimeLeft.Seconds()
}

func fits(server *Server, request *Request) bool {
	return server.Free >= request.Need()
}

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
