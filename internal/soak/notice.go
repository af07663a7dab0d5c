package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// Bounds on what reaches a server that asked for rest, as the platform has them.
const (
	// restNotice is after how long a rest must be heeded.
	restNotice = 500 * time.Millisecond
	// restSends is how many requests of the VM may reach the server from then on until the rest is over.
	restSends = 2
)

// pair is a VM and a server.
type pair struct {
	vm, instance string
}

// arrived is a request that reached a server, and what its caller saw.
type arrived struct {
	platformserver.Arrival

	outcome Outcome
}

// byPair returns what reached each server from each VM, in the order of time.
func (evidence *evidence) byPair() map[pair][]arrived {
	outcomes := make(map[string]Outcome, len(evidence.outcomes))
	for _, outcome := range evidence.outcomes {
		outcomes[outcome.ID] = outcome
	}
	pairs := make(map[pair][]arrived)
	for _, arrival := range evidence.arrivals {
		outcome, known := outcomes[arrival.ID]
		if !known {
			continue
		}
		key := pair{vm: outcome.VM, instance: arrival.Instance}
		pairs[key] = append(pairs[key], arrived{Arrival: arrival, outcome: outcome})
	}
	for _, all := range pairs {
		slices.SortFunc(all, func(a, b arrived) int { return a.At.Compare(b.At) })
	}
	return pairs
}

// checkSaid looks at requests that reached a server after the VM had passed on an answer in which it said that it
// leaves. Only an end or a pause of the VM excuses one.
func (evidence *evidence) checkSaid(pairs map[pair][]arrived, add addFunc) {
	for pair, all := range pairs {
		for _, first := range all {
			passedOn := first.outcome.answered() && first.outcome.Seal == pair.instance
			if !first.Draining || !passedOn {
				continue
			}
			told := first.outcome.Ended
			for _, later := range all {
				late := later.outcome.Sent.Sub(told)
				if late > boundDrain && !evidence.paused(pair.vm, told, later.At) {
					add(PromiseSaid, "%s reached %s from %s, sent %s after it had said so", later.ID, pair.instance, pair.vm, late)
				}
			}
			break
		}
	}
}

// checkRests looks at requests that reached a server in the rest that it had asked the VM for.
func (evidence *evidence) checkRests(pairs map[pair][]arrived, add addFunc) {
	for pair, all := range pairs {
		for _, turnedAway := range all {
			from, to := turnedAway.At.Add(restNotice), turnedAway.At.Add(turnedAway.Backoff)
			sends := 0
			for _, later := range all {
				if later.At.After(from) && later.At.Before(to) {
					sends++
				}
			}
			if sends > restSends && !evidence.paused(pair.vm, turnedAway.At, to) && !evidence.linkStruck(turnedAway.At, to) {
				add(PromiseRest, "%d requests reached %s from %s in a rest of %s", sends, pair.instance, pair.vm, turnedAway.Backoff)
			}
		}
	}
}

// paused reports whether a VM's process ended, started or stood still in a span.
func (evidence *evidence) paused(vm string, from, to time.Time) bool {
	if evidence.down(vm, from, to) || evidence.life(vm, from) != evidence.life(vm, to) {
		return true
	}
	return slices.ContainsFunc(evidence.log.between(from, to), func(span span) bool {
		return span.kind == KindVMPause && span.vm == vm
	})
}

// linkStruck reports whether the way to a server was cut in a span, or a moment before.
func (evidence *evidence) linkStruck(from, to time.Time) bool {
	return slices.ContainsFunc(evidence.log.between(from.Add(-restNotice), to), func(span span) bool {
		return strings.HasPrefix(string(span.kind), "link_")
	})
}
