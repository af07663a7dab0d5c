package quarantine

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Lost notes that this VM had a request on a server that was lost just now.
func (book *Book) Lost(loss Loss) {
	book.mu.Lock()
	defer book.mu.Unlock()
	loss.At = book.now()
	book.own = append(book.recent(), loss)
	book.note(loss)
}

// LostElsewhere notes the same of another VM, so long ago.
func (book *Book) LostElsewhere(loss Loss, age time.Duration) {
	book.mu.Lock()
	defer book.mu.Unlock()
	loss.At = book.now().Add(-age)
	book.note(loss)
}

// Own returns what this VM saw lately, to be told again.
func (book *Book) Own() []Loss {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.own = book.recent()
	return slices.Clone(book.own)
}

func (book *Book) recent() []Loss {
	oldest := book.now().Add(-book.settings.Repeat)
	return slices.DeleteFunc(book.own, func(loss Loss) bool { return loss.At.Before(oldest) })
}

// Served notes that a request ended well on a server.
func (book *Book) Served(request fingerprint.Fingerprint, server string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	now := book.now()
	count, found := book.answered.Get(request)
	if !found {
		count = &answered{at: now}
		book.answered.Add(request, count)
	}
	count.add(now, book.settings.GoodHalf)
	if suspect, found := book.suspects.Peek(request); found {
		suspect.answered = count
	}
	book.lift(request, now)
	for _, lost := range between(book.crashes, now.Add(-book.settings.Alive), now.Add(-book.settings.Settle)) {
		lost.void = lost.void || lost.server == server
	}
}

// note takes in that a request was on a lost server. It may be told twice.
func (book *Book) note(loss Loss) {
	book.forget()
	lost := book.crashOf(loss)
	known := book.suspect(loss.Fingerprint)
	known.ran = known.ran || loss.Ran
	if known.on(lost) {
		return
	}
	lost.requests = append(lost.requests, known)
	known.crashes = insert(known.crashes, lost)
	book.wake()
}

func (book *Book) wake() {
	select {
	case book.changed <- struct{}{}:
	default:
	}
}

// crashOf returns the crash of a server, which is a new one long after the last one: a server may
// start again under its ID.
func (book *Book) crashOf(loss Loss) *crash {
	near := between(book.crashes, loss.At.Add(-book.settings.Alive), loss.At.Add(book.settings.Alive))
	if at := slices.IndexFunc(near, func(crash *crash) bool { return crash.server == loss.Server }); at >= 0 {
		return near[at]
	}
	lost := &crash{server: loss.Server, at: loss.At}
	book.crashes = insert(book.crashes, lost)
	return lost
}

// insert puts a crash in its place in the order of time.
func insert(crashes []*crash, added *crash) []*crash {
	at, _ := slices.BinarySearchFunc(crashes, added.at, compareTime)
	return slices.Insert(crashes, at, added)
}

func (book *Book) suspect(request fingerprint.Fingerprint) *suspect {
	if known, found := book.suspects.Get(request); found {
		return known
	}
	added := &suspect{fingerprint: request}
	if count, found := book.answered.Peek(request); found && book.now().Sub(count.at) < book.settings.Memory {
		added.answered = count
	}
	if entry, found := book.entries.Peek(request); found {
		added.entry = &entry
	}
	book.suspects.Add(request, added)
	return added
}

// forget drops crashes of long ago, and the first ones where there are too many.
func (book *Book) forget() {
	oldest := book.now().Add(-book.settings.Memory)
	keep := 0
	for keep < len(book.crashes) && (book.crashes[keep].at.Before(oldest) || len(book.crashes)-keep > book.settings.Crashes) {
		dropped := book.crashes[keep]
		for _, suspect := range dropped.requests {
			suspect.crashes = slices.DeleteFunc(suspect.crashes, func(crash *crash) bool { return crash == dropped })
		}
		keep++
	}
	book.crashes = slices.Delete(book.crashes, 0, keep)
}
