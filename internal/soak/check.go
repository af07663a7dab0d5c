package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mastwinch/mastwinch/internal/gateway"
	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// Invariant describes a property that must hold in every run.
type Invariant string

// Invariants that are checked.
const (
	InvariantAtMostOnce             Invariant = "runs at most once where it may not run again"
	InvariantRefusedNotRun          Invariant = "what was refused never runs"
	InvariantCompleteResponse       Invariant = "a success is whole, marked, and the caller's own"
	InvariantUnalteredRequest       Invariant = "servers see requests as they were sent, without keys"
	InvariantRevokedKey             Invariant = "a key that was taken away is not served"
	InvariantTimely                 Invariant = "every request has its final answer in time"
	InvariantValidAccepted          Invariant = "proper requests are not refused as wrong"
	InvariantNoneLost               Invariant = "nothing is cut without a fault"
	InvariantDrainingEntry          Invariant = "a server that leaves gets nothing new"
	InvariantDrainingResponse       Invariant = "a server that says that it leaves gets nothing new"
	InvariantBackoff                Invariant = "a server that asks a VM for rest gets it"
	InvariantRateLimit              Invariant = "a server that names a limit gets no more from all VMs"
	InvariantEvacuation             Invariant = "servers of an evacuated data centre get nothing"
	InvariantMalformedEntry         Invariant = "a bad entry names no server"
	InvariantMonotonicConfiguration Invariant = "a VM does not go back to an older configuration"
	InvariantMemoryReleased         Invariant = "memory of engines is given back"
	InvariantCrashQuarantine        Invariant = "what crashes servers is kept from them"
	InvariantCutServed              Invariant = "callers of VMs that are cut off from servers are served through others"
	InvariantHarmlessServed         Invariant = "no harmless request is refused as one that crashes servers"
	InvariantRetryAfterShare        Invariant = "who is refused for a share is told when to return"
	InvariantNoPanic                Invariant = "no handler of a request panics"
	InvariantRecovery               Invariant = "the system serves again when faults are over"
)

// Violation is one observed breach of an invariant.
type Violation struct {
	Invariant Invariant
	What      string
}

// Slack of checks beyond the bounds, for the delays of a loaded machine.
const (
	slackTime     = time.Second
	slackDraining = time.Second
	// slackDeadline is how long before the route's timeout a request may be aborted.
	slackDeadline = 100 * time.Millisecond
	// slackAtWork is how long before a connection to a caller ends the server may be told so.
	slackAtWork = 50 * time.Millisecond
	// minRecoveredFraction is the fraction of requests that must succeed after all faults have ended.
	minRecoveredFraction = 0.9
	// minRecoveredRequests is the smallest number of requests for which that fraction is checked.
	minRecoveredRequests = 20
	// minRefusedLong is the number of refused long prompts without a served one that counts as no recovery.
	minRefusedLong = 8
)

// observations are everything recorded in a run.
type observations struct {
	outcomes []Outcome
	// crashing holds the outcomes of requests that crash servers.
	crashing []Outcome
	runs     map[string][]platformserver.Run
	arrivals []platformserver.Arrival
	log      *faultLog
	operator *operator
	// incarnation returns the number of process starts of a VM up to a time.
	incarnation func(vm string, at time.Time) int
	// down reports whether a VM's process was not running at any time in a span.
	down func(vm string, from, to time.Time) bool
	// faultFreeFrom is the time by which all faults have ended and the VMs must have recovered.
	faultFreeFrom time.Time
}

// check returns all violations.
func (observations *observations) check() []Violation {
	var violations []Violation
	add := func(invariant Invariant, format string, args ...any) {
		violations = append(violations, Violation{Invariant: invariant, What: fmt.Sprintf(format, args...)})
	}
	sentIDs := make(map[string]bool, len(observations.outcomes))
	for _, outcome := range observations.outcomes {
		sentIDs[outcome.ID] = true
		observations.checkOutcome(outcome, add)
		observations.checkRuns(outcome, add)
		checkShareRefusal(outcome, add)
	}
	for _, outcome := range observations.crashing {
		sentIDs[outcome.ID] = true
	}
	for id := range observations.runs {
		if !sentIDs[id] {
			add(InvariantUnalteredRequest, "a server ran %q, which no caller sent", id)
		}
	}
	observations.checkDraining(add)
	observations.checkMalformedEntries(add)
	observations.checkEvacuated(add)
	pairs := observations.arrivalsByPair()
	observations.checkDrainingResponses(pairs, add)
	observations.checkBackoffs(pairs, add)
	observations.checkRateLimits(pairs, add)
	observations.checkMonotonicConfiguration(add)
	observations.checkCrashingRequests(add)
	observations.checkCutVMs(add)
	observations.checkRecovered(add)
	return violations
}

type addFunc func(invariant Invariant, format string, args ...any)

// impliesNotRun reports whether a status guarantees to the caller that the request did not run.
func impliesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

