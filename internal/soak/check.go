package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// Invariant describes a property that must hold in every run.
type Promise string

// Invariants that are checked.
const (
	PromiseOnce      Promise = "runs at most once where it may not run again"
	PromiseNotRun    Promise = "what was refused never runs"
	PromiseWhole     Promise = "a success is whole, marked, and the caller's own"
	PromiseUnaltered Promise = "servers see requests as they were sent, without keys"
	PromiseRevoked   Promise = "a key that was taken away is not served"
	PromiseTime      Promise = "every request has its final answer in time"
	PromiseDenied    Promise = "proper requests are not refused as wrong"
	PromiseLost      Promise = "nothing is cut without a fault"
	PromiseLeaving   Promise = "a server that leaves gets nothing new"
	PromiseSaid      Promise = "a server that says that it leaves gets nothing new"
	PromiseRest      Promise = "a server that asks a VM for rest gets it"
	PromiseLimit     Promise = "a server that names a limit gets no more from all VMs"
	PromiseEvacuated Promise = "servers of an evacuated data centre get nothing"
	PromiseBad       Promise = "a bad entry names no server"
	PromiseForward   Promise = "a VM does not go back to an older configuration"
	PromiseMemory    Promise = "memory of engines is given back"
	PromiseCrashes   Promise = "what crashes servers is kept from them"
	PromiseRecovered Promise = "the system serves again when faults are over"
)

// Violation is one observed breach of an invariant.
type Violation struct {
	Promise Promise
	What    string
}

// Slack of checks beyond the bounds, for the delays of a loaded machine.
const (
	slackTime    = time.Second
	slackLeaving = time.Second
	// slackDeadline is how long before the route's timeout a request may be aborted.
	slackEnd = 100 * time.Millisecond
	// minRecoveredFraction is the fraction of requests that must succeed after all faults have ended.
	servedAgain = 0.9
	// minRecoveredRequests is the smallest number of requests for which that fraction is checked.
	fewest = 20
)

// observations are everything recorded in a run.
type evidence struct {
	outcomes []Outcome
	// crashing holds the outcomes of requests that crash servers.
	harmful  []Outcome
	runs     map[string][]platformserver.Run
	arrivals []platformserver.Arrival
	log      *faultLog
	operator *operator
	// incarnation returns the number of process starts of a VM up to a time.
	life func(vm string, at time.Time) int
	// down reports whether a VM's process was not running at any time in a span.
	down func(vm string, from, to time.Time) bool
	// faultFreeFrom is the time by which all faults have ended and the VMs must have recovered.
	calm time.Time
}

// check returns all violations.
func (observations *evidence) check() []Violation {
	var violations []Violation
	add := func(invariant Promise, format string, args ...any) {
		violations = append(violations, Violation{Promise: invariant, What: fmt.Sprintf(format, args...)})
	}
	sentIDs := make(map[string]bool, len(observations.outcomes))
	for _, outcome := range observations.outcomes {
		sentIDs[outcome.ID] = true
		observations.checkOutcome(outcome, add)
		observations.checkRuns(outcome, add)
	}
	for _, outcome := range observations.harmful {
		sentIDs[outcome.ID] = true
	}
	for id := range observations.runs {
		if !sentIDs[id] {
			add(PromiseUnaltered, "a server ran %q, which no caller sent", id)
		}
	}
	observations.checkLeaving(add)
	observations.checkBad(add)
	observations.checkEvacuated(add)
	pairs := observations.byPair()
	observations.checkSaid(pairs, add)
	observations.checkRests(pairs, add)
	observations.checkLimits(pairs, add)
	observations.checkForward(add)
	observations.checkHarmful(add)
	observations.checkRecovered(add)
	return violations
}

type addFunc func(invariant Promise, format string, args ...any)

// impliesNotRun reports whether a status guarantees to the caller that the request did not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

