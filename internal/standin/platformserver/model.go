package platformserver

import "time"

// Model is how an engine works, by the published formulas.
type Model struct {
	// Slots is how many requests it works on at once, and Memory its tokens.
	Slots  int
	Memory int
	// Stride is the steps of a pass with writers, and Chunk the most tokens that
	// are read in one step.
	Stride int
	Chunk  int
	// Step is what a step takes, Writer what each request that writes adds to it,
	// and Context what a thousand tokens of its context add.
	Step    time.Duration
	Writer  time.Duration
	Context time.Duration
	// ReadPerSecond is the tokens read in a second, and PairsPerMillion the time
	// for a million pairs of a token and one before it.
	ReadPerSecond   float64
	PairsPerMillion time.Duration
	// Hop is what each step adds for a request whose memory lies at several
	// engines.
	Hop time.Duration
	// Stall is how long a request stands still whose helper died.
	Stall time.Duration
}

// UsersModel returns the engine of the users' deployments.
func UsersModel() Model {
	return Model{
		Slots: 16, Memory: 232_000, Stride: 43, Chunk: 2048,
		Step: 1020 * time.Microsecond, Writer: 2260 * time.Nanosecond, Context: 4310 * time.Nanosecond,
		ReadPerSecond: 206_000, PairsPerMillion: 138 * time.Microsecond,
		Hop: 75 * time.Microsecond, Stall: 1500 * time.Millisecond,
	}
}

const (
	thousand = 1e3
	million  = 1e6
)

// readTime is how long it takes to read the tokens of a prompt from one to
// another, for a part that has that share of the prompt's pairs.
func (model Model) readTime(from, to int, pairsShare float64) time.Duration {
	linear := float64(to-from) / model.ReadPerSecond * float64(time.Second)
	pairs := (float64(to)*float64(to) - float64(from)*float64(from)) / 2
	return time.Duration(linear + pairsShare*pairs/million*float64(model.PairsPerMillion))
}

// stepTime is how long a step takes for writers with these contexts, in tokens.
func (model Model) stepTime(contexts []int) time.Duration {
	total := 0
	for _, context := range contexts {
		total += context
	}
	return model.Step + time.Duration(len(contexts))*model.Writer +
		time.Duration(float64(total)/thousand*float64(model.Context))
}
