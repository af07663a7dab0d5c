package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of a token of generated prompts, in bytes.
const bytesPerToken = 4

// Arrival is a request to be sent at a scheduled time, which doesn't depend on the
// progress of other requests (an open-loop load).
type Arrival struct {
	Class *Class
	// At is the time since the start of the phase.
	At           time.Duration
	Organisation string
	// Seed is the seed of the prompt's text.
	Seed   uint64
	Tokens int
	// EntryIndex is the index of the entry to which the request is sent first.
	EntryIndex int
	// Duplicated makes the caller send the request twice at once.
	Duplicated bool
}

// Arrivals returns the arrivals of a phase in order of time. The arrivals of a
// class depend only on the settings' seed and the class, so that a phase with the
// background classes has the same foreground requests as one without them.
func Arrivals(settings Settings, background bool) []Arrival {
	var arrivals []Arrival
	for i := range settings.Classes {
		class := &settings.Classes[i]
		if class.Background && !background {
			continue
		}
		random := rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(class.Name))) //nolint:gosec // fixed seed
		arrivals = append(arrivals, classArrivals(settings, class, random)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

// classArrivals returns the arrivals of a class as a Poisson process.
func classArrivals(settings Settings, class *Class, random *rand.Rand) []Arrival {
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / class.PerSecond * float64(time.Second))
		if at >= settings.Duration {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{
			Class:        class,
			At:           at,
			Organisation: settings.Organisations[random.IntN(len(settings.Organisations))],
			Seed:         random.Uint64(),
			Tokens:       class.TokensMin + random.IntN(class.TokensMax-class.TokensMin+1),
			EntryIndex:   random.IntN(len(settings.Entries)),
			Duplicated:   class.Unrepeatable && random.Float64() < class.Duplicates,
		})
	}
}

// Prompt returns the prompt, a pseudo-random text that is unique to the arrival.
func (arrival Arrival) Prompt() string {
	const letters = "abcdefghijklmnopqrstuvwxyz012345"
	random := rand.New(rand.NewPCG(arrival.Seed, 1)) //nolint:gosec // fixed seed
	var prompt strings.Builder
	prompt.Grow(arrival.Tokens * bytesPerToken)
	for range arrival.Tokens {
		bits := random.Uint32()
		for range bytesPerToken - 1 {
			prompt.WriteByte(letters[bits%uint32(len(letters))])
			bits /= uint32(len(letters))
		}
		prompt.WriteByte(' ')
	}
	return prompt.String()
}