func (observations *observations) checkOutcome(outcome Outcome, add addFunc) {
	describe := fmt.Sprintf("%s on %s at %s, sent at %s, status %d",
		outcome.ID, outcome.Route, outcome.VM, outcome.Sent.UTC().Format("15:04:05.000000"), outcome.Status)
	if outcome.succeeded() && (outcome.Body != outcome.WantBody || outcome.Seal == "") {
		add(InvariantCompleteResponse, "%s: %d bytes of %d, seal %q", describe, len(outcome.Body), len(outcome.WantBody), outcome.Seal)
	}
	if outcome.Status == http.StatusOK && !strings.HasPrefix(outcome.WantBody, outcome.Body) {
		add(InvariantCompleteResponse, "%s: the body is not a prefix of the expected response", describe)
	}
	if crashingPrefixOf(outcome.ID) == "" && strings.Contains(outcome.Body, string(gateway.ReasonCrashesServers)) {
		add(InvariantHarmlessServed, "%s", describe)
	}
	if outcome.wronglyRejected() {
		add(InvariantValidAccepted, "%s", describe)
	}
	elapsed := outcome.Ended.Sub(outcome.Sent)
	if elapsed > routeTimeout+slackTime && !observations.affectedByFault(outcome, 0) {
		add(InvariantTimely, "%s: %s", describe, elapsed)
	}
	if outcome.Err != "" && elapsed < routeTimeout-slackDeadline && !observations.mayFail(outcome) {
		add(InvariantNoneLost, "%s: failed after %s: %s", describe, elapsed, outcome.Err)
	}
}

// wronglyRejected reports whether a request that every configuration version allows was
// rejected as invalid.
func (outcome Outcome) wronglyRejected() bool {
	wrong := outcome.Status >= http.StatusMultipleChoices && outcome.Status < http.StatusInternalServerError &&
		!impliesNotRun(outcome.Status)
	return wrong && !strings.HasPrefix(outcome.Route, "v") && outcome.Key == permanentKey
}

// mayFail reports whether a request may have failed: a fault was active, or the VM's
// process was not running.
func (observations *observations) mayFail(outcome Outcome) bool {
	return observations.sentWhileDown(outcome) || observations.affectedByFault(outcome, boundContact) || observations.outlastsGrace(outcome)
}

// outlastsGrace reports whether a request was sent no later than stopNotice after the planned stop of its VM began, and cut in the
// last sixth of the grace period while its server was still at work on it.
func (observations *observations) outlastsGrace(outcome Outcome) bool {
	runs := observations.runs[outcome.ID]
	if len(runs) == 0 {
		return false
	}
	ended := runs[len(runs)-1].Ended
	if !ended.IsZero() && ended.Before(outcome.Ended.Add(-slackAtWork)) {
		return false
	}
	return slices.ContainsFunc(observations.log.between(outcome.Sent, outcome.Ended), func(span span) bool {
		return span.kind == KindVMStop && span.vm == outcome.VM &&
			!outcome.Sent.After(span.from.Add(stopNotice)) && !outcome.Ended.Before(span.from.Add(boundGrace-boundGrace/6))
	})
}

// sentWhileDown reports whether a request was sent while the VM's process was not running.
// A load balancer sends none between the planned stop of a process and its restart.
func (observations *observations) sentWhileDown(outcome Outcome) bool {
	return outcome.Status == 0 && len(observations.runs[outcome.ID]) == 0 && observations.down(outcome.VM, outcome.Sent, outcome.Ended)
}

// affectedByFault reports whether an unplanned fault that affects the outcome's VM was active
// while the request was in flight or within a time before it.
func (observations *observations) affectedByFault(outcome Outcome, before time.Duration) bool {
	for _, span := range observations.log.between(outcome.Sent.Add(-before), outcome.Ended) {
		if !span.kind.planned() && (span.vm == "" || span.vm == outcome.VM) {
			return true
		}
	}
	return false
}

func (observations *observations) checkRuns(outcome Outcome, add addFunc) {
	runs := observations.runs[outcome.ID]
	atMostOnce := outcome.Route == routeOnce || outcome.Route == routeUnsafe
	if atMostOnce && len(runs) > 1 {
		add(InvariantAtMostOnce, "%s on %s ran %d times", outcome.ID, outcome.Route, len(runs))
	}
	if impliesNotRun(outcome.Status) && len(runs) > 0 {
		add(InvariantRefusedNotRun, "%s on %s got %d and ran at %s", outcome.ID, outcome.Route, outcome.Status, runs[0].Instance)
	}
	revoked := observations.operator.revokedAt(outcome.Key)
	for _, run := range runs {
		if run.KeySeen || run.Organisation != organisationOf(outcome.Key) || run.Target != target(outcome) ||
			(run.Body != "" && run.Body != payload(outcome.ID)) {
			add(InvariantUnalteredRequest, "%s: %+v", outcome.ID, run)
		}
		if !revoked.IsZero() && outcome.Sent.After(revoked.Add(boundRevoke)) {
			add(InvariantRevokedKey, "%s with %s, revoked %s before it was sent", outcome.ID, outcome.Key, outcome.Sent.Sub(revoked))
		}
	}
}

