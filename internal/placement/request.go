package placement

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
)

// Request is what a decision needs to know of a request.
type Request struct {
	// DataCentre is where the request is.
	DataCentre string
	// Engine is nil for a plain service.
	Engine *catalog.Engine
	// Tokens is the length of the prompt.
	Tokens int
	// Memory is the KV memory that the request needs when it ends, in tokens.
	Memory int
	// Gap is the longest pause between events that is in time, and ShortestGap the
	// shortest such pause among all kinds of request to the service.
	Gap         time.Duration
	ShortestGap time.Duration
	// Objective is the time within which a first event is in time, and Left
	// what is left of it. Left may be negative.
	Objective time.Duration
	Left      time.Duration
	// Stays is how long the caller still waits for a first event.
	Stays time.Duration
	// Waiting is the reading of all long prompts that wait for servers, at all VMs.
	Waiting time.Duration
	// Seed is what a policy that chooses at random goes by.
	Seed uint64
}

// Tight reports whether the request is read beside others without making the shortest
// pause at its service too long: whole, by an engine that writes for as many of its like as
// it has slots. Such requests are packed together and read by one server; others are kept
// off them and read in parts. What counts is what a prompt costs the engine against what
// the pauses there bear, not its own pause: with pauses of 200 and 350 ms and 40 k tokens
// behind the second one, those take longer to read than the first one lasts.
func (request Request) Tight() bool {
	if request.Gap == 0 || request.Engine == nil {
		return false
	}
	gap := request.Gap
	if request.ShortestGap > 0 {
		gap = min(gap, request.ShortestGap)
	}
	engine := request.Engine
	context := min(engine.Slots*request.Memory, engine.MemoryTokens)
	return engine.PassTime(engine.Slots, context)+engine.ReadTime(request.Tokens) <= gap
}

// Least is the shortest time from placing a request to its first event: read by as many
// servers as engines let read one prompt, or by one if it is tight.
func (request Request) Least() time.Duration {
	if request.Engine == nil {
		return 0
	}
	work := request.Engine.ReadTime(request.Tokens)
	if !request.Tight() {
		work /= MaxParts
	}
	return work + request.Engine.PassTime(0, 0)
}
