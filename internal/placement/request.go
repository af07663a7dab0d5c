package placement

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/fairshare"
)

// Request has the properties of a request that a policy uses.
type Request struct {
	// DataCentre is the data centre of the VM that received the request.
	DataCentre string
	// Engine is nil for a plain service.
	Engine *catalog.Engine
	// Tokens is the length of the prompt.
	Tokens int
	// Memory is the KV memory, in tokens, that the request takes when it ends.
	Memory int
	// InterTokenObjective is the longest pause between events of the answer that meets the
	// objective. ShortestInterTokenObjective is the shortest one among all kinds of request to the
	// service. Zero means none.
	InterTokenObjective         time.Duration
	ShortestInterTokenObjective time.Duration
	// Objective is the time within which the first event is due, and TimeToObjective what is left
	// of it. TimeToObjective is negative when the objective has been missed.
	Objective       time.Duration
	TimeToObjective time.Duration
	// TimeToCallerDeadline is how long the caller still waits for a first event.
	TimeToCallerDeadline time.Duration
	// QueuedPrefill is the total prefill time of all long prompts that are queued, of all VMs.
	QueuedPrefill time.Duration
	// Organisation is the one whose request it is. Policies don't use it: it is reported to the
	// other VMs with the request.
	Organisation fairshare.Organisation
	// Seed selects among servers that are equally good. Equal seeds mostly select the same server.
	Seed uint64
}

// Packable reports whether one server can prefill the whole prompt in one pass beside other streams
// without breaking the shortest inter-token objective of its service, with all slots of the engine
// taken by such requests. Packable requests are packed together and prefilled by one server. Other
// prompts are kept away from them and prefilled in parts.
//
// The shortest objective of the service counts, not only the request's own: with inter-token
// objectives of 200 and 350 ms, and prompts of 40 k tokens in the second class, prefilling such a
// prompt takes longer than 200 ms.
func (request Request) Packable() bool {
	if request.InterTokenObjective == 0 || request.Engine == nil {
		return false
	}
	objective := request.InterTokenObjective
	if request.ShortestInterTokenObjective > 0 {
		objective = min(objective, request.ShortestInterTokenObjective)
	}
	engine := request.Engine
	context := min(engine.Slots*request.Memory, engine.MemoryTokens)
	return engine.PassTime(engine.Slots, context)+engine.PrefillTime(request.Tokens) <= objective
}

// MinTTFT returns the shortest possible time from placing a request to its first event. It assumes
// that as many servers as possible prefill the prompt, or one if the request is packable.
func (request Request) MinTTFT() time.Duration {
	if request.Engine == nil {
		return 0
	}
	prefill := request.Engine.PrefillTime(request.Tokens)
	if !request.Packable() {
		prefill /= MaxParts
	}
	return prefill + request.Engine.PassTime(0, 0)
}