// checkDraining reports requests that reached a draining server after the bound within which every VM must observe the
// drain. The time of arrival counts, not that of the run: a request that arrived earlier may start to run long after,
// queued behind others at its server.
func (observations *observations) checkDraining(add addFunc) {
	drainStarts := observations.operator.drainStarts()
	for _, arrival := range observations.arrivals {
		since, draining := drainStarts[arrival.Instance]
		deadline := since.Add(boundDrain + slackDraining)
		if draining && arrival.At.After(deadline) && !observations.boundsSuspended(since.Add(-boundContact), deadline) {
			add(InvariantDrainingEntry, "%s reached %s %s after it began to drain", arrival.ID, arrival.Instance, arrival.At.Sub(since))
		}
	}
}

// checkMalformedEntries reports requests that reached a server whose entry was malformed, after the bound within which
// every VM must observe that.
func (observations *observations) checkMalformedEntries(add addFunc) {
	for _, arrival := range observations.arrivals {
		for _, corruption := range observations.operator.corruptions[arrival.Instance] {
			deadline := corruption.from.Add(boundDrain + slackDraining)
			if arrival.At.After(deadline) && arrival.At.Before(corruption.to) && !observations.boundsSuspended(corruption.from.Add(-boundContact), arrival.At) {
				add(InvariantMalformedEntry, "%s reached %s %s after its entry became malformed", arrival.ID, arrival.Instance, arrival.At.Sub(corruption.from))
			}
		}
	}
}

// checkEvacuated reports requests that reached servers of an evacuated data centre after the bound within which every VM
// must observe the evacuation.
func (observations *observations) checkEvacuated(add addFunc) {
	for _, evacuation := range observations.operator.endedEvacuations() {
		deadline := evacuation.from.Add(boundEvacuate + slackDraining)
		if observations.boundsSuspended(evacuation.from.Add(-boundContact), evacuation.to) {
			continue
		}
		for _, arrival := range observations.arrivals {
			inside := observations.operator.dataCentreOf(arrival.Instance) == evacuation.dataCentre
			if inside && arrival.At.After(deadline) && arrival.At.Before(evacuation.to) {
				add(InvariantEvacuation, "%s reached %s %s after the evacuation of %s began",
					arrival.ID, arrival.Instance, arrival.At.Sub(evacuation.from), evacuation.dataCentre)
			}
		}
	}
}

// boundsSuspended reports whether a fault that affects VMs or the store was active in a span, so that time bounds do not
// apply.
func (observations *observations) boundsSuspended(from, to time.Time) bool {
	return slices.ContainsFunc(observations.log.between(from, to), func(span span) bool {
		return span.kind.suspendsBounds()
	})
}

// checkMonotonicConfiguration reports routes that a VM served and later answered with status 404 in
// the same incarnation.
func (observations *observations) checkMonotonicConfiguration(add addFunc) {
	type servedRoute struct {
		vm          string
		incarnation int
		route       string
	}
	served := make(map[servedRoute]time.Time)
	keyOf := func(outcome Outcome) servedRoute {
		return servedRoute{vm: outcome.VM, incarnation: observations.incarnation(outcome.VM, outcome.Sent), route: outcome.Route}
	}
	for _, outcome := range observations.outcomes {
		at := keyOf(outcome)
		sameIncarnation := observations.incarnation(outcome.VM, outcome.Ended) == at.incarnation
		if first, ok := served[at]; sameIncarnation && outcome.succeeded() && (!ok || outcome.Ended.Before(first)) {
			served[at] = outcome.Ended
		}
	}
	for _, outcome := range observations.outcomes {
		first, ok := served[keyOf(outcome)]
		if ok && outcome.Status == http.StatusNotFound && outcome.Sent.After(first) {
			add(InvariantMonotonicConfiguration, "%s answered 404 for %s, which it served %s before", outcome.VM, outcome.Route, outcome.Sent.Sub(first))
		}
	}
}

// checkRecovered reports when too few requests succeeded in the fault-free time at the end. The callers send more long
// prompts than the engines prefill within their objective, so a long prompt that is refused for want of servers doesn't
// count, as long as others are served.
func (observations *observations) checkRecovered(add addFunc) {
	sent, served, refusedLong, servedLong := 0, 0, 0, 0
	for _, outcome := range observations.outcomes {
		if !outcome.Sent.After(observations.faultFreeFrom) || outcome.Key != permanentKey {
			continue
		}
		if outcome.Route == routeLong && outcome.refusedForCapacity() {
			refusedLong++
			continue
		}
		sent++
		if outcome.succeeded() {
			served++
			if outcome.Route == routeLong {
				servedLong++
			}
		}
	}
	if refusedLong >= minRefusedLong && servedLong == 0 {
		add(InvariantRecovery, "all of %d long prompts were refused in the fault-free time at the end", refusedLong)
	}
	if sent >= minRecoveredRequests && float64(served) < minRecoveredFraction*float64(sent) {
		add(InvariantRecovery, "%d of %d succeeded in the fault-free time at the end", served, sent)
	}
}
