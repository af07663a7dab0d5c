package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Division is the division of the servers of one service at one moment. Its zero value divides
// nothing, so that no organisation is over its share.
type Division struct {
	// used has what each organisation uses.
	used    map[Organisation]Use
	weights map[Organisation]float64
	// level is the share of an organisation of weight one, in servers. It is infinite while the use
	// of all organisations fits.
	level float64
	// placed has what was placed since the division.
	placed map[Organisation]Use
}

// Divide divides the capacity, in servers, among the organisations that use servers, by max-min
// fairness: each gets what it uses or, if that is more than an equal share, as much as any other per
// weight. What one leaves unused is divided among the others. The division keeps the maps.
//
// Queued requests don't count: one prompt may need several servers for a moment, and its
// organisation would look as if it needed them all the time.
func Divide(capacity float64, used map[Organisation]Use, weights map[Organisation]float64) Division {
	division := Division{used: used, weights: weights}
	division.level = division.fairLevel(capacity)
	return division
}

// weight returns the weight of an organisation.
func (division Division) weight(organisation Organisation) float64 {
	if weight, found := division.weights[organisation]; found {
		return weight
	}
	return 1
}

// entry is an organisation in the search for the level.
type entry struct {
	used, weight float64
}

// fairLevel returns the level at which the shares of all organisations add up to the capacity, or
// infinity if they use no more than that. It lets organisations that use less than an equal share
// keep their use, and divides what is left among the others, until all of these use more. That takes
// few rounds, however many organisations there are.
func (division Division) fairLevel(capacity float64) float64 {
	remaining := make([]entry, 0, len(division.used))
	totalWeight := 0.0
	for organisation, use := range division.used {
		weight := division.weight(organisation)
		remaining = append(remaining, entry{used: use.Total(), weight: weight})
		totalWeight += weight
	}
	for len(remaining) > 0 {
		level := capacity / totalWeight
		count := len(remaining)
		remaining = slices.DeleteFunc(remaining, func(entry entry) bool {
			if entry.used > level*entry.weight {
				return false
			}
			capacity -= entry.used
			totalWeight -= entry.weight
			return true
		})
		if len(remaining) == count {
			return level
		}
	}
	return math.Inf(1)
}

// use returns what an organisation uses, with what was placed since the division.
func (division Division) use(organisation Organisation) Use {
	return division.used[organisation].Plus(division.placed[organisation])
}

func (division Division) usedPerWeight(organisation Organisation) float64 {
	return division.use(organisation).Total() / division.weight(organisation)
}

// Level returns the share of an organisation of weight one, in servers. It is infinite while the use
// of all organisations fits.
func (division Division) Level() float64 {
	return division.level
}

// maxRatio is the largest ratio that is told apart. Without servers no organisation has a share.
const maxRatio = 1000

// Ratio returns the use of an organisation as a multiple of its share, at most maxRatio, or zero
// while there is no limit.
func (division Division) Ratio(organisation Organisation) float64 {
	used := division.usedPerWeight(organisation)
	if used == 0 || math.IsInf(division.level, 1) {
		return 0
	}
	return min(maxRatio, used/division.level)
}

// Excess returns the use of an organisation as a multiple of its share for requests of a length that
// are over it, else zero. The share of an organisation is divided between its short and its long
// requests by max-min fairness too: one long prompt takes the share of many short ones, which its
// organisation can go on sending.
func (division Division) Excess(organisation Organisation, length Length) float64 {
	ratio := division.Ratio(organisation)
	if ratio <= 1 {
		return 0
	}
	use := division.use(organisation)
	share := division.level * division.weight(organisation)
	if use.Of(length) <= max(share/lengths, share-use.Of(length.other())) {
		return 0
	}
	return ratio
}

// Over returns the organisations over their shares, those with the highest ratio first.
func (division Division) Over() []Organisation {
	over := make([]Organisation, 0, 1)
	for organisation := range division.used {
		if division.Ratio(organisation) > 1 {
			over = append(over, organisation)
		}
	}
	slices.SortFunc(over, func(a, b Organisation) int {
		return cmp.Or(cmp.Compare(division.Ratio(b), division.Ratio(a)), cmp.Compare(a, b))
	})
	return over
}

// WithPlaced returns the division after a request was placed that takes the given number of servers.
// The shares stay as they are.
func (division Division) WithPlaced(organisation Organisation, length Length, servers float64) Division {
	if division.used == nil || math.IsInf(division.level, 1) {
		return division // nobody has a limit
	}
	placed := maps.Clone(division.placed)
	if placed == nil {
		placed = make(map[Organisation]Use, 1)
	}
	placed[organisation] = placed[organisation].With(length, servers)
	division.placed = placed
	return division
}
