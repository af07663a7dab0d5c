package quarantine

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Entry is a request that is kept from servers. It is immutable.
type Entry struct {
	Fingerprint fingerprint.Fingerprint
	// Until is when it may be tried again.
	Until time.Time
	// Times counts how often it was found to be the cause, from one.
	Times int
}

// duration returns for how long an entry is kept the nth time.
func (settings Settings) duration(times int) time.Duration {
	duration := settings.Time
	for range times - 1 {
		duration = min(2*duration, settings.TimeMax)
	}
	return duration
}

// lift ends an entry that a good answer refutes: one that was under way when the request was kept from servers.
func (book *Book) lift(request fingerprint.Fingerprint, now time.Time) {
	entry, found := book.entries.Peek(request)
	if !found || !entry.Until.After(now) {
		return
	}
	lifted := Entry{Fingerprint: request, Times: entry.Times + 1, Until: now}
	book.enter(lifted)
	book.found = append(book.found, lifted)
	book.logger.Info("request is harmless", "fingerprint", request)
	book.wake()
}

// enter takes in an entry, unless it is known.
func (book *Book) enter(entry Entry) {
	if known, found := book.entries.Peek(entry.Fingerprint); found && known.Times >= entry.Times {
		return
	}
	book.entries.Add(entry.Fingerprint, entry)
	if suspect, found := book.suspects.Peek(entry.Fingerprint); found {
		suspect.entry = &entry
	}
	if !entry.Until.After(book.now()) {
		return
	}
	for watch := range book.watches[entry.Fingerprint] {
		watch.call()
	}
}

// Told takes in entries of another VM.
func (book *Book) Told(entries []Entry) {
	book.mu.Lock()
	defer book.mu.Unlock()
	now := book.now()
	latest := now.Add(book.settings.TimeMax) // the clock of who wrote it may have been ahead
	for _, entry := range entries {
		if entry.Until.After(latest) {
			entry.Until = latest
		}
		if entry.Until.After(now) || book.entries.Contains(entry.Fingerprint) {
			book.enter(entry)
		}
	}
}

// Entries returns the entries in force, the last ones first.
func (book *Book) Entries() []Entry {
	return book.entriesAfter(0)
}

// Tell returns what other VMs are to be told: the entries in force, and those that were until a moment ago, since
// they may have been lifted.
func (book *Book) Tell() []Entry {
	return book.entriesAfter(-book.settings.Repeat)
}

// entriesAfter returns the entries with more than so much time left.
func (book *Book) entriesAfter(left time.Duration) []Entry {
	book.mu.Lock()
	defer book.mu.Unlock()
	now := book.now()
	var entries []Entry
	for _, entry := range book.entries.Values() {
		if entry.Until.Sub(now) > left {
			entries = append(entries, entry)
		}
	}
	slices.Reverse(entries)
	return entries
}

// Kept returns for how long a request is still kept from servers, or zero.
func (book *Book) Kept(request fingerprint.Fingerprint) time.Duration {
	book.mu.Lock()
	defer book.mu.Unlock()
	entry, found := book.entries.Peek(request)
	if !found {
		return 0
	}
	return max(0, entry.Until.Sub(book.now()))
}

// OnTrial reports whether a request was kept from servers and may be tried again: at one server, since the next one would be
// lost before the first loss is known.
func (book *Book) OnTrial(request fingerprint.Fingerprint) bool {
	book.mu.Lock()
	defer book.mu.Unlock()
	entry, found := book.entries.Peek(request)
	return found && !entry.Until.After(book.now()) && !book.answered.Contains(request)
}
