package quarantine

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// The reason for the loss of a server is not reported. All requests in flight there are suspects,
// ten or more on a busy engine, and one of them or none is the cause. It is identified by these
// rules:
//
//   - Only a server whose process is known to have ended was lost. A connection that ended, or an
//     answer that did not come, says nothing by itself.
//   - A request that crashes servers does so each time. A request that succeeded elsewhere is
//     not the cause, unless more servers are lost under it than respond in the same time.
//   - Servers that are lost without the request at the same moment, as in a wave of crashes or
//     when a VM loses its connections, indicate another cause.
//   - Of the requests on one server the cause is the one that was on the most lost servers,
//     since other requests share only some of them by chance. A request without events of its
//     response takes precedence over one with events.
//   - Parts that prompts share are suspects like requests. Servers crash when they begin a
//     response, so losses before a response that began with the part don't count. A request takes
//     precedence over its own parts on as many lost servers.
//
// Nothing in this file has a clock, a lock or I/O.

// crash is the loss of a server, caused by a request or for another reason.
type crash struct {
	server string
	at     time.Time
	// requests has the requests in flight on the server, each once.
	requests []*suspect
	// ended is set once the server's process is known to have ended. Until then nothing is known but that connections were
	// lost.
	ended bool
	// refuted is set if the server responded soon after, so it was not lost.
	refuted bool
}

// isProven reports whether the server is known to have crashed.
func (crash *crash) isProven() bool {
	return crash.ended && !crash.refuted
}

// suspect is a request that was in flight on servers when they were lost, or a part of the prompts of
// such requests.
type suspect struct {
	fingerprint fingerprint.Fingerprint
	// crashes has the losses, one for each start of a server, in the order of time. For a part these
	// are the losses since a response last began with it.
	crashes []*crash
	// hadEvent is set if an event of the response arrived before one of the losses. For a part it is
	// set if any response is known to have begun with it.
	hadEvent bool
	// successes counts the successes, and is nil for none and for a part.
	successes *successes
	// successesBefore has the number of successes before each of the crashes, where there were any.
	successesBefore map[*crash]int
	// entry is the last entry of the request or part, or nil.
	entry *Entry
	// isPart is set for a part.
	isPart bool
	// parts has the parts of a request's prompt.
	parts []*suspect
	// begunAt is when a response last began with a part, or zero.
	begunAt time.Time
}

// successes counts a request's successes.
type successes struct {
	count int
	// at is the time of the last one.
	at time.Time
}

// successesSince returns the number of successes since a crash under the request.
func (suspect *suspect) successesSince(crash *crash) int {
	if suspect.successes == nil {
		return 0
	}
	return suspect.successes.count - suspect.successesBefore[crash]
}

// wasOn reports whether the request was in flight on the server of a crash.
func (suspect *suspect) wasOn(crash *crash) bool {
	return slices.Contains(crash.requests, suspect)
}

// isAsLikely reports whether the request is at least as likely a cause as another one. A request
// with a success is not: a frequent request is on each lost server too. A request with events is
// less likely than one without, since engines crash before the first event.
func (suspect *suspect) isAsLikely(other *suspect) bool {
	return suspect.successes == nil && (!suspect.hadEvent || other.hadEvent)
}

// has reports whether part is one of the request's prompt.
func (suspect *suspect) has(part *suspect) bool {
	return slices.Contains(suspect.parts, part)
}

// clear drops the losses of a part until a response began with it, and reports whether this changes
// the evidence.
func (suspect *suspect) clear(begunAt time.Time) bool {
	before, hadEvent := len(suspect.crashes), suspect.hadEvent
	suspect.hadEvent = true
	if begunAt.After(suspect.begunAt) {
		suspect.begunAt = begunAt
		suspect.crashes = without(suspect.crashes, func(crash *crash) bool { return !crash.at.After(begunAt) })
	}
	return len(suspect.crashes) < before || !hadEvent
}

// isKnownCause reports whether the request or part is or was in quarantine, and no response has begun
// with the part since.
func (suspect *suspect) isKnownCause() bool {
	return suspect.entry != nil && (!suspect.isPart || suspect.begunAt.Before(suspect.entry.Until))
}

