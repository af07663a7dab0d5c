// Package pool holds what a VM knows of the backend servers: the list, the
// requests that all VMs have there, and how their answers came out.
package pool

import (
	"cmp"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
)

// packOrder names the order in which tight requests fill servers.
const packOrder = "pack"

// toldByList says in log lines that something stands in the list of servers.
const toldByList = "list"

// Pool is the backend servers. It listens to the list of servers.
type Pool struct {
	settings  Settings
	vm        string
	publisher Publisher
	logger    *slog.Logger
	now       func() time.Time

	mu sync.Mutex
	// servers has the listed servers, those that are leaving, and those that
	// are missing but may come back.
	servers map[string]*server
	// listed has the ID of the start that is there, by the key of the list.
	listed map[string]string
	// byService has the servers of each service in the order of packOrder.
	byService map[string][]*server
	// sourceLost says that the list's source does not answer, and returned is
	// when it last came back.
	sourceLost bool
	returned   time.Time
	own        map[uint64]*sending
	rests      rests
	// nextID starts anywhere, so that a VM that was started again is not taken
	// for what it was before.
	nextID uint64
	// queue has the requests of all VMs that wait for servers.
	queue []*waiting
	// changed is closed, and replaced, when a server may have room again.
	changed chan struct{}
}

var _ follower.Listener[directory.Entry] = (*Pool)(nil)

// Publisher tells other VMs of sendings.
type Publisher interface {
	Publish(report Report)
}

// New returns an empty pool of the VM with that name.
func New(settings Settings, vm string, publisher Publisher, logger *slog.Logger, now func() time.Time) *Pool {
	return &Pool{
		settings:  settings,
		vm:        vm,
		publisher: publisher,
		logger:    logger,
		now:       now,
		servers:   make(map[string]*server),
		listed:    make(map[string]string),
		byService: make(map[string][]*server),
		own:       make(map[uint64]*sending),
		rests:     make(rests),
		nextID:    rand.Uint64(), //nolint:gosec // no secret
		changed:   make(chan struct{}),
	}
}

// Replace implements follower.Listener: servers that are not among values are
// missing.
func (pool *Pool) Replace(values []follower.Change[directory.Entry]) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	listed := make(map[string]bool, len(values))
	for _, value := range values {
		listed[value.Key] = value.Value != nil || value.Bad
		pool.apply(value)
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
		pool.apply(change)
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

func (pool *Pool) apply(change follower.Change[directory.Entry]) {
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
		pool.servers[entry.ID] = &server{entry: entry}
		pool.logger.Debug("server listed", "server", entry.ID, "service", entry.Service,
			"address", entry.Address, "leaving", entry.Leaving)
		return
	}
	if entry.Leaving && !known.entry.Leaving {
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
			continue
		}
		service := server.entry.Service
		byService[service] = append(byService[service], server)
	}
	pool.rests.forget(pool.servers)
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

// Open returns the servers of a service that may get a request which went to
// those in tried before. Servers that lapsed from the list while its source was
// away count only while they are more than the listed ones: then the list is
// not whole again yet, else they left.
func (pool *Pool) Open(service *catalog.Service, tried []string) []placement.Server {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	open := make([]placement.Server, 0, len(pool.byService[service.Name]))
	var lapsed []placement.Server
	slow := pool.settings.SlowTimes * pool.usualPace(service, now)
	for _, server := range pool.byService[service.Name] {
		if !pool.takes(server, now) || slices.Contains(tried, server.entry.ID) {
			continue
		}
		pool.forget(server, now)
		view := server.view(now, pool.settings)
		view.Suspect = view.Suspect || server.currentPace(now, pool.settings) > slow
		if service.Engine != nil {
			view.MemoryFree += service.Engine.MemoryTokens
		}
		if server.missingSince.IsZero() {
			open = append(open, view)
			continue
		}
		lapsed = append(lapsed, view)
	}
	if len(lapsed) > len(open) {
		return append(open, lapsed...)
	}
	return open
}

// Find returns servers of a service by their IDs, and the IDs of those that are not known here or take nothing
// from this VM. That a server rests is told again, since who named it has not heard.
func (pool *Pool) Find(service string, ids []string) (found []placement.Server, missing []string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	for _, id := range ids {
		server := pool.servers[id]
		if server == nil || server.entry.Service != service || !pool.takes(server, now) {
			missing = append(missing, id)
			continue
		}
		if until, rests := pool.rests.over(pool.vm, id, now); rests {
			missing = append(missing, id)
			pool.publisher.Publish(Report{Server: id, Phase: PhaseOver, Health: HealthResting, Rest: until.Sub(now)})
			continue
		}
		found = append(found, server.view(now, pool.settings))
	}
	return found, missing
}

// takes reports whether a server may get requests.
func (pool *Pool) takes(server *server, now time.Time) bool {
	out := server.entry.Leaving || server.closed || server.replaced || server.spoilt
	return !out && !pool.gone(server, now)
}

// usualPace is the middle one of the paces of a service's servers, at least one.
func (pool *Pool) usualPace(service *catalog.Service, now time.Time) float64 {
	servers := pool.byService[service.Name]
	if len(servers) == 0 {
		return 1
	}
	paces := make([]float64, 0, len(servers))
	for _, server := range servers {
		paces = append(paces, server.currentPace(now, pool.settings))
	}
	slices.Sort(paces)
	return max(1, paces[len(paces)/2])
}

// Changed returns a channel that is closed when a server may have room again.
func (pool *Pool) Changed() <-chan struct{} {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.changed
}

func (pool *Pool) wake() {
	close(pool.changed)
	pool.changed = make(chan struct{})
}
