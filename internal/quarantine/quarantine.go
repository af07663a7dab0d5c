// Package quarantine finds requests under which servers crash, and keeps them from servers.
//
// What a VM knows of a request ends with each try of its caller, who asks again under
// another ID at another VM. So a request is known here by its fingerprint, and what
// VMs see of it is put together at those that decide.
package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Book has what is known of requests on servers that were lost.
type Book struct {
	settings  Settings
	store     Store
	publisher Publisher
	logger    *slog.Logger
	now       func() time.Time

	mu sync.Mutex
	// suspects has requests on lost servers, by when they were last on one.
	suspects *simplelru.LRU[fingerprint.Fingerprint, *suspect]
	// answered has requests that ended well, by when they last did.
	answered *simplelru.LRU[fingerprint.Fingerprint, *answered]
	// losses has the lost servers in the order of time.
	losses []*loss
	// own has what this VM saw itself lately.
	own []Strike
	// entries has the requests that are, or lately were, kept from servers, by when they came.
	entries *simplelru.LRU[fingerprint.Fingerprint, Entry]
	// found has the entries that are to be told and stored.
	found []Entry
	// watches has what is to be called when a request is kept from servers.
	watches map[fingerprint.Fingerprint]map[*watch]bool
	// changed has an element when there is something to judge.
	changed chan struct{}
}

// Publisher speaks with other VMs.
type Publisher interface {
	// Judges reports whether this VM is told what others see.
	Judges() bool
	// Announce tells all VMs of new entries at once.
	Announce(entries []Entry)
}

// Strike is a request that was on a server when that was lost.
type Strike struct {
	Fingerprint fingerprint.Fingerprint
	// Server is the server's ID.
	Server string
	// Ran says that the request had an event of its answer by then.
	Ran bool
	// At is when it was lost.
	At time.Time
}

// New returns an empty book.
func New(settings Settings, store Store, publisher Publisher, logger *slog.Logger, now func() time.Time) *Book {
	return &Book{
		settings:  settings,
		store:     store,
		publisher: publisher,
		logger:    logger,
		now:       now,
		suspects:  newLRU[*suspect](settings.Suspects),
		answered:  newLRU[*answered](settings.Answered),
		entries:   newLRU[Entry](settings.Entries),
		watches:   make(map[fingerprint.Fingerprint]map[*watch]bool),
		changed:   make(chan struct{}, 1),
	}
}

// newLRU returns a cache of a size that the settings bound.
func newLRU[V any](size int) *simplelru.LRU[fingerprint.Fingerprint, V] {
	cache, err := simplelru.NewLRU[fingerprint.Fingerprint, V](max(1, size), nil)
	if err != nil {
		panic(err) // only for sizes below one
	}
	return cache
}

// Lost notes that this VM had a request on a server that was lost just now.
func (book *Book) Lost(strike Strike) {
	book.mu.Lock()
	defer book.mu.Unlock()
	strike.At = book.now()
	book.own = append(book.recent(), strike)
	book.strike(strike)
}

// LostElsewhere notes the same of another VM, so long ago.
func (book *Book) LostElsewhere(strike Strike, age time.Duration) {
	book.mu.Lock()
	defer book.mu.Unlock()
	strike.At = book.now().Add(-age)
	book.strike(strike)
}

// Own returns what this VM saw lately, to be told again.
func (book *Book) Own() []Strike {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.own = book.recent()
	return slices.Clone(book.own)
}

func (book *Book) recent() []Strike {
	oldest := book.now().Add(-book.settings.Repeat)
	return slices.DeleteFunc(book.own, func(strike Strike) bool { return strike.At.Before(oldest) })
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
	for _, lost := range between(book.losses, now.Add(-book.settings.Alive), now.Add(-book.settings.Settle)) {
		lost.void = lost.void || lost.server == server
	}
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

// strike takes in that a request was on a lost server. It may be told twice.
func (book *Book) strike(strike Strike) {
	book.forget()
	lost := book.lossOf(strike)
	known := book.suspect(strike.Fingerprint)
	known.ran = known.ran || strike.Ran
	if known.on(lost) {
		return
	}
	lost.aboard = append(lost.aboard, known)
	known.losses = insert(known.losses, lost)
	book.wake()
}

func (book *Book) wake() {
	select {
	case book.changed <- struct{}{}:
	default:
	}
}

// lossOf returns the loss of a server, which is a new one long after the last one: a server may
// start again under its ID.
func (book *Book) lossOf(strike Strike) *loss {
	near := between(book.losses, strike.At.Add(-book.settings.Alive), strike.At.Add(book.settings.Alive))
	if at := slices.IndexFunc(near, func(loss *loss) bool { return loss.server == strike.Server }); at >= 0 {
		return near[at]
	}
	lost := &loss{server: strike.Server, at: strike.At}
	book.losses = insert(book.losses, lost)
	return lost
}

// insert puts a loss in its place in the order of time.
func insert(losses []*loss, added *loss) []*loss {
	at, _ := slices.BinarySearchFunc(losses, added.at, compareTime)
	return slices.Insert(losses, at, added)
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

// forget drops losses of long ago, and the first ones where there are too many.
func (book *Book) forget() {
	oldest := book.now().Add(-book.settings.Memory)
	keep := 0
	for keep < len(book.losses) && (book.losses[keep].at.Before(oldest) || len(book.losses)-keep > book.settings.Losses) {
		dropped := book.losses[keep]
		for _, suspect := range dropped.aboard {
			suspect.losses = slices.DeleteFunc(suspect.losses, func(loss *loss) bool { return loss == dropped })
		}
		keep++
	}
	book.losses = slices.Delete(book.losses, 0, keep)
}

// judge enters requests that are found to be the cause, unless this VM is not told enough, and returns
// what is new to tell.
func (book *Book) judge() []Entry {
	judges := book.publisher.Judges()
	book.mu.Lock()
	defer book.mu.Unlock()
	if judges {
		book.findHarmful(book.now())
	}
	found := book.found
	book.found = nil
	return found
}

func (book *Book) findHarmful(now time.Time) {
	evidence := evidence{losses: book.losses, now: now, settings: book.settings}
	for _, suspect := range book.suspects.Values() {
		entry := suspect.entry
		if entry != nil && now.Before(entry.Until) || !evidence.harmful(suspect) {
			continue
		}
		times := 1
		if entry != nil {
			times += entry.Times
		}
		added := Entry{
			Fingerprint: suspect.fingerprint, Times: times, Until: now.Add(book.settings.duration(times)),
		}
		book.enter(added)
		book.logger.Warn("request kept from servers", "fingerprint", added.Fingerprint, "times", times,
			"lost", servers(suspect.losses), "until", added.Until)
		book.found = append(book.found, added)
	}
}

// servers names the servers that were lost.
func servers(losses []*loss) []string {
	names := make([]string, 0, len(losses))
	for _, loss := range losses {
		names = append(names, loss.server)
	}
	return names
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
