// Package quarantine finds requests under which servers crash, and keeps them from servers.
//
// What a VM knows of a request ends with each try of its caller, who asks again under
// another ID at another VM. So a request is known here by its fingerprint, and what
// VMs see of it is put together at those that decide.
package quarantine

import (
	"log/slog"
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
	// crashes has the lost servers in the order of time.
	crashes []*crash
	// own has what this VM saw itself lately.
	own []Loss
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

// Loss is a request that was on a server when that was lost.
type Loss struct {
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
	evidence := evidence{crashes: book.crashes, now: now, settings: book.settings}
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
			"lost", servers(suspect.crashes), "until", added.Until)
		book.found = append(book.found, added)
	}
}

// servers names the servers that were lost.
func servers(crashes []*crash) []string {
	names := make([]string, 0, len(crashes))
	for _, crash := range crashes {
		names = append(names, crash.server)
	}
	return names
}
