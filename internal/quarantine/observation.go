package quarantine

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// RecordLoss records that this VM just lost a server under a request. It sets loss.At.
func (tracker *Tracker) RecordLoss(loss Loss) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	loss = loss.at(tracker.now())
	lost := tracker.addLoss(loss)
	loss.Ended = lost.ended
	tracker.own = append(tracker.recentLosses(), loss)
}

// RecordEnd records that the process of a server is known to have ended just now, which proves its losses within Settings.ProofTime. It
// returns those that this VM observed and that are to be reported with this proof.
func (tracker *Tracker) RecordEnd(server string) []Loss {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now := tracker.now()
	proven := false
	for _, lost := range between(tracker.crashes, now.Add(-tracker.settings.ProofTime), now) {
		if lost.server == server && !lost.ended {
			lost.ended, proven = true, true
		}
	}
	if proven {
		tracker.signalChange()
	}
	tracker.own = tracker.recentLosses()
	var losses []Loss
	for index := range tracker.own {
		if loss := &tracker.own[index]; loss.Server == server && !loss.Ended {
			loss.Ended = true
			losses = append(losses, *loss)
		}
	}
	return losses
}

// at returns the loss with its time, and with the parts that count.
func (loss Loss) at(at time.Time) Loss {
	loss.At = at
	if loss.HadEvent {
		loss.Parts = nil
	}
	return loss
}

// RecordRemoteLoss records a loss that another VM observed the given time ago.
func (tracker *Tracker) RecordRemoteLoss(loss Loss, age time.Duration) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.addLoss(loss.at(tracker.now().Add(-age)))
}

// RecentLosses returns the losses that this VM observed within Settings.RepublishTime, to be
// reported repeatedly.
func (tracker *Tracker) RecentLosses() []Loss {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.own = tracker.recentLosses()
	return slices.Clone(tracker.own)
}

func (tracker *Tracker) recentLosses() []Loss {
	oldest := tracker.now().Add(-tracker.settings.RepublishTime)
	return slices.DeleteFunc(tracker.own, func(loss Loss) bool { return loss.At.Before(oldest) })
}

// RecordCompletion records the success of a request on a server. It lifts the quarantine of the
// request and refutes recent losses of the server.
func (tracker *Tracker) RecordCompletion(request fingerprint.Fingerprint, server string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now := tracker.now()
	count := tracker.successesOf(request, now)
	count.count++
	count.at = now
	tracker.lift(request, now)
	for _, lost := range between(tracker.crashes, now.Add(-tracker.settings.RefutationWindow), now.Add(-tracker.settings.EvaluationDelay)) {
		if lost.server == server && !lost.refuted {
			lost.refuted = true
			tracker.reconsider(lost, now)
		}
	}
}

// successesOf returns the count of a request's successes, which it adds if there is none within Settings.HistoryTime.
func (tracker *Tracker) successesOf(request fingerprint.Fingerprint, now time.Time) *successes {
	count, found := tracker.successes.Get(request)
	suspect, isSuspect := tracker.suspects.Peek(request)
	if !found || now.Sub(count.at) >= tracker.settings.HistoryTime {
		count = &successes{at: now}
		if isSuspect && suspect.successes != nil {
			count = suspect.successes // its crashes refer to this count
		}
		tracker.successes.Add(request, count)
	}
	if isSuspect {
		suspect.successes = count
	}
	return count
}

// reconsider lifts the quarantines that rest on a crash which did not happen.
func (tracker *Tracker) reconsider(refuted *crash, now time.Time) {
	evidence := evidence{crashes: tracker.crashes, now: now, settings: tracker.settings}
	for _, suspect := range refuted.requests {
		if suspect.entry == nil || !suspect.entry.Until.After(now) || refuted.at.After(suspect.entry.startedAt(tracker.settings)) {
			continue
		}
		if !evidence.wouldBeHarmful(suspect) {
			tracker.lift(suspect.fingerprint, now)
		}
	}
}