func (observations *evidence) checkOutcome(outcome Outcome, add addFunc) {
	describe := fmt.Sprintf("%s on %s at %s, status %d", outcome.ID, outcome.Route, outcome.VM, outcome.Status)
	if outcome.answered() && (outcome.Body != outcome.Want || outcome.Seal == "") {
		add(PromiseWhole, "%s: %d bytes of %d, seal %q", describe, len(outcome.Body), len(outcome.Want), outcome.Seal)
	}
	if outcome.Status == http.StatusOK && !strings.HasPrefix(outcome.Want, outcome.Body) {
		add(PromiseWhole, "%s: the body is not a prefix of the expected response", describe)
	}
	if outcome.denied() {
		add(PromiseDenied, "%s", describe)
	}
	elapsed := outcome.Ended.Sub(outcome.Sent)
	if elapsed > timeout+slackTime && !observations.struck(outcome, 0) {
		add(PromiseTime, "%s: %s", describe, elapsed)
	}
	if outcome.Err != "" && elapsed < timeout-slackEnd && !observations.excused(outcome) {
		add(PromiseLost, "%s: failed after %s: %s", describe, elapsed, outcome.Err)
	}
}

// wronglyRejected reports whether a request that every configuration version allows was
// rejected as invalid.
func (outcome Outcome) denied() bool {
	wrong := outcome.Status >= http.StatusMultipleChoices && outcome.Status < http.StatusInternalServerError &&
		!promisesNotRun(outcome.Status)
	return wrong && !strings.HasPrefix(outcome.Route, "v") && outcome.Key == permanentKey
}

// mayFail reports whether a request may have failed: a fault was active, or the VM's
// process was not running.
func (observations *evidence) excused(outcome Outcome) bool {
	return observations.unread(outcome) || observations.struck(outcome, boundContact)
}

// sentWhileDown reports whether a request was sent while the VM's process was not running.
// A load balancer sends none between the planned stop of a process and its restart.
func (observations *evidence) unread(outcome Outcome) bool {
	return outcome.Status == 0 && len(observations.runs[outcome.ID]) == 0 && observations.down(outcome.VM, outcome.Sent, outcome.Ended)
}

// affectedByFault reports whether an unplanned fault that affects the outcome's VM was active
// while the request was in flight or within a time before it.
func (observations *evidence) struck(outcome Outcome, before time.Duration) bool {
	for _, span := range observations.log.between(outcome.Sent.Add(-before), outcome.Ended) {
		if !span.kind.planned() && (span.vm == "" || span.vm == outcome.VM) {
			return true
		}
	}
	return false
}

func (observations *evidence) checkRuns(outcome Outcome, add addFunc) {
	runs := observations.runs[outcome.ID]
	atMostOnce := outcome.Route == routeOnce || outcome.Route == routeUnsafe
	if atMostOnce && len(runs) > 1 {
		add(PromiseOnce, "%s on %s ran %d times", outcome.ID, outcome.Route, len(runs))
	}
	if promisesNotRun(outcome.Status) && len(runs) > 0 {
		add(PromiseNotRun, "%s on %s got %d and ran at %s", outcome.ID, outcome.Route, outcome.Status, runs[0].Instance)
	}
	revoked := observations.operator.revokedAt(outcome.Key)
	for _, run := range runs {
		if run.KeySeen || run.Organisation != organisation || run.Target != target(outcome) ||
			(run.Body != "" && run.Body != payload(outcome.ID)) {
			add(PromiseUnaltered, "%s: %+v", outcome.ID, run)
		}
		if !revoked.IsZero() && outcome.Sent.After(revoked.Add(boundRevoke)) {
			add(PromiseRevoked, "%s with %s, revoked %s before it was sent", outcome.ID, outcome.Key, outcome.Sent.Sub(revoked))
		}
	}
}

