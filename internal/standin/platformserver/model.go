package platformserver

import "time"

// Model is the cost model of an engine, with the parameters of the published
// formulas. An engine computes in passes. A pass in which any request decodes has
// StepsPerPass steps, any other has one.
type Model struct {
	// Slots is the maximum number of concurrent requests, and MemoryTokens the
	// size of the KV memory in tokens.
	Slots        int
	MemoryTokens int
	// StepsPerPass is the number of steps of a pass with decoding requests, and
	// ChunkTokens the maximum number of prefill tokens per step.
	StepsPerPass int
	ChunkTokens  int
	// StepTime is the base time of a step, StepTimePerRequest its additional time
	// for each decoding request, and StepTimePerThousandTokens its additional time
	// for each thousand context tokens of those.
	StepTime                  time.Duration
	StepTimePerRequest        time.Duration
	StepTimePerThousandTokens time.Duration
	// PrefillTokensPerSecond is the linear part of the prefill speed, and
	// TimePerMillionPairs the quadratic part of the prefill time: the time for a
	// million pairs of a token and an earlier token.
	PrefillTokensPerSecond float64
	TimePerMillionPairs    time.Duration
	// RemoteMemoryStepTime is the additional time of a step for each decoding
	// request whose memory is spread over several engines.
	RemoteMemoryStepTime time.Duration
	// StallTimeout is the time without progress after which a request is aborted
	// if one of its engines has been killed.
	StallTimeout time.Duration
}

// ProductionModel returns the cost model of the engines in the users' deployments.
func ProductionModel() Model {
	return Model{
		Slots: 16, MemoryTokens: 232_000, StepsPerPass: 43, ChunkTokens: 2048,
		StepTime: 1020 * time.Microsecond, StepTimePerRequest: 2260 * time.Nanosecond, StepTimePerThousandTokens: 4310 * time.Nanosecond,
		PrefillTokensPerSecond: 206_000, TimePerMillionPairs: 138 * time.Microsecond,
		RemoteMemoryStepTime: 75 * time.Microsecond, StallTimeout: 1500 * time.Millisecond,
	}
}

// Units of the model's parameters.
const (
	thousand = 1e3
	million  = 1e6
)

// prefillTime returns the time to process the tokens of a part of a prompt in the
// range [from, to). pairsShare scales the number of token pairs, since the tokens
// of a part also pair with those of other parts.
func (model Model) prefillTime(from, to int, pairsShare float64) time.Duration {
	linear := float64(to-from) / model.PrefillTokensPerSecond * float64(time.Second)
	pairs := (float64(to)*float64(to) - float64(from)*float64(from)) / 2
	return time.Duration(linear + pairsShare*pairs/million*float64(model.TimePerMillionPairs))
}

// decodeStepTime returns the time of a step for decoding requests with the given
// context lengths in tokens.
func (model Model) decodeStepTime(contexts []int) time.Duration {
	total := 0
	for _, context := range contexts {
		total += context
	}
	return model.StepTime + time.Duration(len(contexts))*model.StepTimePerRequest +
		time.Duration(float64(total)/thousand*float64(model.StepTimePerThousandTokens))
}
