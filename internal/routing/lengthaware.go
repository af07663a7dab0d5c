package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mastwinch/mastwinch/internal/rendezvous"
)

// LengthAwareSettings tune LengthAware.
type LengthAwareSettings struct {
	// LongTokens is the length from which on a prompt counts as long.
	LongTokens int `yaml:"long_tokens" validate:"min=1"`
	// LongShare is the part of the engines that long prompts may use.
	LongShare float64 `yaml:"long_share" validate:"gt=0,max=1"`
	// Choices is how many engines are compared for a short prompt.
	Choices int `yaml:"choices" validate:"min=1,max=64"`
	// LongPenalty is how much a queued token of a long prompt weighs against
	// a short one, beside a queued token of a short prompt.
	LongPenalty float64 `yaml:"long_penalty" validate:"min=0"`
	// PrefillTokensPerSecond is what an engine computes, to tell whether a
	// stated time can still be met.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" validate:"gt=0"`
}

// DefaultLengthAwareSettings returns settings for the stand-ins' cost model.
func DefaultLengthAwareSettings() LengthAwareSettings {
	return LengthAwareSettings{
		LongTokens:             32 << 10,
		LongShare:              0.4,
		Choices:                3,
		LongPenalty:            0.25,
		PrefillTokensPerSecond: 200_000,
	}
}

var _ Policy = LengthAware{}

// LengthAware keeps long prompts to a part of the engines, and sends short
// ones to the best of a few.
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
	return lengthaware.long(servers, request)
}

func (lengthaware LengthAware) short(servers []Server, request Request, random *rand.Rand) Decision {
	if !fitsOne(servers, request) {
		return refuse(RefusalTooLong, fmt.Sprintf("%d tokens fit no engine", request.Need()))
	}
	best := servers[random.IntN(len(servers))]
	for range lengthaware.settings.Choices - 1 {
		other := servers[random.IntN(len(servers))]
		if lengthaware.betterForShort(other, best, request) {
			best = other
		}
	}
	if !lengthaware.inTime(best.QueuedShort, request) {
		return refuse(RefusalNoTime, fmt.Sprintf("%d short tokens are queued", best.QueuedShort))
	}
	return choose(best, fmt.Sprintf("best of %d for a short prompt", lengthaware.settings.Choices))
}

// betterForShort prefers an engine with memory for the request, and then the
// one that computes its first token sooner.
func (lengthaware LengthAware) betterForShort(a, b Server, request Request) bool {
	aFits, bFits := a.Free >= request.Need(), b.Free >= request.Need()
	if aFits != bFits {
		return aFits
	}
	return lengthaware.waitForShort(a) < lengthaware.waitForShort(b)
}

func (lengthaware LengthAware) waitForShort(server Server) float64 {
	return float64(server.QueuedShort) +
		lengthaware.settings.LongPenalty*float64(server.QueuedLong) +
		float64(server.Outstanding)
}

func (lengthaware LengthAware) long(servers []Server, request Request) Decision {
	set := lengthaware.longSet(servers, request.Model)
	if !fitsOne(set, request) {
		if decision := groupFor(set, request); decision.Refusal == RefusalNone {
			return decision
		}
		return groupFor(servers, request)
	}
	best := set[0]
	for _, server := range set[1:] {
		if betterForLong(server, best, request) {
			best = server
		}
	}
	if !lengthaware.inTime(best.QueuedLong, request) {
		return refuse(RefusalNoTime, fmt.Sprintf("%d long tokens are queued", best.QueuedLong))
	}
	decision := choose(best, fmt.Sprintf("least long work among %d engines", len(set)))
	decision.Long = true
	return decision
}

func betterForLong(a, b Server, request Request) bool {
	aFits, bFits := a.Free >= request.Need(), b.Free >= request.Need()
	if aFits != bFits {
		return aFits
	}
	return a.QueuedLong < b.QueuedLong
}

// longSet returns the engines that long prompts may use: the same at every
// entry that knows the same engines.
func (lengthaware LengthAware) longSet(servers []Server, model string) []Server {
	byID := make(map[string]Server, len(servers))
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		byID[server.ID] = server
		ids = append(ids, server.ID)
	}
	size := max(1, int(float64(len(ids))*lengthaware.settings.LongShare))
	set := make([]Server, 0, size)
	for _, id := range rendezvous.Order("long/"+model, ids)[:size] {
		set = append(set, byID[id])
	}
	return set
}

// inTime reports whether the prompt can be computed behind what is queued.
func (lengthaware LengthAware) inTime(queued int, request Request) bool {
	seconds := float64(queued+request.Tokens) / lengthaware.settings.PrefillTokensPerSecond
	return time.Duration(seconds*float64(time.Second)) < request.TimeLeft
}
