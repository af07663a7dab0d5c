package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Why a server was lost is not told. All that was there at that moment is suspect, ten or
// more requests on a busy engine, and one of them or none is the cause. These decide:
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

// loss is a server that was lost.
type loss struct {
	server string
	at     time.Time
	// aboard has the requests that were there, each once.
	aboard []*suspect
	// void says that the server answered soon after, so it was not lost.
	void bool
}

// suspect is a request that was on servers that were lost.
type suspect struct {
	fingerprint fingerprint.Fingerprint
	// losses has these servers, each start once, in the order of time.
	losses []*loss
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
func (suspect *suspect) on(loss *loss) bool {
	return slices.Contains(loss.aboard, suspect)
}

// asLikely reports whether the request may as well be the cause as another one. One that ever ended well may
// not: a popular one is on each lost server too. One that had events may be less so than one that never had:
// of 23 requests under which engines crashed none had an event, of 270 that were broken off
// beside them 237 had.
func (suspect *suspect) asLikely(other *suspect) bool {
	return suspect.answered == nil && (!suspect.ran || other.ran)
}

// hasKnownCause reports whether another request was on the server that is kept from servers.
func (loss *loss) hasKnownCause(accused *suspect) bool {
	return slices.ContainsFunc(loss.aboard, func(other *suspect) bool {
		return other != accused && other.entry != nil
	})
}

// evidence is what a decision goes by.
type evidence struct {
	// losses has all lost servers in the order of time.
	losses   []*loss
	now      time.Time
	settings Settings
}

// harmful reports whether a request counts as the cause of the losses under it.
func (evidence evidence) harmful(request *suspect) bool {
	if request.entry == nil && len(request.losses) < evidence.settings.Strikes {
		return false // as almost all are when many servers are lost at once
	}
	if evidence.cleared(request) {
		return false
	}
	switch blamed := evidence.blamed(request, evidence.unexplained); {
	case request.answered != nil:
		return blamed >= evidence.settings.Certain
	case request.entry != nil:
		return blamed > 0
	default:
		// No wave of crashes hides it for good.
		return blamed >= evidence.settings.Strikes ||
			evidence.blamed(request, allLosses) >= evidence.settings.Certain
	}
}

// cleared reports whether a request ends well as often as servers are lost under it.
func (evidence evidence) cleared(request *suspect) bool {
	if request.answered == nil {
		return false
	}
	answers := request.answered.current(evidence.now, evidence.settings.GoodHalf)
	return answers >= float64(evidence.count(request.losses))
}

// blamed counts the losses under a request since it was last kept from servers, among those that
// counted returns, for which no other request on the server is as likely and has as many of these.
func (evidence evidence) blamed(request *suspect, counted func(request *suspect) []*loss) int {
	own := counted(request)
	most := evidence.count(own)
	return evidence.count(without(own, func(loss *loss) bool {
		if loss.hasKnownCause(request) || (request.entry != nil && !loss.at.After(request.entry.Until)) {
			return true
		}
		return slices.ContainsFunc(loss.aboard, func(rival *suspect) bool {
			return rival != request && rival.asLikely(request) && evidence.count(counted(rival)) >= most
		})
	}))
}

func allLosses(request *suspect) []*loss {
	return request.losses
}

// unexplained returns the losses under a request that no wave explains.
func (evidence evidence) unexplained(request *suspect) []*loss {
	return without(request.losses, func(loss *loss) bool { return evidence.inWave(request, loss) })
}

// inWave reports whether another server was lost at the same moment that did not have the
// request.
func (evidence evidence) inWave(request *suspect, lost *loss) bool {
	moment := evidence.settings.Moment
	return slices.ContainsFunc(between(evidence.losses, lost.at.Add(-moment), lost.at.Add(moment)), func(other *loss) bool {
		return !other.void && !request.on(other)
	})
}

// count returns at how many moments servers were lost. Those of one moment count once, and those
// that are not settled not yet.
func (evidence evidence) count(losses []*loss) int {
	settled := evidence.now.Add(-evidence.settings.Settle)
	moments := 0
	var last time.Time
	for _, loss := range losses {
		if loss.at.After(settled) {
			break
		}
		if loss.void || (moments > 0 && loss.at.Sub(last) <= evidence.settings.Moment) {
			continue
		}
		moments++
		last = loss.at
	}
	return moments
}

func compareTime(loss *loss, at time.Time) int {
	return loss.at.Compare(at)
}

// between returns the losses of a span of time. They are in the order of time.
func between(losses []*loss, from, until time.Time) []*loss {
	first, _ := slices.BinarySearchFunc(losses, from, compareTime)
	last, _ := slices.BinarySearchFunc(losses, until.Add(1), compareTime)
	return losses[first:last]
}

// without returns the losses that do not match.
func without(losses []*loss, match func(loss *loss) bool) []*loss {
	return slices.DeleteFunc(slices.Clone(losses), match)
}
