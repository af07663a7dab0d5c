package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Why a server was lost is not told. All requests that were there are suspect, ten or more on a
// busy engine, and one of them or none is the cause. It is found so:
//
//   - A request that crashes servers does so each time. One that ended well elsewhere is not the
//     cause, unless more servers are lost under it than answer.
//   - Servers that are lost at one moment without the request, as in a wave of crashes or
//     when a VM loses its connections, tell of another cause.
//   - Of the requests on one server the cause is the one that was on most lost servers: those
//     beside it were there by chance, and share only some. Before one that had events of its
//     answer goes one that had none.
//
// Nothing here has a clock, a lock or I/O.

// crash is a server that was lost, under a request or for a reason of its own.
type crash struct {
	server string
	at     time.Time
	// requests has the requests that were there, each once.
	requests []*suspect
	// void says that the server answered soon after, so it was not lost.
	void bool
}

// suspect is a request that was on servers that were lost.
type suspect struct {
	fingerprint fingerprint.Fingerprint
	// crashes has these servers, each start once, in the order of time.
	crashes []*crash
	// ran says that an event of its answer came before one of them was lost.
	ran bool
	// answered counts good answers, and is nil for none.
	answered *answered
	// entry is the request's last one, or nil.
	entry *Entry
}

// answered counts good answers of a request, older ones less.
type answered struct {
	count float64
	at    time.Time
}

// add counts one more.
func (answered *answered) add(now time.Time, half time.Duration) {
	answered.count = 1 + answered.current(now, half)
	answered.at = now
}

// current returns the count as it is now.
func (answered *answered) current(now time.Time, half time.Duration) float64 {
	return answered.count * math.Exp2(-now.Sub(answered.at).Seconds()/half.Seconds())
}

// on reports whether the request was on a server when that was lost.
func (suspect *suspect) on(crash *crash) bool {
	return slices.Contains(crash.requests, suspect)
}

// asLikely reports whether the request may as well be the cause as another one. One that ever ended well may
// not: a popular one is on each lost server too. One that had events may be less so than one that never had, since
// engines crash before the first event.
func (suspect *suspect) asLikely(other *suspect) bool {
	return suspect.answered == nil && (!suspect.ran || other.ran)
}

// hasKnownCause reports whether another request was on the server that is kept from servers.
func (crash *crash) hasKnownCause(request *suspect) bool {
	return slices.ContainsFunc(crash.requests, func(other *suspect) bool {
		return other != request && other.entry != nil
	})
}

// evidence is what a decision goes by.
type evidence struct {
	// crashes has all lost servers in the order of time.
	crashes  []*crash
	now      time.Time
	settings Settings
}

// harmful reports whether a request counts as the cause of the crashes under it.
func (evidence evidence) harmful(request *suspect) bool {
	if request.entry == nil && len(request.crashes) < evidence.settings.Limit {
		return false // as almost all are when many servers are lost at once
	}
	if evidence.cleared(request) {
		return false
	}
	switch {
	case request.answered != nil:
		return evidence.blamed(request, evidence.unexplained) >= evidence.settings.Certain
	case request.entry != nil:
		return evidence.count(evidence.onTrial(request)) > 0
	default:
		// No wave of crashes hides it for good.
		return evidence.blamed(request, evidence.unexplained) >= evidence.settings.Limit ||
			evidence.blamed(request, allCrashes) >= evidence.settings.Certain
	}
}

// onTrial returns the crashes under a request that was kept from servers and may be tried again, which
// no wave explains. Others on the server do not count: it was found before.
func (evidence evidence) onTrial(request *suspect) []*crash {
	return without(evidence.unexplained(request), func(crash *crash) bool {
		return !crash.at.After(request.entry.Until) || crash.hasKnownCause(request)
	})
}

// cleared reports whether a request ends well as often as servers are lost under it.
func (evidence evidence) cleared(request *suspect) bool {
	if request.answered == nil {
		return false
	}
	answers := request.answered.current(evidence.now, evidence.settings.GoodHalf)
	return answers >= float64(evidence.count(request.crashes))
}

// blamed counts the crashes under a request since it was last kept from servers, among those that
// counted returns, for which no other request on the server is as likely and has as many of these.
func (evidence evidence) blamed(request *suspect, counted func(request *suspect) []*crash) int {
	own := counted(request)
	most := evidence.count(own)
	return evidence.count(without(own, func(crash *crash) bool {
		if crash.hasKnownCause(request) || (request.entry != nil && !crash.at.After(request.entry.Until)) {
			return true
		}
		return slices.ContainsFunc(crash.requests, func(other *suspect) bool {
			return other != request && other.asLikely(request) && evidence.count(counted(other)) >= most
		})
	}))
}

func allCrashes(request *suspect) []*crash {
	return request.crashes
}

// unexplained returns the crashes under a request that no wave explains.
func (evidence evidence) unexplained(request *suspect) []*crash {
	return without(request.crashes, func(crash *crash) bool { return evidence.inWave(request, crash) })
}

// inWave reports whether another server was lost at the same moment that did not have the
// request.
func (evidence evidence) inWave(request *suspect, lost *crash) bool {
	moment := evidence.settings.Moment
	return slices.ContainsFunc(between(evidence.crashes, lost.at.Add(-moment), lost.at.Add(moment)), func(other *crash) bool {
		return !other.void && !request.on(other)
	})
}

// count returns at how many moments servers were lost. Those of one moment count once, and those
// that are not settled not yet.
func (evidence evidence) count(crashes []*crash) int {
	settled := evidence.now.Add(-evidence.settings.Settle)
	moments := 0
	var last time.Time
	for _, crash := range crashes {
		if crash.at.After(settled) {
			break
		}
		if crash.void || (moments > 0 && crash.at.Sub(last) <= evidence.settings.Moment) {
			continue
		}
		moments++
		last = crash.at
	}
	return moments
}

func compareTime(crash *crash, at time.Time) int {
	return crash.at.Compare(at)
}

// between returns the crashes of a span of time. They are in the order of time.
func between(crashes []*crash, from, until time.Time) []*crash {
	first, _ := slices.BinarySearchFunc(crashes, from, compareTime)
	last, _ := slices.BinarySearchFunc(crashes, until.Add(1), compareTime)
	return crashes[first:last]
}

// without returns the crashes that do not match.
func without(crashes []*crash, match func(crash *crash) bool) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), match)
}
