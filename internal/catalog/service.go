package catalog

import "time"

// Service is a group of equivalent backend servers.
type Service struct {
	Name string
	// MaxConnections is the largest number of connections from all VMs together to one server.
	MaxConnections int
	// ColdPerSecond is the number of requests per second from all VMs together that one server
	// accepts while it is cold, that is for some time after its start. Zero is no limit.
	ColdPerSecond float64
	// ProbePath is the path of a GET request that a server responds to at once and that runs nothing, or empty
	// if there is none.
	ProbePath string
	// ShortestInterTokenObjective is the shortest InterTokenObjective of the routes to the service,
	// or zero if none has one. New sets it.
	ShortestInterTokenObjective time.Duration
	// FirstPriority and LastPriority are the priorities of the most and the least urgent routes to
	// the service. New sets them.
	FirstPriority int
	LastPriority  int
	// Engine describes the service's model engines. It is nil for a service without engines.
	Engine *Engine
}

// Engine is the performance model of a service's model engines. An engine works in passes over all
// its requests. A pass in which any request decodes has StepsPerPass steps.
type Engine struct {
	// Slots is the number of requests that one engine works on at the same time.
	Slots int
	// MemoryTokens is the size of one engine's KV memory in tokens.
	MemoryTokens int
	// StepsPerPass is the number of steps of a pass with decoding requests.
	StepsPerPass int
	// StepTime is the base time of a step, and StepTimePerRequest its additional time for each
	// decoding request.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// StepTimePerThousandTokens is the additional time of a step for each thousand context tokens
	// of the decoding requests.
	StepTimePerThousandTokens time.Duration
	// PrefillTokensPerSecond is the linear part of the prefill speed in prompt tokens per second.
	PrefillTokensPerSecond float64
	// TimePerMillionPairs is the quadratic part of the prefill time: the time for a million pairs
	// of a token and an earlier one.
	TimePerMillionPairs time.Duration
}

// million is the number of pairs that TimePerMillionPairs is for.
const million = 1e6

// PrefillTime returns the prefill time of a prompt on an otherwise idle engine.
func (engine *Engine) PrefillTime(tokens int) time.Duration {
	length := float64(tokens)
	linear := length / engine.PrefillTokensPerSecond * float64(time.Second)
	pairs := length * length / 2 / million * float64(engine.TimePerMillionPairs)
	return time.Duration(linear + pairs)
}

// thousand is the number of tokens that StepTimePerThousandTokens is for.
const thousand = 1e3

// PassTime returns the time of a decode pass without prefill, for the given numbers of decoding
// requests and of context tokens of all of them together.
func (engine *Engine) PassTime(requests, context int) time.Duration {
	step := float64(engine.StepTime) + float64(requests)*float64(engine.StepTimePerRequest) +
		float64(context)/thousand*float64(engine.StepTimePerThousandTokens)
	return time.Duration(float64(engine.StepsPerPass) * step)
}
