// Package quarantine identifies requests that crash servers, and parts that the prompts of such
// requests share, and keeps them from all servers for a time.
//
// The state of a request in one VM ends with each attempt of its caller, who repeats it under
// another ID at another VM. So requests and parts are identified by their fingerprints, and the
// observations of all VMs are evaluated together at the coordinators. A server is lost under a
// request if the request was in flight there, and under the parts of its prompt if no event of the
// response had arrived.
package quarantine

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
)

// Tracker collects the losses of servers under requests and parts of prompts, and those in
// quarantine. It is safe for concurrent use.
type Tracker struct {
	settings  Settings
	store     Store
	publisher Publisher
	logger    *slog.Logger
	now       func() time.Time

	mu sync.Mutex
	// suspects has the requests on lost servers, the one with the latest loss last.
	suspects *simplelru.LRU[fingerprint.Fingerprint, *suspect]
	// successes has the requests that succeeded, the one with the latest success last.
	successes *simplelru.LRU[fingerprint.Fingerprint, *successes]
	// begun has when a response last began with a part, the latest last.
	begun *simplelru.LRU[fingerprint.Fingerprint, time.Time]
	// crashes has the lost servers in the order of time.
	crashes []*crash
	// losses is the number of requests and parts of all crashes together.
	losses int
	// own has the losses that this VM observed recently.
	own []Loss
	// entries has the requests that are in quarantine or lately were, the last added last.
	entries *simplelru.LRU[fingerprint.Fingerprint, Entry]
	// restored has the requests whose entries were read from the store, where they are in force until they are lifted.
	restored map[fingerprint.Fingerprint]bool
	// found has the new entries that are not published and stored so far.
	found []Entry
	// watches has the callbacks for the start of a request's quarantine.
	watches map[fingerprint.Fingerprint]map[*watch]bool
	// lists has the suspects by the coordinator that listed them. Those that this VM lists as
	// coordinator are under an empty name.
	lists map[string]suspectList
	// listed has the suspects that this VM lists as coordinator.
	listed []Suspect
	// reported has when this VM last reported that a response began with a part.
	reported map[fingerprint.Fingerprint]time.Time
	// pendingBegun has the begun responses that are to be reported.
	pendingBegun []Begun
	// inFlight counts the requests of this VM in flight with a contained suspect.
	inFlight map[fingerprint.Fingerprint]int
	// changed has an element while an evaluation is pending.
	changed chan struct{}
}

// Publisher exchanges entries with other VMs.
type Publisher interface {
	// Evaluates reports whether this VM receives the observations of other VMs, and so evaluates
	// them.
	Evaluates() bool
	// Announce sends new entries to all VMs immediately.
	Announce(entries []Entry)
	// AnnounceSuspects sends the list of suspects to all VMs immediately.
	AnnounceSuspects(suspects []Suspect)
	// ReportBegun sends to the coordinators with which listed parts responses began.
	ReportBegun(begun []Begun)
}

// Loss is the loss of a server while a request was in flight there.
type Loss struct {
	Fingerprint fingerprint.Fingerprint
	// Server is the server's ID.
	Server string
	// HadEvent is set if an event of the response had arrived by then.
	HadEvent bool
	// Parts has the parts that the request's prompt may share with others. They count only without
	// HadEvent, and are dropped from recorded losses with it.
	Parts []fingerprint.Fingerprint
	// ThroughVM is set if the connection led through another VM.
	ThroughVM bool
	// Ended is set if the server's process is known to have ended.
	Ended bool
	// At is when the server was lost.
	At time.Time
}

// New returns an empty tracker.
func New(settings Settings, store Store, publisher Publisher, logger *slog.Logger, now func() time.Time) *Tracker {
	return &Tracker{
		settings:  settings,
		store:     store,
		publisher: publisher,
		logger:    logger,
		now:       now,
		suspects:  newLRU[*suspect](settings.MaxSuspects),
		successes: newLRU[*successes](settings.MaxSuccesses),
		begun:     newLRU[time.Time](settings.MaxBegun),
		entries:   newLRU[Entry](settings.MaxEntries),
		lists:     make(map[string]suspectList),
		reported:  make(map[fingerprint.Fingerprint]time.Time),
		inFlight:  make(map[fingerprint.Fingerprint]int),
		restored:  make(map[fingerprint.Fingerprint]bool),
		watches:   make(map[fingerprint.Fingerprint]map[*watch]bool),
		changed:   make(chan struct{}, 1),
	}
}

// newLRU returns an LRU cache with room for at least one element.
func newLRU[V any](size int) *simplelru.LRU[fingerprint.Fingerprint, V] {
	cache, err := simplelru.NewLRU[fingerprint.Fingerprint, V](max(1, size), nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return cache
}

// evaluate adds entries for the requests found to be harmful, provided that this VM receives the
// observations of others. It returns the entries to publish.
func (tracker *Tracker) evaluate() []Entry {
	evaluates := tracker.publisher.Evaluates()
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if evaluates {
		tracker.findHarmful(tracker.now())
	}
	found := tracker.found
	tracker.found = nil
	return found
}

func (tracker *Tracker) findHarmful(now time.Time) {
	evidence := evidence{crashes: tracker.crashes, now: now, settings: tracker.settings}
	var harmful []*suspect
	for _, suspect := range tracker.suspects.Values() {
		inQuarantine := suspect.entry != nil && now.Before(suspect.entry.Until)
		if !inQuarantine && evidence.isHarmful(suspect) {
			harmful = append(harmful, suspect)
		}
	}
	for _, suspect := range harmful {
		tracker.quarantine(suspect, now)
	}
}

// quarantine adds an entry for a suspect that was found to be harmful.
func (tracker *Tracker) quarantine(suspect *suspect, now time.Time) {
	times := 1
	if suspect.entry != nil {
		times += suspect.entry.Times
	}
	added := Entry{
		Fingerprint: suspect.fingerprint, Times: times, Until: now.Add(tracker.settings.duration(times)),
	}
	tracker.addEntry(added)
	message := "request quarantined"
	if suspect.isPart {
		message = "part of prompts quarantined"
	}
	tracker.logger.Warn(message, "fingerprint", added.Fingerprint, "times", times,
		"lost", provenServers(suspect.crashes), "until", added.Until)
	tracker.found = append(tracker.found, added)
}

// provenServers returns the IDs of the servers that are known to have crashed.
func provenServers(crashes []*crash) []string {
	ids := make([]string, 0, len(crashes))
	for _, crash := range crashes {
		if crash.isProven() {
			ids = append(ids, crash.server)
		}
	}
	return ids
}
