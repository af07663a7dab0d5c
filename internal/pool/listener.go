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

// packOrderKey is the rendezvous key of the order in which packable requests fill the servers.
const packOrderKey = "pack"

// listSource names the server list as the source of a state, in log lines and in ServerStatus.
const listSource = "list"

// Replace implements follower.Listener: known servers that are not among values are marked missing.
func (pool *Pool) Replace(values []follower.Change[directory.Entry]) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	listed := make(map[string]bool, len(values))
	for _, value := range values {
		listed[value.Key] = value.Value != nil || value.Invalid
		pool.apply(value, false)
	}
	for key := range pool.listed {
		if !listed[key] {
			pool.markMissing(key)
		}
	}
	pool.rebuildIndex()
}

// Apply implements follower.Listener.
func (pool *Pool) Apply(changes []follower.Change[directory.Entry]) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, change := range changes {
		pool.apply(change, true)
	}
	pool.rebuildIndex()
}

// Lost implements follower.Listener.
func (pool *Pool) Lost() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	for _, server := range pool.servers {
		// An outage is noticed late: a server that went missing just before may still run.
		missedEarlier := now.Sub(server.missingSince) > pool.settings.ListRecoveryTime
		server.removed = server.removed || (pool.isGone(server, now) && missedEarlier)
	}
	pool.sourceLost = true
}

// Regained implements follower.Listener.
func (pool *Pool) Regained() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.sourceLost = false
	pool.sourceRegainedAt = pool.now()
}

// TakeRestarted returns the IDs of the servers that were listed with a newer start since the last call. Their processes have ended.
func (pool *Pool) TakeRestarted() []string {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	restarted := pool.restarted
	pool.restarted = nil
	return restarted
}

// apply applies a change of a list entry. A fresh entry was written just now. Others may be old, so
// the remaining time of their cold start counts from when it was first received.
func (pool *Pool) apply(change follower.Change[directory.Entry], fresh bool) {
	if change.Invalid {
		pool.markEntryInvalid(change.Key)
		return
	}
	if change.Value == nil {
		pool.markMissing(change.Key)
		return
	}
	entry := *change.Value
	if previous := pool.servers[pool.listed[change.Key]]; previous != nil {
		switch {
		case entry.Started.IsZero(): // no start time: taken for the current start
			entry.ID, entry.Started = previous.entry.ID, previous.entry.Started
		case entry.Started.Before(previous.entry.Started):
			return // delayed entry of an earlier start
		case entry.ID != previous.entry.ID:
			previous.replaced = true
			pool.restarted = append(pool.restarted, previous.entry.ID)
			pool.logger.Info("server restarted", "server", previous.entry.ID, "as", entry.ID)
		}
	}
	pool.listed[change.Key] = entry.ID
	known := pool.servers[entry.ID]
	if known == nil {
		added := &server{entry: entry}
		if entry.Draining {
			added.drainingReportedBy = listSource
		}
		pool.servers[entry.ID] = added
		pool.setColdStart(added, entry.ColdRemaining)
		pool.logger.Debug("server listed", "server", entry.ID, "service", entry.Service,
			"address", entry.Address, "leaving", entry.Draining)
		return
	}
	if fresh || entry.ColdRemaining != known.entry.ColdRemaining {
		pool.setColdStart(known, entry.ColdRemaining)
	}
	if entry.Draining && !known.entry.Draining {
		known.drainingReportedBy = listSource
		pool.logger.Info("server is draining", "server", entry.ID, "told_by", listSource)
	}
	// A draining server never accepts new requests again.
	entry.Draining = entry.Draining || known.entry.Draining
	known.entry = entry
	known.missingSince = time.Time{}
	known.removed = false
	known.entryInvalid = false
}

// markEntryInvalid records that a server's entry cannot be parsed. It is unknown who wrote the
// entry and whether the server still exists, so the server gets no requests until its entry is
// valid again.
func (pool *Pool) markEntryInvalid(key string) {
	if known := pool.servers[pool.listed[key]]; known != nil {
		known.entryInvalid = true
		pool.logger.Warn("server disabled: its list entry is invalid", "server", known.entry.ID)
	}
}

// markMissing records that a server is no longer listed. While the source of the list is
// unavailable, and shortly after, entries expire although their servers still run.
func (pool *Pool) markMissing(key string) {
	id := pool.listed[key]
	known := pool.servers[id]
	if known == nil || !known.missingSince.IsZero() {
		return
	}
	known.missingSince = pool.now()
	pool.logger.Info("server missing from the list", "server", id, "source_lost", pool.sourceLost)
}

// isGone reports whether a missing server counts as removed.
func (pool *Pool) isGone(server *server, now time.Time) bool {
	if server.missingSince.IsZero() || server.removed {
		return server.removed
	}
	maybeStale := pool.sourceLost || now.Before(pool.sourceRegainedAt.Add(pool.settings.ListRecoveryTime))
	return !maybeStale
}

// rebuildIndex drops removed and replaced servers that have no attempts, and sorts the others by
// service and rank.
func (pool *Pool) rebuildIndex() {
	now := pool.now()
	maps.DeleteFunc(pool.listed, func(_, id string) bool { return pool.servers[id] == nil })
	byService := make(map[string][]*server)
	for id, server := range pool.servers {
		if (server.replaced || pool.isGone(server, now)) && len(server.attempts) == 0 {
			delete(pool.servers, id)
			delete(pool.limits, id)
			continue
		}
		service := server.entry.Service
		byService[service] = append(byService[service], server)
	}
	pool.inBackoff.Retain(func(id string) bool { return pool.servers[id] != nil })
	for _, servers := range byService {
		sortByRank(servers)
	}
	pool.byService = byService
	pool.notifyChanged()
}

func sortByRank(servers []*server) {
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.entry.ID)
	}
	ranks := make(map[string]int, len(ids))
	for rank, id := range rendezvous.Order(packOrderKey, ids) {
		ranks[id] = rank
	}
	slices.SortFunc(servers, func(a, b *server) int {
		return cmp.Compare(ranks[a.entry.ID], ranks[b.entry.ID])
	})
}
