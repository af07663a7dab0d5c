package soak

import (
	"slices"
	"time"
)

// The platform's bounds on the requests that may reach a server which advertises a rate limit.
const (
	// rateLimitNotice is the time from the first advertisement until the limit must be observed, and vmNotice the time after
	// which the requests of a VM that received an advertisement are counted.
	rateLimitNotice = 3 * time.Second
	vmNotice        = 500 * time.Millisecond
	// rateLimitWindow is the time over which requests are counted. In it rateLimitFactor times what the limit allows, plus
	// rateLimitSlack requests, may reach the server.
	rateLimitWindow = 4 * time.Second
	rateLimitFactor = 1.5
	rateLimitSlack  = 5
)

// vmArrival is a request that reached a server, with the VM that sent it.
type vmArrival struct {
	arrivalOutcome

	vm string
}

// checkRateLimits reports servers that got more requests than their advertised limit allows, from all VMs that had
// received an advertisement.
func (observations *observations) checkRateLimits(pairs map[vmServer][]arrivalOutcome, add addFunc) {
	byServer := make(map[string][]vmArrival)
	for pair, arrivals := range pairs {
		for _, arrival := range arrivals {
			byServer[pair.instance] = append(byServer[pair.instance], vmArrival{arrivalOutcome: arrival, vm: pair.vm})
		}
	}
	for instance, arrivals := range byServer {
		slices.SortFunc(arrivals, func(a, b vmArrival) int { return a.At.Compare(b.At) })
		for _, span := range rateLimitedSpans(arrivals) {
			observations.checkRateLimit(instance, span, add)
		}
	}
}

// rateLimitedSpans returns the runs of consecutive requests during which a server advertised a limit throughout.
func rateLimitedSpans(arrivals []vmArrival) [][]vmArrival {
	var spans [][]vmArrival
	from := 0
	for index := range arrivals {
		if !arrivals[index].RateLimited {
			from = index + 1
			continue
		}
		if index+1 == len(arrivals) || !arrivals[index+1].RateLimited {
			spans = append(spans, arrivals[from:index+1])
		}
	}
	return spans
}

// checkRateLimit checks the requests of one span and reports at most one violation.
func (observations *observations) checkRateLimit(instance string, span []vmArrival, add addFunc) {
	receivedAt := make(map[string]time.Time)
	var first time.Time
	for _, arrival := range span {
		relayed := arrival.outcome.succeeded() && arrival.outcome.Seal == instance
		if _, known := receivedAt[arrival.vm]; relayed && !known {
			receivedAt[arrival.vm] = arrival.outcome.Ended
		}
		if relayed && (first.IsZero() || arrival.outcome.Ended.Before(first)) {
			first = arrival.outcome.Ended
		}
	}
	if first.IsZero() {
		return
	}
	for index, arrival := range span {
		from := arrival.At
		if from.Before(first.Add(rateLimitNotice)) {
			continue
		}
		count, limit := observations.countWindow(span, index, receivedAt)
		allowed := int(rateLimitFactor*limit*rateLimitWindow.Seconds()) + rateLimitSlack
		if count > allowed && !observations.linkFaulty(from.Add(-rateLimitNotice), from.Add(rateLimitWindow)) {
			add(InvariantRateLimit, "%d requests reached %s in %s, allowed %d at a limit of %v per second", count, instance, rateLimitWindow, allowed, limit)
			return
		}
	}
}

// countWindow returns how many requests of VMs that had received an advertisement arrived in the window that begins with
// the given one, and the highest limit in force from rateLimitNotice before the window to its end.
func (observations *observations) countWindow(span []vmArrival, first int, receivedAt map[string]time.Time) (count int, highest float64) {
	from := span[first].At
	to := from.Add(rateLimitWindow)
	for _, arrival := range span {
		if arrival.At.Before(from.Add(-rateLimitNotice)) || !arrival.At.Before(to) {
			continue
		}
		highest = max(highest, arrival.RateLimit)
		received, known := receivedAt[arrival.vm]
		counts := known && arrival.At.After(received.Add(vmNotice))
		if counts && !arrival.At.Before(from) && !observations.interrupted(arrival.vm, from.Add(-rateLimitNotice), to) {
			count++
		}
	}
	return count, highest
}
