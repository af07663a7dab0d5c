package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// Promise names what is checked.
type Promise string

// Promises.
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

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise
	What    string
}

// Slack of checks, beyond the bounds: what a loaded machine adds.
const (
	slackTime    = time.Second
	slackLeaving = time.Second
	// slackEnd is how long before the route's time a request may be ended.
	slackEnd = 100 * time.Millisecond
	// servedAgain is the part of requests that must succeed once all is calm.
	servedAgain = 0.9
	// fewest is how many requests say something about that.
	fewest = 20
)

// evidence is all that was seen in a run.
type evidence struct {
	outcomes []Outcome
	// harmful has those of callers who asked for what crashes servers.
	harmful  []Outcome
	runs     map[string][]platformserver.Run
	arrivals []platformserver.Arrival
	log      *faultLog
	operator *operator
	// life returns which life of a VM's process a time falls into.
	life func(vm string, at time.Time) int
	// down reports whether a VM's process was away at any time in a span.
	down func(vm string, from, to time.Time) bool
	// calm is from when on no fault is at work.
	calm time.Time
}

// check returns what was broken.
func (evidence *evidence) check() []Violation {
	var violations []Violation
	add := func(promise Promise, format string, args ...any) {
		violations = append(violations, Violation{Promise: promise, What: fmt.Sprintf(format, args...)})
	}
	known := make(map[string]bool, len(evidence.outcomes))
	for _, outcome := range evidence.outcomes {
		known[outcome.ID] = true
		evidence.checkOutcome(outcome, add)
		evidence.checkRuns(outcome, add)
	}
	for _, outcome := range evidence.harmful {
		known[outcome.ID] = true
	}
	for id := range evidence.runs {
		if !known[id] {
			add(PromiseUnaltered, "a server ran %q, which nobody sent", id)
		}
	}
	evidence.checkLeaving(add)
	evidence.checkBad(add)
	evidence.checkEvacuated(add)
	pairs := evidence.byPair()
	evidence.checkSaid(pairs, add)
	evidence.checkRests(pairs, add)
	evidence.checkLimits(pairs, add)
	evidence.checkForward(add)
	evidence.checkHarmful(add)
	evidence.checkRecovered(add)
	return violations
}

type addFunc func(promise Promise, format string, args ...any)

// promisesNotRun reports whether a status says that the request did not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

func (evidence *evidence) checkOutcome(outcome Outcome, add addFunc) {
	describe := fmt.Sprintf("%s on %s at %s, status %d", outcome.ID, outcome.Route, outcome.VM, outcome.Status)
	if outcome.answered() && (outcome.Body != outcome.Want || outcome.Seal == "") {
		add(PromiseWhole, "%s: %d bytes of %d, seal %q", describe, len(outcome.Body), len(outcome.Want), outcome.Seal)
	}
	if outcome.Status == http.StatusOK && !strings.HasPrefix(outcome.Want, outcome.Body) {
		add(PromiseWhole, "%s: bytes that are not the answer's", describe)
	}
	if outcome.denied() {
		add(PromiseDenied, "%s", describe)
	}
	took := outcome.Ended.Sub(outcome.Sent)
	if took > timeout+slackTime && !evidence.struck(outcome, 0) {
		add(PromiseTime, "%s: %s", describe, took)
	}
	if outcome.Err != "" && took < timeout-slackEnd && !evidence.excused(outcome) {
		add(PromiseLost, "%s: after %s: %s", describe, took, outcome.Err)
	}
}

// denied reports whether a request that every configuration allows was refused as
// wrong.
func (outcome Outcome) denied() bool {
	wrong := outcome.Status >= http.StatusMultipleChoices && outcome.Status < http.StatusInternalServerError &&
		!promisesNotRun(outcome.Status)
	return wrong && !strings.HasPrefix(outcome.Route, "v") && outcome.Key == permanentKey
}

// excused reports whether a request may have been cut: a fault was at work, or
// nobody was there to read it.
func (evidence *evidence) excused(outcome Outcome) bool {
	return evidence.unread(outcome) || evidence.struck(outcome, boundContact)
}

// unread reports whether a request came when nobody was there to read it: between
// the planned end of a process and its new start the balancer sends none.
func (evidence *evidence) unread(outcome Outcome) bool {
	return outcome.Status == 0 && len(evidence.runs[outcome.ID]) == 0 && evidence.down(outcome.VM, outcome.Sent, outcome.Ended)
}

// struck reports whether a fault that excuses an outcome was at work while it was
// under way, or that long before.
func (evidence *evidence) struck(outcome Outcome, before time.Duration) bool {
	for _, span := range evidence.log.between(outcome.Sent.Add(-before), outcome.Ended) {
		if !span.kind.planned() && (span.vm == "" || span.vm == outcome.VM) {
			return true
		}
	}
	return false
}

