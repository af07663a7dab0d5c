package catalog

import "time"

// Service is a group of like backend servers.
type Service struct {
	Name string
	// MaxConnections is how many connections one server takes from all VMs
	// together.
	MaxConnections int
	// ColdPerSecond is how many requests a second one server takes from all VMs together while it is cold, or zero for as
	// many as ever.
	ColdPerSecond float64
	// ShortestGap is the shortest pause between events that is in time among the routes
	// to the service, or zero when none states one. New reckons it.
	ShortestGap time.Duration
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine says how the model engines of a service work. A pass goes over all
// requests at once; a pass in which any request writes has Stride steps.
type Engine struct {
	// Slots is how many requests an engine works on at once.
	Slots int
	// MemoryTokens is the KV memory of one engine.
	MemoryTokens int
	// Stride is the steps of a pass with writers.
	Stride int
	// Step is what each step takes, and PerRequest what it takes more for each request
	// that is written.
	Step       time.Duration
	PerRequest time.Duration
	// PerThousand is what a step takes more for each thousand tokens of the context of
	// those that are written.
	PerThousand time.Duration
	// ReadPerSecond is the prompt tokens read in a second, pairs not counted.
	ReadPerSecond float64
	// PairsPerMillion is the time for a million pairs of a token and one
	// before it.
	PairsPerMillion time.Duration
}

// million scales the price of pairs.
const million = 1e6

// ReadTime is how long an engine that does nothing else reads a prompt.
func (engine *Engine) ReadTime(tokens int) time.Duration {
	length := float64(tokens)
	linear := length / engine.ReadPerSecond * float64(time.Second)
	pairs := length * length / 2 / million * float64(engine.PairsPerMillion)
	return time.Duration(linear + pairs)
}

// thousand scales the price of context.
const thousand = 1e3

// PassTime is how long a pass with writers takes when nothing is read, beside so many
// requests with so many tokens of context together.
func (engine *Engine) PassTime(requests, context int) time.Duration {
	step := float64(engine.Step) + float64(requests)*float64(engine.PerRequest) +
		float64(context)/thousand*float64(engine.PerThousand)
	return time.Duration(float64(engine.Stride) * step)
}
