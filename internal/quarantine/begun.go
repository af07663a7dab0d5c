package quarantine

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Begun is a response that began with a part of its prompt. A server crashes when it begins a response
// with a harmful part, so the part did not crash servers until then.
type Begun struct {
	Part fingerprint.Fingerprint
	At   time.Time
}

// RecordBegun records that a response began with the given parts of its prompt just now. Coordinators
// learn of it if the parts are listed as suspects.
func (tracker *Tracker) RecordBegun(parts []fingerprint.Fingerprint) {
	tracker.mu.Lock()
	now := tracker.now()
	for _, part := range parts {
		tracker.addBegun(part, now)
		tracker.queueBegun(part)
	}
	begun := tracker.takeBegun()
	tracker.mu.Unlock()
	tracker.reportBegun(begun)
}

// RecordRemoteBegun records that a response of another VM began with a part the given time ago.
func (tracker *Tracker) RecordRemoteBegun(part fingerprint.Fingerprint, age time.Duration) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.addBegun(part, tracker.now().Add(-age))
}

// addBegun clears the part of earlier losses, and ends its quarantine if that began earlier.
func (tracker *Tracker) addBegun(part fingerprint.Fingerprint, at time.Time) {
	if known, found := tracker.begun.Peek(part); !found || at.After(known) {
		tracker.begun.Add(part, at)
	}
	if suspect, found := tracker.suspects.Peek(part); found && suspect.clear(at) {
		tracker.signalChange()
	}
	if entry, found := tracker.entries.Peek(part); found && at.After(entry.startedAt(tracker.settings)) {
		tracker.lift(part, at)
	}
}

// queueBegun queues the last begun response of a part for the coordinators if they list the part, unless
// this VM reported one within Settings.BegunInterval.
func (tracker *Tracker) queueBegun(part fingerprint.Fingerprint) {
	now := tracker.now()
	at, found := tracker.begun.Peek(part)
	if !found || !tracker.isListed(part) || now.Sub(tracker.reported[part]) < tracker.settings.BegunInterval {
		return
	}
	tracker.reported[part] = now
	tracker.pendingBegun = append(tracker.pendingBegun, Begun{Part: part, At: at})
}

// isListed reports whether a coordinator lists a part.
func (tracker *Tracker) isListed(part fingerprint.Fingerprint) bool {
	for _, list := range tracker.lists {
		if _, found := list.contained[part]; found && tracker.now().Sub(list.receivedAt) < tracker.settings.ListTTL {
			return true
		}
	}
	return false
}

// takeBegun returns the begun responses that are to be reported now.
func (tracker *Tracker) takeBegun() []Begun {
	begun := tracker.pendingBegun
	tracker.pendingBegun = nil
	return begun
}

func (tracker *Tracker) reportBegun(begun []Begun) {
	if len(begun) > 0 {
		tracker.publisher.ReportBegun(begun)
	}
}

// RecentBegun returns the last begun responses with listed parts that this VM reported within
// Settings.RepublishTime, to be reported repeatedly.
func (tracker *Tracker) RecentBegun() []Begun {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var recent []Begun
	for part, reportedAt := range tracker.reported {
		at, found := tracker.begun.Peek(part)
		if !found || tracker.now().Sub(reportedAt) >= tracker.settings.RepublishTime {
			delete(tracker.reported, part)
			continue
		}
		recent = append(recent, Begun{Part: part, At: at})
	}
	return recent
}
