package soak

import (
	"net/http"
	"slices"
	"time"
)

// Bounds on the callers of VMs that are cut off from all servers.
const (
	// minCutServed is the least fraction of requests served at such a VM, from boundContact after the start of the cut on,
	// relative to that at the other VMs.
	minCutServed = 0.95
	// minCutRequests is the number of requests at either from which on they are compared.
	minCutRequests = 15
)

// checkCutVMs reports VMs whose callers were served less than those of others while the VM was cut off from all servers. Only
// requests that no other fault affected count, and not those whose keys were revoked.
func (observations *observations) checkCutVMs(add addFunc) {
	for _, cut := range observations.log.between(time.Time{}, observations.lastSent().Add(time.Second)) {
		if !slices.Contains([]Kind{KindVMCutReset, KindVMCutSilent, KindVMUpdate}, cut.kind) {
			continue
		}
		atCut, atOthers := observations.servedDuring(cut)
		if atCut.sent < minCutRequests || atOthers.sent < minCutRequests {
			continue
		}
		if atCut.fraction() < minCutServed*atOthers.fraction() {
			add(InvariantCutServed, "%s with %s: %d of %d served, at the others %d of %d",
				cut.vm, cut.kind, atCut.served, atCut.sent, atOthers.served, atOthers.sent)
		}
	}
}

// servedCount counts requests, and how many of them were served.
type servedCount struct {
	sent, served int
}

func (count servedCount) fraction() float64 {
	return float64(count.served) / float64(count.sent)
}

// servedDuring counts the requests sent later than boundContact after the start of a cut, at the VM and at the others.
func (observations *observations) servedDuring(cut span) (atCut, atOthers servedCount) {
	for _, outcome := range observations.outcomes {
		if outcome.Route == routeLong || outcome.Status == http.StatusUnauthorized || outcome.Sent.Before(cut.from.Add(boundContact)) || outcome.Ended.After(cut.to) {
			continue
		}
		if observations.affectedByOther(outcome, cut) {
			continue
		}
		count := &atOthers
		if outcome.VM == cut.vm {
			count = &atCut
		}
		count.sent++
		if outcome.succeeded() {
			count.served++
		}
	}
	return atCut, atOthers
}

// affectedByOther reports whether an unplanned fault other than the cut was active shortly before or while a request was
// in flight.
func (observations *observations) affectedByOther(outcome Outcome, cut span) bool {
	for _, span := range observations.log.between(outcome.Sent.Add(-boundContact), outcome.Ended) {
		if span != cut && !span.kind.planned() && (span.vm == "" || span.vm == outcome.VM || span.vm == cut.vm) {
			return true
		}
	}
	return false
}

// lastSent returns when the last request was sent.
func (observations *observations) lastSent() time.Time {
	var last time.Time
	for _, outcome := range observations.outcomes {
		if outcome.Sent.After(last) {
			last = outcome.Sent
		}
	}
	return last
}