// hasKnownCause reports whether the server had another request or part that is or was in quarantine.
// Requests with a part say nothing against its being the cause.
func (crash *crash) hasKnownCause(request *suspect) bool {
	return slices.ContainsFunc(crash.requests, func(other *suspect) bool {
		return other != request && other.isKnownCause() && !other.has(request)
	})
}

// evidence is the input of an evaluation.
type evidence struct {
	// crashes has the losses of all servers in the order of time.
	crashes  []*crash
	now      time.Time
	settings Settings
}

// isHarmful reports whether a request counts as the cause of the crashes under it.
func (evidence evidence) isHarmful(request *suspect) bool {
	if !request.isKnownCause() && len(request.crashes) < evidence.settings.Limit {
		return false // the case of almost all requests when many servers are lost at once
	}
	switch {
	case request.successes != nil:
		return evidence.crashesUsually(request, evidence.blamed(request, evidence.unexplainedCrashes, request.has), evidence.settings.CertainLimit)
	case request.isKnownCause():
		return evidence.countMoments(evidence.crashesOnProbation(request)) > 0
	case request.isPart && !request.hadEvent:
		return evidence.countBlamed(request, evidence.unexplainedCrashes) >= evidence.settings.Limit || evidence.isCertain(request)
	case request.isPart:
		return evidence.countBlamed(request, evidence.unexplainedCrashes) >= evidence.settings.CertainLimit
	default:
		// A wave of crashes cannot hide the request permanently.
		return evidence.crashesUsually(request, evidence.blamed(request, evidence.unexplainedCrashes, request.has), evidence.settings.Limit) ||
			evidence.crashesUsually(request, evidence.blamed(request, allCrashes, request.has), evidence.settings.CertainLimit)
	}
}

// wouldBeHarmful reports whether a request counts as the cause of the crashes under it, had it never been in quarantine.
func (evidence evidence) wouldBeHarmful(request *suspect) bool {
	entry := request.entry
	request.entry = nil
	defer func() { request.entry = entry }()
	return evidence.isHarmful(request)
}

// crashesOnProbation returns the crashes under a request after its quarantine that no wave
// explains. Other requests on the server don't matter, since this one was found to be a cause
// before, unless one of them was too.
func (evidence evidence) crashesOnProbation(request *suspect) []*crash {
	return without(evidence.unexplainedCrashes(request), func(crash *crash) bool {
		return !crash.at.After(request.entry.Until) || crash.hasKnownCause(request)
	})
}

// crashesUsually reports whether servers crashed at so many moments under a request, and in the same time fewer of its tries ended in any
// other way. All are counted since the first of these crashes, so that neither how rare the request is nor how long it was harmless
// before decides.
func (evidence evidence) crashesUsually(request *suspect, crashes []*crash, limit int) bool {
	moments := evidence.moments(crashes)
	for index, first := range moments {
		count := len(moments) - index
		if count < limit {
			return false
		}
		if request.successesSince(first)+evidence.unprovenSince(request, first) < count {
			return true
		}
	}
	return false
}

// unprovenSince returns the number of moments since a crash at which answers of the request were lost and nothing shows that the
// server ended.
func (evidence evidence) unprovenSince(request *suspect, first *crash) int {
	count := 0
	var last time.Time
	for _, lost := range request.crashes {
		if lost.at.Before(first.at) || lost.ended || (count > 0 && lost.at.Sub(last) <= evidence.settings.Moment) {
			continue
		}
		count++
		last = lost.at
	}
	return count
}

// isCertain reports whether servers were lost under a part at so many moments that parts which are
// always beside it no longer explain them.
func (evidence evidence) isCertain(part *suspect) bool {
	blamed := evidence.blamed(part, evidence.unexplainedCrashes, func(other *suspect) bool { return part.isAsLikely(other) })
	return evidence.countMoments(blamed) >= evidence.settings.CertainLimit
}

// countBlamed counts the moments of the crashes that blamed returns. A request's own parts explain
// crashes only if they have more.
func (evidence evidence) countBlamed(request *suspect, selected func(request *suspect) []*crash) int {
	return evidence.countMoments(evidence.blamed(request, selected, request.has))
}

