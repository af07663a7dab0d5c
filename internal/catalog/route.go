package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Kind says what may be done with requests of a route.
type Kind string

// Kinds of route.
const (
	// KindStream answers with a series of events.
	KindStream Kind = "stream"
	// KindRepeatable may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindOnce runs at most once.
	KindOnce Kind = "once"
)

// Route says how requests to a part of a host are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a request is held.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is in time.
	Objective time.Duration
	// Gap is the longest pause between events of a stream that is in time.
	Gap time.Duration
	// Priority is the rank of the route, zero being the most urgent.
	Priority int
	// MaxAttempts is the most servers that may run one request.
	MaxAttempts int
	// Anonymous says that requests need no key.
	Anonymous bool
	// Resumable says that a stream may go on at another server.
	Resumable bool
	Regions   Regions
	// Targets is never empty.
	Targets []Target
}

// Target is one service that gets a part of the requests of a route.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run again after it may have run.
func (route *Route) Repeatable() bool {
	return route.Kind == KindRepeatable || (route.Kind == KindStream && route.Resumable)
}

// Target returns the service for a number from zero up to one.
func (route *Route) Target(fraction float64) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	left := int(fraction * float64(total))
	for _, target := range route.Targets {
		left -= target.Weight
		if left < 0 {
			return target.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}

// shortestGap is the shortest pause that is in time among the routes to a service, or zero.
func shortestGap(routes []Route, service string) time.Duration {
	var shortest time.Duration
	for i := range routes {
		route := &routes[i]
		leads := slices.ContainsFunc(route.Targets, func(target Target) bool { return target.Service == service })
		if leads && route.Gap > 0 && (shortest == 0 || route.Gap < shortest) {
			shortest = route.Gap
		}
	}
	return shortest
}

func sortByPrefix(routes []*Route) {
	slices.SortStableFunc(routes, func(a, b *Route) int {
		return cmp.Compare(len(b.Prefix), len(a.Prefix))
	})
}
