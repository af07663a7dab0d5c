package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
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
	// PrefillTokensPerSecond is what an engine computes, to tell whether a
	// stated time can still be met.
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
	servers := usable(snapshot, request)
	if len(servers) == 0 {
		return refuse(RefusalNoServer, "no server has the model")
	}
	if request.Tokens < lengthaware.settings.LongTokens {
		return lengthaware.short(servers, request, random)
	}
	if !fitsOne(servers, request) {
		return groupFor(servers, request)
	}
	return lengthaware.long(servers, request)
}

// short takes the best of a few engines without long work, unless an engine
// with long work is better even so.
func (lengthaware LengthAware) short(servers []Server, request Request, random *rand.Rand) Decision {
	if !fitsOne(servers, request) {
		return refuse(RefusalTooLong, fmt.Sprintf("%d tokens fit no engine", request.Need()))
	}
	firstFree := lengthaware.rankAfterSet(servers)
	best := lengthaware.sample(servers, request, random, func(server Server) bool {
		return server.QueuedLong == 0 && server.LongRank >= firstFree
	})
	reason := "best of a few without long work"
	if best < 0 || lengthaware.waitForShort(servers[best]) > lengthaware.settings.StepTokens {
		any := lengthaware.sample(servers, request, random, func(Server) bool { return true })
		if best < 0 || lengthaware.betterForShort(servers[any], servers[best], request) {
			best = any
			reason = "best of a few"
		}
	}
	if !lengthaware.inTime(servers[best].QueuedShort, request) {
		return refuse(RefusalNoTime, fmt.Sprintf("%d short tokens are queued", servers[best].QueuedShort))
	}
	return choose(servers[best], reason)
}

// sample returns the index of the best of a few servers at random that may be
// taken, or -1 if it met none. The best of all would draw all entries to the
// same engine at once.
func (lengthaware LengthAware) sample(
	servers []Server, request Request, random *rand.Rand, may func(Server) bool,
) int {
	best := -1
	found := 0
	for range lengthaware.settings.Choices * samplesPerChoice {
		i := random.IntN(len(servers))
		if !may(servers[i]) {
			continue
		}
		if best < 0 || lengthaware.betterForShort(servers[i], servers[best], request) {
			best = i
		}
		found++
		if found == lengthaware.settings.Choices {
			break
		}
	}
	return best
}

// betterForShort prefers an engine with memory for the request, and then the
// one that computes its first token sooner.
func (lengthaware LengthAware) betterForShort(a, b Server, request Request) bool {
	if fits(a, request) != fits(b, request) {
		return fits(a, request)
	}
	return lengthaware.waitForShort(a) < lengthaware.waitForShort(b)
}

// waitForShort is what a short prompt waits for, in tokens of prompt. Engines
// put it before long prompts, so of those it waits for one step at most.
func (lengthaware LengthAware) waitForShort(server Server) int {
	wait := server.QueuedShort + server.Outstanding
	if server.QueuedLong > 0 {
		wait += lengthaware.settings.StepTokens
	}
	return wait
}

// long takes the engine with least long work in the set for long prompts.
func (lengthaware LengthAware) long(servers []Server, request Request) Decision {
	set := lengthaware.longSet(servers)
	best := slices.MinFunc(set, func(a, b Server) int {
		if fits(a, request) != fits(b, request) {
			return compareTrueFirst(fits(a, request), fits(b, request))
		}
		return cmp.Or(cmp.Compare(a.QueuedLong, b.QueuedLong), cmp.Compare(a.ID, b.ID))
	})
	if !lengthaware.inTime(best.QueuedLong, request) {
		return refuse(RefusalNoTime, fmt.Sprintf("%d long tokens are queued", best.QueuedLong))
	}
	decision := choose(best, fmt.Sprintf("least long work among %d engines", len(set)))
	decision.Long = true
	return decision
}

// longSet returns the engines that long prompts may use: as many as their
// backlog needs, and the same at every entry that sees the same backlog.
func (lengthaware LengthAware) longSet(servers []Server) []Server {
	set := slices.SortedFunc(slices.Values(servers), func(a, b Server) int {
		return cmp.Compare(a.LongRank, b.LongRank)
	})
	return set[:lengthaware.setSize(servers)]
}

// setSize is how many engines long prompts may use now.
func (lengthaware LengthAware) setSize(servers []Server) int {
	backlog := 0
	for i := range servers {
		backlog += servers[i].QueuedLong
	}
	most := max(1, int(float64(len(servers))*lengthaware.settings.LongShare))
	return min(most, 1+backlog/lengthaware.settings.LongBacklog)
}

// rankAfterSet returns the lowest rank of engines that short prompts do not
// avoid: at least half of all. A long prompt that another entry has just sent shows late in the
// reports, but it went to an engine of the set.
func (lengthaware LengthAware) rankAfterSet(servers []Server) int {
	ranks := make([]int, 0, len(servers))
	for i := range servers {
		ranks = append(ranks, servers[i].LongRank)
	}
	slices.Sort(ranks)
	size := lengthaware.setSize(servers) + lengthaware.settings.QuietMargin
	return ranks[min(size, len(ranks)/2)]
}

// inTime reports whether the prompt can be computed behind what is queued.
func (lengthaware LengthAware) inTime(queued int, request Request) bool {
	seconds := float64(queued+request.Tokens) / lengthaware.settings.PrefillTokensPerSecond
	return time.Duration(seconds*float64(time.Second)) < request.TimeLeft
}

func fits(server Server, request Request) bool {
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
