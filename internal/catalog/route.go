package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the delivery guarantee of a route's requests.
type Kind string

// Values of Kind.
const (
	// KindStream requests are answered by a stream of events.
	KindStream Kind = "stream"
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
)

// Route configures the requests to one path prefix of a host.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which the gateway keeps a request.
	Timeout time.Duration
	// Objective is the objective for the time to the response or, for a stream, to its first event.
	Objective time.Duration
	// InterTokenObjective is the longest time between two events of a stream that meets the
	// objective, or zero for none.
	InterTokenObjective time.Duration
	// Priority is the priority of the route's requests. Zero is the most urgent.
	Priority int
	// MaxAttempts is the largest number of servers that may run one request.
	MaxAttempts int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// Resumable is set if another server may resume a stream.
	Resumable bool
	Regions   Regions
	// Targets are the services that share the requests by weight. At least one is set.
	Targets []Target
}

// Target is a service that gets a fraction of the requests of a route.
type Target struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may run again after an attempt whose outcome is unknown.
func (route *Route) Repeatable() bool {
	return route.Kind == KindRepeatable || (route.Kind == KindStream && route.Resumable)
}

// Target returns the name of the service for a uniformly distributed number from zero up to, but
// not including, one.
func (route *Route) Target(fraction float64) string {
	totalWeight := 0.0
	for _, target := range route.Targets {
		totalWeight += target.Weight
	}
	remaining := fraction * totalWeight
	for _, target := range route.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			return target.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}

// targets reports whether the route sends requests to a service.
func (route *Route) targets(service string) bool {
	return slices.ContainsFunc(route.Targets, func(target Target) bool { return target.Service == service })
}

// priorities returns the priorities of the most and the least urgent routes to a service, or zeros
// if there is no route.
func priorities(routes []Route, service string) (first, last int) {
	found := false
	for i := range routes {
		priority := routes[i].Priority
		if !routes[i].targets(service) {
			continue
		}
		if !found {
			first, last = priority, priority
		}
		found = true
		first, last = min(first, priority), max(last, priority)
	}
	return first, last
}

// shortestInterTokenObjective returns the shortest InterTokenObjective of the routes to a service,
// or zero if none has one.
func shortestInterTokenObjective(routes []Route, service string) time.Duration {
	var shortest time.Duration
	for i := range routes {
		route := &routes[i]
		if route.targets(service) && route.InterTokenObjective > 0 && (shortest == 0 || route.InterTokenObjective < shortest) {
			shortest = route.InterTokenObjective
		}
	}
	return shortest
}

func sortByPrefix(routes []*Route) {
	slices.SortStableFunc(routes, func(a, b *Route) int {
		return cmp.Compare(len(b.Prefix), len(a.Prefix))
	})
}