// addLoss adds a loss, and returns the crash that it belongs to. It may be reported repeatedly.
func (tracker *Tracker) addLoss(loss Loss) *crash {
	tracker.dropOld()
	lost := tracker.crashFor(loss)
	if loss.Ended && !lost.ended {
		lost.ended = true
		tracker.signalChange()
	}
	known := tracker.suspect(loss.Fingerprint, false)
	known.hadEvent = known.hadEvent || loss.HadEvent
	for _, part := range loss.Parts {
		tracker.addPartLoss(known, tracker.suspect(part, true), lost)
	}
	if known.wasOn(lost) {
		return lost
	}
	tracker.addTo(lost, known)
	known.addCrash(lost)
	tracker.signalChange()
	return lost
}

// addCrash adds a crash under the request, and the number of successes before it.
func (suspect *suspect) addCrash(lost *crash) {
	suspect.crashes = insertCrash(suspect.crashes, lost)
	if suspect.successes == nil {
		return
	}
	if suspect.successesBefore == nil {
		suspect.successesBefore = make(map[*crash]int)
	}
	suspect.successesBefore[lost] = suspect.successes.count
}

// addTo adds a request or part to those of a crash.
func (tracker *Tracker) addTo(lost *crash, suspect *suspect) {
	lost.requests = append(lost.requests, suspect)
	tracker.losses++
}

// addPartLoss adds the loss of a server under a request to a part of the request's prompt.
func (tracker *Tracker) addPartLoss(request, part *suspect, lost *crash) {
	if !request.has(part) {
		request.parts = append(request.parts, part)
	}
	if part.wasOn(lost) {
		return
	}
	tracker.addTo(lost, part)
	if lost.at.After(part.begunAt) {
		part.crashes = insertCrash(part.crashes, lost)
	}
}

func (tracker *Tracker) signalChange() {
	select {
	case tracker.changed <- struct{}{}:
	default:
	}
}

// crashFor returns the crash that a loss belongs to, and adds it if none is nearby in time: a
// server may restart under its ID.
func (tracker *Tracker) crashFor(loss Loss) *crash {
	nearby := between(tracker.crashes, loss.At.Add(-tracker.settings.RefutationWindow), loss.At.Add(tracker.settings.RefutationWindow))
	if at := slices.IndexFunc(nearby, func(crash *crash) bool { return crash.server == loss.Server }); at >= 0 {
		return nearby[at]
	}
	lost := &crash{server: loss.Server, at: loss.At}
	tracker.crashes = insertCrash(tracker.crashes, lost)
	return lost
}

// insertCrash inserts a crash in the order of time.
func insertCrash(crashes []*crash, added *crash) []*crash {
	at, _ := slices.BinarySearchFunc(crashes, added.at, compareTime)
	return slices.Insert(crashes, at, added)
}

func (tracker *Tracker) suspect(request fingerprint.Fingerprint, isPart bool) *suspect {
	if known, found := tracker.suspects.Get(request); found {
		return known
	}
	added := &suspect{fingerprint: request, isPart: isPart}
	if begunAt, found := tracker.begun.Peek(request); found && tracker.now().Sub(begunAt) < tracker.settings.HistoryTime {
		added.clear(begunAt)
	}
	if count, found := tracker.successes.Peek(request); found && tracker.now().Sub(count.at) < tracker.settings.HistoryTime {
		added.successes = count
	}
	if entry, found := tracker.entries.Peek(request); found {
		added.entry = &entry
	}
	tracker.suspects.Add(request, added)
	return added
}

// dropOld drops crashes older than Settings.HistoryTime, and the oldest ones beyond
// Settings.MaxCrashes and Settings.MaxLosses.
func (tracker *Tracker) dropOld() {
	oldest := tracker.now().Add(-tracker.settings.HistoryTime)
	drop := 0
	for drop < len(tracker.crashes) {
		dropped := tracker.crashes[drop]
		tooMany := len(tracker.crashes)-drop > tracker.settings.MaxCrashes || tracker.losses > tracker.settings.MaxLosses
		if !tooMany && !dropped.at.Before(oldest) {
			break
		}
		tracker.losses -= len(dropped.requests)
		for _, suspect := range dropped.requests {
			suspect.crashes = slices.DeleteFunc(suspect.crashes, func(crash *crash) bool { return crash == dropped })
			delete(suspect.successesBefore, dropped)
		}
		drop++
	}
	tracker.crashes = slices.Delete(tracker.crashes, 0, drop)
}
