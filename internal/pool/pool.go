// Package pool holds what a VM knows of the backend servers: the list, the
// requests that all VMs have there, and how their answers came out.
package pool

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/backpressure"
	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/placement"
)

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
	// evacuated has the data centres whose servers get nothing, as the operator wishes.
	evacuated []string
	own       map[uint64]*sending
	rests     backpressure.Rests
	// coldPerSecond has how many requests a second a cold server takes, by its service.
	coldPerSecond map[string]float64
	// limits has the servers that named limits, by their IDs, so that no look at all of them is needed to tell of these.
	limits map[string]*server
	// nextID starts anywhere, so that a VM that was started again is not taken
	// for what it was before.
	nextID uint64
	// changed is closed, and replaced, when a server may have room again.
	changed chan struct{}
}

// Publisher tells other VMs of sendings.
type Publisher interface {
	Publish(report Report)
	// Share returns the part of what servers take from all VMs together that may be used by this VM's decisions.
	Share() float64
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
		rests:     make(backpressure.Rests),
		limits:    make(map[string]*server),
		nextID:    rand.Uint64(), //nolint:gosec // no secret
		changed:   make(chan struct{}),
	}
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
	limited := 0
	share := sync.OnceValue(pool.publisher.Share)
	slow := pool.settings.SlowTimes * pool.usualPace(service, now)
	for _, server := range pool.byService[service.Name] {
		if !pool.takes(server, now) || slices.Contains(tried, server.entry.ID) {
			continue
		}
		pool.forget(server, now)
		if !pool.withinLimits(server, share, now) {
			limited++
			continue
		}
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
	if len(lapsed) > len(open)+limited {
		return append(open, lapsed...)
	}
	return open
}

// Find returns servers of a service by their IDs, and the IDs of those that are not known here, are not in the data centres
// that are named, or take nothing from this VM. That a server rests is told again, since who named it has not heard.
func (pool *Pool) Find(service string, keptTo, ids []string) (found []placement.Server, missing []string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	for _, id := range ids {
		server := pool.servers[id]
		if server == nil || server.entry.Service != service || !server.in(keptTo) || !pool.takes(server, now) {
			missing = append(missing, id)
			continue
		}
		if until, rests := pool.rests.Over(pool.vm, id, now); rests {
			missing = append(missing, id)
			pool.tellRest(id, until.Sub(now))
			continue
		}
		found = append(found, server.view(now, pool.settings))
	}
	return found, missing
}

// takes reports whether a server may get requests.
func (pool *Pool) takes(server *server, now time.Time) bool {
	return !pool.isEvacuated(server) && pool.stays(server, now)
}

// stays reports whether a server may get requests but for an evacuation.
func (pool *Pool) stays(server *server, now time.Time) bool {
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
