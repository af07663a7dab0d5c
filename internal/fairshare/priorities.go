package fairshare

import (
	"maps"
	"math"
	"time"
)

const (
	// leastFraction is the share of the placed work that each priority gets while it has requests
	// queued, so that a lasting overload of more urgent requests doesn't starve it.
	leastFraction = 0.1
	// priorityWindow is the time constant of the moving averages of what was placed. It is shorter
	// than callers of the least urgent requests wait.
	priorityWindow = 4 * time.Second
	// mostUrgent is the most urgent priority.
	mostUrgent = 0
)

// Priorities has what the priorities got of a service recently. Its zero value has seen nothing.
type Priorities struct {
	// placed has the servers placed by priority, which decay with priorityWindow, as of updated.
	placed  map[int]float64
	updated time.Time
}

// WithPlacement returns the priorities after a request that takes the given number of servers was
// placed.
func (priorities Priorities) WithPlacement(priority int, servers float64, now time.Time) Priorities {
	placed := maps.Clone(priorities.placed)
	if placed == nil {
		placed = make(map[int]float64, 1)
	}
	decay := math.Exp(-now.Sub(priorities.updated).Seconds() / priorityWindow.Seconds())
	for known := range placed {
		placed[known] *= decay
	}
	placed[priority] += servers
	return Priorities{placed: placed, updated: now}
}

// Effective returns the priority by which a queued request is ordered: its own, or the most urgent
// one while its priority got less than its least share of what was placed. All averages decay alike,
// so the time since the last placement doesn't matter.
func (priorities Priorities) Effective(priority int) int {
	total := 0.0
	for _, servers := range priorities.placed {
		total += servers
	}
	if priorities.placed[priority] < leastFraction*total {
		return mostUrgent
	}
	return priority
}