func (evidence *evidence) checkRuns(outcome Outcome, add addFunc) {
	runs := evidence.runs[outcome.ID]
	once := outcome.Route == routeOnce || outcome.Route == routeUnsafe
	if once && len(runs) > 1 {
		add(PromiseOnce, "%s on %s ran %d times", outcome.ID, outcome.Route, len(runs))
	}
	if promisesNotRun(outcome.Status) && len(runs) > 0 {
		add(PromiseNotRun, "%s on %s got %d and ran at %s", outcome.ID, outcome.Route, outcome.Status, runs[0].Instance)
	}
	revoked := evidence.operator.revokedAt(outcome.Key)
	for _, run := range runs {
		if run.KeySeen || run.Organisation != organisation || run.Target != target(outcome) ||
			(run.Body != "" && run.Body != payload(outcome.ID)) {
			add(PromiseUnaltered, "%s: %+v", outcome.ID, run)
		}
		if !revoked.IsZero() && outcome.Sent.After(revoked.Add(boundRevoke)) {
			add(PromiseRevoked, "%s with %s, taken away %s before", outcome.ID, outcome.Key, outcome.Sent.Sub(revoked))
		}
	}
}

// checkLeaving looks at what reached servers that left while everybody could know. A request that came before may begin
// to run long after, behind others at its server.
func (evidence *evidence) checkLeaving(add addFunc) {
	leavings := evidence.operator.leavings()
	for _, arrival := range evidence.arrivals {
		left, leaves := leavings[arrival.Instance]
		until := left.Add(boundDrain + slackLeaving)
		if leaves && arrival.At.After(until) && !evidence.disturbed(left.Add(-boundContact), until) {
			add(PromiseLeaving, "%s reached %s %s after it left", arrival.ID, arrival.Instance, arrival.At.Sub(left))
		}
	}
}

// checkBad looks at servers whose entries were spoilt while everybody could know.
func (evidence *evidence) checkBad(add addFunc) {
	for _, arrival := range evidence.arrivals {
		for _, spoilt := range evidence.operator.spoilt[arrival.Instance] {
			known := spoilt.from.Add(boundDrain + slackLeaving)
			if arrival.At.After(known) && arrival.At.Before(spoilt.to) && !evidence.disturbed(spoilt.from.Add(-boundContact), arrival.At) {
				add(PromiseBad, "%s reached %s %s after its entry was spoilt", arrival.ID, arrival.Instance, arrival.At.Sub(spoilt.from))
			}
		}
	}
}

// checkEvacuated looks at what reached servers of evacuated data centres while everybody could know.
func (evidence *evidence) checkEvacuated(add addFunc) {
	for _, evacuated := range evidence.operator.evacuations() {
		known := evacuated.from.Add(boundEvacuate + slackLeaving)
		if evidence.disturbed(evacuated.from.Add(-boundContact), evacuated.to) {
			continue
		}
		for _, arrival := range evidence.arrivals {
			there := evidence.operator.dataCentreOf(arrival.Instance) == evacuated.dataCentre
			if there && arrival.At.After(known) && arrival.At.Before(evacuated.to) {
				add(PromiseEvacuated, "%s reached %s %s after %s was to be evacuated",
					arrival.ID, arrival.Instance, arrival.At.Sub(evacuated.from), evacuated.dataCentre)
			}
		}
	}
}

// disturbed reports whether a VM or the store was struck in a span.
func (evidence *evidence) disturbed(from, to time.Time) bool {
	return slices.ContainsFunc(evidence.log.between(from, to), func(span span) bool {
		return span.kind.disturbs()
	})
}

// checkForward looks for routes that a VM served, and did not know later in the
// same life.
func (evidence *evidence) checkForward(add addFunc) {
	type place struct {
		vm    string
		life  int
		route string
	}
	served := make(map[place]time.Time)
	placeOf := func(outcome Outcome) place {
		return place{vm: outcome.VM, life: evidence.life(outcome.VM, outcome.Sent), route: outcome.Route}
	}
	for _, outcome := range evidence.outcomes {
		at := placeOf(outcome)
		sameLife := evidence.life(outcome.VM, outcome.Ended) == at.life
		if first, ok := served[at]; sameLife && outcome.answered() && (!ok || outcome.Ended.Before(first)) {
			served[at] = outcome.Ended
		}
	}
	for _, outcome := range evidence.outcomes {
		first, ok := served[placeOf(outcome)]
		if ok && outcome.Status == http.StatusNotFound && outcome.Sent.After(first) {
			add(PromiseForward, "%s does not know %s, which it served %s before", outcome.VM, outcome.Route, outcome.Sent.Sub(first))
		}
	}
}

// checkRecovered looks at the time without faults at the end.
func (evidence *evidence) checkRecovered(add addFunc) {
	sent, served := 0, 0
	for _, outcome := range evidence.outcomes {
		if outcome.Sent.After(evidence.calm) && outcome.Key == permanentKey {
			sent++
			if outcome.answered() {
				served++
			}
		}
	}
	if sent >= fewest && float64(served) < servedAgain*float64(sent) {
		add(PromiseRecovered, "%d of %d served in the calm time at the end", served, sent)
	}
}
