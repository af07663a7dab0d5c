package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
)

var _ follower.Listener[directory.Entry] = (*Pool)(nil)

// packOrder names the order in which tight requests fill servers.
const packOrder = "pack"

// toldByList says in log lines that something stands in the list of servers.
const toldByList = "list"

// Replace implements follower.Listener: servers that are not among values are
// missing.
func (pool *Pool) Replace(values []follower.Change[directory.Entry]) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	listed := make(map[string]bool, len(values))
	for _, value := range values {
		listed[value.Key] = value.Value != nil || value.Bad
		pool.apply(value, false)
	}
	for key := range pool.listed {
		if !listed[key] {
			pool.miss(key)
		}
	}
	pool.arrange()
}

// Apply implements follower.Listener.
func (pool *Pool) Apply(changes []follower.Change[directory.Entry]) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, change := range changes {
		pool.apply(change, true)
	}
	pool.arrange()
}

// Lost implements follower.Listener.
func (pool *Pool) Lost() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.sourceLost = true
}

// Regained implements follower.Listener.
func (pool *Pool) Regained() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.sourceLost = false
	pool.returned = pool.now()
}

// apply takes over an entry. One that is fresh was written a moment ago; others may have stood there for long, and how long
// the server is cold counts from when it was first heard.
func (pool *Pool) apply(change follower.Change[directory.Entry], fresh bool) {
	if change.Bad {
		pool.spoil(change.Key)
		return
	}
	if change.Value == nil {
		pool.miss(change.Key)
		return
	}
	entry := *change.Value
	if before := pool.servers[pool.listed[change.Key]]; before != nil {
		switch {
		case entry.Started.IsZero(): // of the start that is there, as far as it tells
			entry.ID, entry.Started = before.entry.ID, before.entry.Started
		case entry.Started.Before(before.entry.Started):
			return // told late, of an earlier start
		case entry.ID != before.entry.ID:
			before.replaced = true
			pool.logger.Info("server started again", "server", before.entry.ID, "as", entry.ID)
		}
	}
	pool.listed[change.Key] = entry.ID
	known := pool.servers[entry.ID]
	if known == nil {
		added := &server{entry: entry}
		if entry.Leaving {
			added.leavingToldBy = toldByList
		}
		pool.servers[entry.ID] = added
		pool.noteCold(added, entry.ColdLeft)
		pool.logger.Debug("server listed", "server", entry.ID, "service", entry.Service,
			"address", entry.Address, "leaving", entry.Leaving)
		return
	}
	if fresh || entry.ColdLeft != known.entry.ColdLeft {
		pool.noteCold(known, entry.ColdLeft)
	}
	if entry.Leaving && !known.entry.Leaving {
		known.leavingToldBy = toldByList
		pool.logger.Info("server leaves", "server", entry.ID, "told_by", toldByList)
	}
	// A server that was leaving once never takes new work again.
	entry.Leaving = entry.Leaving || known.entry.Leaving
	known.entry = entry
	known.missingSince = time.Time{}
	known.spoilt = false
}

// spoil notes that a server's entry cannot be read. Who wrote it is not known, nor whether the server is still
// there: it gets nothing until its entry is good again.
func (pool *Pool) spoil(key string) {
	if known := pool.servers[pool.listed[key]]; known != nil {
		known.spoilt = true
		pool.logger.Warn("server not used, its entry is bad", "server", known.entry.ID)
	}
}

// miss notes that a server is not listed any more. While the source is away,
// and shortly after, entries lapse although their servers live.
func (pool *Pool) miss(key string) {
	id := pool.listed[key]
	known := pool.servers[id]
	if known == nil || !known.missingSince.IsZero() {
		return
	}
	known.missingSince = pool.now()
	pool.logger.Info("server not listed", "server", id, "source_lost", pool.sourceLost)
}

// gone reports whether a missing server counts as gone.
func (pool *Pool) gone(server *server, now time.Time) bool {
	if server.missingSince.IsZero() {
		return false
	}
	unsure := pool.sourceLost || now.Before(pool.returned.Add(pool.settings.ReturnTime))
	return !unsure
}

// arrange drops servers that are gone, and orders the others.
func (pool *Pool) arrange() {
	now := pool.now()
	maps.DeleteFunc(pool.listed, func(_, id string) bool { return pool.servers[id] == nil })
	byService := make(map[string][]*server)
	for id, server := range pool.servers {
		if (server.replaced || pool.gone(server, now)) && len(server.sendings) == 0 {
			delete(pool.servers, id)
			delete(pool.limits, id)
			continue
		}
		service := server.entry.Service
		byService[service] = append(byService[service], server)
	}
	pool.rests.Forget(func(id string) bool { return pool.servers[id] != nil })
	for _, servers := range byService {
		order(servers)
	}
	pool.byService = byService
	pool.wake()
}

func order(servers []*server) {
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.entry.ID)
	}
	ranks := make(map[string]int, len(ids))
	for rank, id := range rendezvous.Order(packOrder, ids) {
		ranks[id] = rank
	}
	slices.SortFunc(servers, func(a, b *server) int {
		return cmp.Compare(ranks[a.entry.ID], ranks[b.entry.ID])
	})
}
