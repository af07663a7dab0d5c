package platformserver

import "time"

// Model is the cost model of an engine, with the parameters of the published
// formulas. An engine computes in passes. A pass in which any request decodes has
// StepsPerPass steps, any other has one.
type Model struct {
	// Slots is the maximum number of concurrent requests, and MemoryTokens the
	// size of the KV memory in tokens.
	Slots  int
	Memory int
	// StepsPerPass is the number of steps of a pass with decoding requests, and
	// ChunkTokens the maximum number of prefill tokens per step.
	Stride int
	Chunk  int
	// StepTime is the base time of a step, StepTimePerRequest its additional time
	// for each decoding request, and StepTimePerThousandTokens its additional time
	// for each thousand context tokens of those.
	Step    time.Duration
	Writer  time.Duration
	Context time.Duration
	// PrefillTokensPerSecond is the linear part of the prefill speed, and
	// TimePerMillionPairs the quadratic part of the prefill time: the time for a
	// million pairs of a token and an earlier token.
	ReadPerSecond   float64
	PairsPerMillion time.Duration
	// RemoteMemoryStepTime is the additional time of a step for each decoding
	// request whose memory is spread over several engines.
	Hop time.Duration
	// StallTimeout is the time without progress after which a request is aborted
	// if one of its engines has been killed.
	Stall time.Duration
}

// ProductionModel returns the cost model of the engines in the users' deployments.
func UsersModel() Model {
	return Model{
		Slots: 16, Memory: 232_000, Stride: 43, Chunk: 2048,
		Step: 1020 * time.Microsecond, Writer: 2260 * time.Nanosecond, Context: 4310 * time.Nanosecond,
		ReadPerSecond: 206_000, PairsPerMillion: 138 * time.Microsecond,
		Hop: 75 * time.Microsecond, Stall: 1500 * time.Millisecond,
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
func (model Model) readTime(from, to int, pairsShare float64) time.Duration {
	linear := float64(to-from) / model.ReadPerSecond * float64(time.Second)
	pairs := (float64(to)*float64(to) - float64(from)*float64(from)) / 2
	return time.Duration(linear + pairsShare*pairs/million*float64(model.PairsPerMillion))
}

// decodeStepTime returns the time of a step for decoding requests with the given
// context lengths in tokens.
func (model Model) stepTime(contexts []int) time.Duration {
	total := 0
	for _, context := range contexts {
		total += context
	}
	return model.Step + time.Duration(len(contexts))*model.Writer +
		time.Duration(float64(total)/thousand*float64(model.Context))
}