// blamed returns the crashes under a request since its last quarantine, among those that selected
// returns, for which no other request on the server is as likely and has as many of these, or more of
// these where the request goes before it. A part with which responses began before is not the cause
// if one with which none ever did was on more than one of the servers: the former may have more
// losses for other reasons, as when VMs lose their connections.
func (evidence evidence) blamed(request *suspect, selected func(request *suspect) []*crash, before func(other *suspect) bool) []*crash {
	own := selected(request)
	ownMoments := evidence.countMoments(own)
	explains := func(other *suspect) bool {
		if other == request || !other.isAsLikely(request) {
			return false
		}
		moments := evidence.countMoments(selected(other))
		if request.isPart && request.hadEvent && other.isPart && !other.hadEvent && moments > 1 {
			return true
		}
		return moments > ownMoments || (moments == ownMoments && !before(other))
	}
	return without(own, func(crash *crash) bool {
		if crash.hasKnownCause(request) || (request.entry != nil && !crash.at.After(request.entry.Until)) {
			return true
		}
		return slices.ContainsFunc(crash.requests, explains)
	})
}

// isContained reports whether so many servers were lost under a request or part that only one request
// with it may be in flight, until a response begins or it is quarantined. Losses count at once and
// without proof that the servers ended, since the next ones may follow within milliseconds. Those under a part with which responses began before
// count by moments, since such a part is on most servers when VMs lose their connections.
func (evidence evidence) isContained(request *suspect) bool {
	switch {
	case request.successes != nil, request.isKnownCause(), request.hadEvent && !request.isPart:
		return false
	case evidence.sinceLastLoss(request) >= evidence.settings.ContainmentTime:
		return false
	case request.hadEvent:
		return evidence.countBlamed(request, evidence.unexplainedCrashes) >= evidence.settings.ContainmentLimit
	default:
		return len(without(evidence.unexplainedCrashes(request), isRefuted)) >= evidence.settings.ContainmentLimit
	}
}

// isAsked reports whether other VMs are asked if responses have begun with a part since its last loss.
func (evidence evidence) isAsked(part *suspect) bool {
	return part.isPart && evidence.sinceLastLoss(part) < evidence.settings.RepublishTime
}

// sinceLastLoss returns the time since the last loss under a request or part, which must have one.
func (evidence evidence) sinceLastLoss(request *suspect) time.Duration {
	return evidence.now.Sub(request.crashes[len(request.crashes)-1].at)
}

func isRefuted(crash *crash) bool {
	return crash.refuted
}

func allCrashes(request *suspect) []*crash {
	return request.crashes
}

// unexplainedCrashes returns the crashes under a request that no wave explains.
func (evidence evidence) unexplainedCrashes(request *suspect) []*crash {
	return without(request.crashes, func(crash *crash) bool { return evidence.inWave(request, crash) })
}

// inWave reports whether a server without the request was lost at the same moment, proven or not: the proof of one may come
// later than that of another.
func (evidence evidence) inWave(request *suspect, lost *crash) bool {
	moment := evidence.settings.Moment
	return slices.ContainsFunc(between(evidence.crashes, lost.at.Add(-moment), lost.at.Add(moment)), func(other *crash) bool {
		return !other.refuted && !request.wasOn(other)
	})
}

// countMoments returns the number of distinct moments of crashes.
func (evidence evidence) countMoments(crashes []*crash) int {
	return len(evidence.moments(crashes))
}

// moments returns the first of the proven crashes of each moment. Crashes within Settings.Moment of each other are one moment. Those
// more recent than Settings.EvaluationDelay are left out so far.
func (evidence evidence) moments(crashes []*crash) []*crash {
	latest := evidence.now.Add(-evidence.settings.EvaluationDelay)
	var moments []*crash
	for _, crash := range crashes {
		if crash.at.After(latest) {
			break
		}
		if !crash.isProven() || (len(moments) > 0 && crash.at.Sub(moments[len(moments)-1].at) <= evidence.settings.Moment) {
			continue
		}
		moments = append(moments, crash)
	}
	return moments
}

func compareTime(crash *crash, at time.Time) int {
	return crash.at.Compare(at)
}

// between returns the crashes within a period, both ends included. The crashes must be in the order
// of time.
func between(crashes []*crash, from, until time.Time) []*crash {
	first, _ := slices.BinarySearchFunc(crashes, from, compareTime)
	last, _ := slices.BinarySearchFunc(crashes, until.Add(1), compareTime)
	return crashes[first:last]
}

// without returns the crashes that don't match.
func without(crashes []*crash, match func(crash *crash) bool) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), match)
}