// checkDraining reports requests that reached a draining server after the bound within which every VM must observe the
// drain. The time of arrival counts, not that of the run: a request that arrived earlier may start to run long after,
// queued behind others at its server.
func (observations *evidence) checkLeaving(add addFunc) {
	drainStarts := observations.operator.leavings()
	for _, arrival := range observations.arrivals {
		since, draining := drainStarts[arrival.Instance]
		deadline := since.Add(boundDrain + slackLeaving)
		if draining && arrival.At.After(deadline) && !observations.disturbed(since.Add(-boundContact), deadline) {
			add(PromiseLeaving, "%s reached %s %s after it began to drain", arrival.ID, arrival.Instance, arrival.At.Sub(since))
		}
	}
}

// checkMalformedEntries reports requests that reached a server whose entry was malformed, after the bound within which
// every VM must observe that.
func (observations *evidence) checkBad(add addFunc) {
	for _, arrival := range observations.arrivals {
		for _, corruption := range observations.operator.spoilt[arrival.Instance] {
			deadline := corruption.from.Add(boundDrain + slackLeaving)
			if arrival.At.After(deadline) && arrival.At.Before(corruption.to) && !observations.disturbed(corruption.from.Add(-boundContact), arrival.At) {
				add(PromiseBad, "%s reached %s %s after its entry became malformed", arrival.ID, arrival.Instance, arrival.At.Sub(corruption.from))
			}
		}
	}
}

// checkEvacuated reports requests that reached servers of an evacuated data centre after the bound within which every VM
// must observe the evacuation.
func (observations *evidence) checkEvacuated(add addFunc) {
	for _, evacuation := range observations.operator.evacuations() {
		deadline := evacuation.from.Add(boundEvacuate + slackLeaving)
		if observations.disturbed(evacuation.from.Add(-boundContact), evacuation.to) {
			continue
		}
		for _, arrival := range observations.arrivals {
			inside := observations.operator.dataCentreOf(arrival.Instance) == evacuation.dataCentre
			if inside && arrival.At.After(deadline) && arrival.At.Before(evacuation.to) {
				add(PromiseEvacuated, "%s reached %s %s after the evacuation of %s began",
					arrival.ID, arrival.Instance, arrival.At.Sub(evacuation.from), evacuation.dataCentre)
			}
		}
	}
}

// boundsSuspended reports whether a fault that affects VMs or the store was active in a span, so that time bounds do not
// apply.
func (observations *evidence) disturbed(from, to time.Time) bool {
	return slices.ContainsFunc(observations.log.between(from, to), func(span span) bool {
		return span.kind.disturbs()
	})
}

// checkMonotonicConfiguration reports routes that a VM served and later answered with status 404 in
// the same incarnation.
func (observations *evidence) checkForward(add addFunc) {
	type servedRoute struct {
		vm          string
		incarnation int
		route       string
	}
	served := make(map[servedRoute]time.Time)
	keyOf := func(outcome Outcome) servedRoute {
		return servedRoute{vm: outcome.VM, incarnation: observations.life(outcome.VM, outcome.Sent), route: outcome.Route}
	}
	for _, outcome := range observations.outcomes {
		at := keyOf(outcome)
		sameIncarnation := observations.life(outcome.VM, outcome.Ended) == at.incarnation
		if first, ok := served[at]; sameIncarnation && outcome.answered() && (!ok || outcome.Ended.Before(first)) {
			served[at] = outcome.Ended
		}
	}
	for _, outcome := range observations.outcomes {
		first, ok := served[keyOf(outcome)]
		if ok && outcome.Status == http.StatusNotFound && outcome.Sent.After(first) {
			add(PromiseForward, "%s answered 404 for %s, which it served %s before", outcome.VM, outcome.Route, outcome.Sent.Sub(first))
		}
	}
}

// checkRecovered reports when too few requests succeeded in the fault-free time at the end.
func (observations *evidence) checkRecovered(add addFunc) {
	sent, served := 0, 0
	for _, outcome := range observations.outcomes {
		if outcome.Sent.After(observations.calm) && outcome.Key == permanentKey {
			sent++
			if outcome.answered() {
				served++
			}
		}
	}
	if sent >= fewest && float64(served) < servedAgain*float64(sent) {
		add(PromiseRecovered, "%d of %d succeeded in the fault-free time at the end", served, sent)
	}
}
