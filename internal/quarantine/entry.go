package quarantine

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Entry is a request or a part of prompts in quarantine, or one that was. It is immutable.
type Entry struct {
	Fingerprint fingerprint.Fingerprint
	// Until is the end of the quarantine.
	Until time.Time
	// Times is how often the request was found to be the cause of crashes, from one. Lifting the
	// quarantine adds one too, so that the newer entry replaces the older at other VMs.
	Times int
}

// startedAt returns when the quarantine began.
func (entry Entry) startedAt(settings Settings) time.Time {
	return entry.Until.Add(-settings.duration(entry.Times))
}

// duration returns the length of the nth quarantine of a request.
func (settings Settings) duration(times int) time.Duration {
	duration := settings.Time
	for range times - 1 {
		duration = min(2*duration, settings.TimeMax)
	}
	return duration
}

// lift ends the quarantine of a request after a success at the given time, or of a part after a response
// that began with it, which can arrive for an attempt that was in flight when the quarantine began.
func (tracker *Tracker) lift(request fingerprint.Fingerprint, at time.Time) {
	entry, found := tracker.entries.Peek(request)
	if !found || (!entry.Until.After(tracker.now()) && !tracker.restored[request]) {
		return
	}
	delete(tracker.restored, request)
	lifted := Entry{Fingerprint: request, Times: entry.Times + 1, Until: at}
	tracker.addEntry(lifted)
	tracker.found = append(tracker.found, lifted)
	tracker.logger.Info("request quarantine lifted after a success", "fingerprint", request)
	tracker.signalChange()
}

// isNewerThan reports whether an entry replaces another one of the same request.
func (entry Entry) isNewerThan(known Entry) bool {
	return entry.Times > known.Times || (entry.Times == known.Times && entry.Until.After(known.Until))
}

// addEntry adds an entry, unless the known entry of the request is as new or newer.
func (tracker *Tracker) addEntry(entry Entry) {
	if known, found := tracker.entries.Peek(entry.Fingerprint); found && !entry.isNewerThan(known) {
		return
	}
	tracker.entries.Add(entry.Fingerprint, entry)
	if suspect, found := tracker.suspects.Peek(entry.Fingerprint); found {
		suspect.entry = &entry
	}
	if !entry.Until.After(tracker.now()) {
		return
	}
	for watch := range tracker.watches[entry.Fingerprint] {
		watch.notify()
	}
}

// applyStored adds the entries that were read from the store at the start of this VM. They are on probation at once: if they are still in
// force, other VMs say so, and if no other VM knows, nobody can tell any more whether they were right.
func (tracker *Tracker) applyStored(entries []Entry) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now := tracker.now()
	for _, entry := range entries {
		if entry.Until.After(now) {
			entry.Until = now
			tracker.addEntry(entry)
			tracker.restored[entry.Fingerprint] = true
			tracker.logger.Info("stored entry is on probation", "fingerprint", entry.Fingerprint, "times", entry.Times)
		}
	}
}

// ApplyEntries adds entries reported by another VM. Times too far in the
// future are limited to Settings.TimeMax, and expired entries of unknown requests are ignored.
func (tracker *Tracker) ApplyEntries(entries []Entry) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now := tracker.now()
	latest := now.Add(tracker.settings.TimeMax) // the writer's clock may be ahead
	for _, entry := range entries {
		if entry.Until.After(latest) {
			entry.Until = latest
		}
		if entry.Until.After(now) || tracker.entries.Contains(entry.Fingerprint) {
			tracker.addEntry(entry)
		}
	}
}

// Entries returns the entries in force, the newest first.
func (tracker *Tracker) Entries() []Entry {
	return tracker.entriesAfter(0)
}

// PublishableEntries returns the entries to report to other VMs: those in force, and those that
// ended within Settings.RepublishTime, since they may have been lifted.
func (tracker *Tracker) PublishableEntries() []Entry {
	return tracker.entriesAfter(-tracker.settings.RepublishTime)
}

// entriesAfter returns the entries whose remaining time is longer than the given one, the newest
// first.
func (tracker *Tracker) entriesAfter(remaining time.Duration) []Entry {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now := tracker.now()
	var entries []Entry
	for _, entry := range tracker.entries.Values() {
		if entry.Until.Sub(now) > remaining {
			entries = append(entries, entry)
		}
	}
	slices.Reverse(entries)
	return entries
}

// Remaining returns the longest remaining quarantine of a request and the parts of its prompt, or
// zero.
func (tracker *Tracker) Remaining(fingerprints ...fingerprint.Fingerprint) time.Duration {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var remaining time.Duration
	for _, known := range fingerprints {
		if entry, found := tracker.entries.Peek(known); found {
			remaining = max(remaining, entry.Until.Sub(tracker.now()))
		}
	}
	return remaining
}

// OnProbation reports whether the quarantine of a request or of a part of its prompt is over and no
// success is known since. Such a request may be sent to one server at a time: a second one would be
// lost before the first loss is known.
func (tracker *Tracker) OnProbation(fingerprints ...fingerprint.Fingerprint) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return slices.ContainsFunc(fingerprints, tracker.onProbation)
}

func (tracker *Tracker) onProbation(known fingerprint.Fingerprint) bool {
	entry, found := tracker.entries.Peek(known)
	if !found || entry.Until.After(tracker.now()) || tracker.successes.Contains(known) {
		return false
	}
	begunAt, found := tracker.begun.Peek(known)
	return !found || begunAt.Before(entry.Until)
}
