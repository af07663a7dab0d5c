package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// The platform's bounds on the requests that may reach a server which requested backoff.
const (
	// backoffNotice is how long after the refusal the backoff must be observed.
	backoffNotice = 500 * time.Millisecond
	// maxBackoffSends is how many requests of the VM may reach the server from then on until the backoff ends.
	maxBackoffSends = 2
)

// vmServer identifies a VM and a server.
type vmServer struct {
	vm, instance string
}

// arrivalOutcome is a request that reached a server, with its caller's outcome.
type arrivalOutcome struct {
	platformserver.Arrival

	outcome Outcome
}

// arrivalsByPair returns the requests that reached each server from each VM, ordered by time of arrival.
func (observations *observations) arrivalsByPair() map[vmServer][]arrivalOutcome {
	outcomes := make(map[string]Outcome, len(observations.outcomes))
	for _, outcome := range observations.outcomes {
		outcomes[outcome.ID] = outcome
	}
	pairs := make(map[vmServer][]arrivalOutcome)
	for _, arrival := range observations.arrivals {
		outcome, known := outcomes[arrival.ID]
		if !known {
			continue
		}
		key := vmServer{vm: outcome.VM, instance: arrival.Instance}
		pairs[key] = append(pairs[key], arrivalOutcome{Arrival: arrival, outcome: outcome})
	}
	for _, arrivals := range pairs {
		slices.SortFunc(arrivals, func(a, b arrivalOutcome) int { return a.At.Compare(b.At) })
	}
	return pairs
}

// checkDrainingResponses reports requests that a VM sent to a server after it had relayed a response in which the server
// advertised that it drains. Only a stop or pause of the VM's process excuses one.
func (observations *observations) checkDrainingResponses(pairs map[vmServer][]arrivalOutcome, add addFunc) {
	for pair, arrivals := range pairs {
		for _, first := range arrivals {
			relayed := first.outcome.succeeded() && first.outcome.Seal == pair.instance
			if !first.Draining || !relayed {
				continue
			}
			relayedAt := first.outcome.Ended
			for _, later := range arrivals {
				late := later.outcome.Sent.Sub(relayedAt)
				if late > boundDrain && !observations.interrupted(pair.vm, relayedAt, later.At) {
					add(InvariantDrainingResponse, "%s reached %s from %s, sent %s after the server advertised draining", later.ID, pair.instance, pair.vm, late)
				}
			}
			break
		}
	}
}

// checkBackoffs reports requests that reached a server during the backoff that it had requested of the VM.
func (observations *observations) checkBackoffs(pairs map[vmServer][]arrivalOutcome, add addFunc) {
	for pair, arrivals := range pairs {
		for _, refused := range arrivals {
			from, to := refused.At.Add(backoffNotice), refused.At.Add(refused.Backoff)
			count := 0
			for _, later := range arrivals {
				if later.At.After(from) && later.At.Before(to) {
					count++
				}
			}
			if count > maxBackoffSends && !observations.interrupted(pair.vm, refused.At, to) && !observations.linkFaulty(refused.At, to) {
				add(InvariantBackoff, "%d requests reached %s from %s in a backoff of %s", count, pair.instance, pair.vm, refused.Backoff)
			}
		}
	}
}

// interrupted reports whether a VM's process ended, started or was suspended in a span.
func (observations *observations) interrupted(vm string, from, to time.Time) bool {
	if observations.down(vm, from, to) || observations.incarnation(vm, from) != observations.incarnation(vm, to) {
		return true
	}
	return slices.ContainsFunc(observations.log.between(from, to), func(span span) bool {
		return span.kind == KindVMPause && span.vm == vm
	})
}

// linkFaulty reports whether a link fault was active in a span or up to backoffNotice before it.
func (observations *observations) linkFaulty(from, to time.Time) bool {
	return slices.ContainsFunc(observations.log.between(from.Add(-backoffNotice), to), func(span span) bool {
		return strings.HasPrefix(string(span.kind), "link_")
	})
}
