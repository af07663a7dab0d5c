package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of a token of the prompts made here.
const bytesPerToken = 4

// Arrival is one request to be sent, at a moment that does not depend on how
// the others fare.
type Arrival struct {
	Class        *Class
	At           time.Duration
	Organisation string
	// Seed makes the prompt.
	Seed   uint64
	Tokens int
	// Entry is where the request is sent first.
	Entry int
	// Duplicated says that it is sent twice.
	Duplicated bool
}

// Arrivals returns the arrivals of a phase in order. A class has the same ones
// whether or not others take part.
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

// classArrivals returns a Poisson process.
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
			Entry:        random.IntN(len(settings.Entries)),
			Duplicated:   class.Unrepeatable && random.Float64() < class.Duplicates,
		})
	}
}

// Prompt returns the prompt of the arrival: text that no other has.
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
