// Package pool tracks the backend servers as seen by one VM: the server list, the requests in
// flight from all VMs, and the outcomes of requests.
package pool

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/backpressure"
	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// Pool tracks the backend servers. It follows the server list as a follower.Listener, and is safe
// for concurrent use.
type Pool struct {
	settings  Settings
	vm        string
	publisher Publisher
	logger    *slog.Logger
	now       func() time.Time

	mu sync.Mutex
	// servers has the listed servers by ID, and those that drain or are missing but may be listed
	// again.
	servers map[string]*server
	// listed maps the key of a list entry to the ID of the server's current start.
	listed map[string]string
	// byService has the servers of each service in the order given by packOrderKey.
	byService map[string][]*server
	// sourceLost is set while the source of the list is unavailable, and sourceRegainedAt is when
	// it last became available again.
	sourceLost       bool
	sourceRegainedAt time.Time
	// restarted has the IDs of servers for TakeRestarted.
	restarted []string
	// evacuated has the data centres that the operator has evacuated.
	evacuated []string
	// own has the attempts of this VM's requests in flight, by ID.
	own map[uint64]*attempt
	// inBackoff has the servers in backoff, by the VM from which they accept nothing.
	inBackoff backpressure.Backoffs
	// coldPerSecond has the requests per second that a cold server accepts, by service.
	coldPerSecond map[string]float64
	// limits has the servers with advertised rate limits by ID, so that reporting them takes no
	// scan of all servers.
	limits map[string]*server
	// prefills has the prefill time that organisations use of each service per second.
	prefills map[fairshare.Flow]fairshare.Rate
	// prefillsForgottenAt is when idle prefills were last forgotten.
	prefillsForgottenAt time.Time
	// nextID starts at a random number, so that attempts of a restarted VM are not taken for those
	// from before its restart.
	nextID uint64
	// changed is closed and replaced when a server may have capacity again.
	changed chan struct{}
}

// Publisher sends reports about attempts and servers to other VMs.
type Publisher interface {
	Publish(report Report)
	// Share returns the fraction, from zero to one, of the servers' rate limits that this VM may
	// assign.
	Share() float64
}

// New returns an empty pool for the VM of that name.
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
		own:       make(map[uint64]*attempt),
		inBackoff: make(backpressure.Backoffs),
		limits:    make(map[string]*server),
		prefills:  make(map[fairshare.Flow]fairshare.Rate),
		nextID:    rand.Uint64(), //nolint:gosec // not security-sensitive
		changed:   make(chan struct{}),
	}
}

// Eligible returns the servers of a service that can get a request, except for those in tried.
// Servers that expired from the list while its source was unavailable are included only while they
// outnumber the listed ones: the list is then still incomplete. Otherwise they count as removed.
func (pool *Pool) Eligible(service *catalog.Service, tried []string) []placement.Server {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	eligible := make([]placement.Server, 0, len(pool.byService[service.Name]))
	var expired []placement.Server
	limited := 0
	share := sync.OnceValue(pool.publisher.Share)
	slow := pool.settings.SlowPaceFactor * pool.medianPace(service, now)
	for _, server := range pool.byService[service.Name] {
		if !pool.acceptsRequests(server, now) || slices.Contains(tried, server.entry.ID) {
			continue
		}
		pool.dropExpired(server, now)
		if !pool.withinLimits(server, share, now) {
			limited++
			continue
		}
		snapshot := server.snapshot(now, pool.settings)
		snapshot.Suspect = snapshot.Suspect || server.currentPace(now, pool.settings) > slow
		if service.Engine != nil {
			snapshot.MemoryFree += service.Engine.MemoryTokens
		}
		if server.missingSince.IsZero() {
			eligible = append(eligible, snapshot)
			continue
		}
		expired = append(expired, snapshot)
	}
	if len(expired) > len(eligible)+limited {
		return append(eligible, expired...)
	}
	return eligible
}

// Find returns the servers of a service with the given IDs, and the IDs of those that are unknown,
// outside of the allowed data centres, or not accepting requests from this VM. A server's backoff
// is published again, since the VM that selected the server has not received it.
func (pool *Pool) Find(service string, allowed, ids []string) (found []placement.Server, unavailable []string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	for _, id := range ids {
		server := pool.servers[id]
		if server == nil || server.entry.Service != service || !server.inDataCentres(allowed) || !pool.acceptsRequests(server, now) {
			unavailable = append(unavailable, id)
			continue
		}
		if until, inBackoff := pool.inBackoff.End(pool.vm, id, now); inBackoff {
			unavailable = append(unavailable, id)
			pool.publishBackoff(id, until.Sub(now))
			continue
		}
		found = append(found, server.snapshot(now, pool.settings))
	}
	return found, unavailable
}

// Location is where a server of a service listens.
type Location struct {
	Service string
	Address string
}

// Locations returns where the servers listen that get requests, in no particular order.
func (pool *Pool) Locations() []Location {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	locations := make([]Location, 0, len(pool.servers))
	for _, server := range pool.servers {
		if pool.acceptsRequests(server, now) {
			locations = append(locations, Location{Service: server.entry.Service, Address: server.entry.Address})
		}
	}
	return locations
}

// HasAddress reports whether a known server has the address.
func (pool *Pool) HasAddress(address string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, server := range pool.servers {
		if server.entry.Address == address {
			return true
		}
	}
	return false
}

// acceptsRequests reports whether a server may get new requests.
func (pool *Pool) acceptsRequests(server *server, now time.Time) bool {
	return !pool.isEvacuated(server) && pool.isUsable(server, now)
}

// isUsable is acceptsRequests without regard to evacuations.
func (pool *Pool) isUsable(server *server, now time.Time) bool {
	excluded := server.entry.Draining || server.closed || server.replaced || server.entryInvalid
	return !excluded && !pool.isGone(server, now)
}

// medianPace is the median pace of a service's servers, at least one.
func (pool *Pool) medianPace(service *catalog.Service, now time.Time) float64 {
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

// Changed returns a channel that is closed when a server may have capacity again. Each close is for
// one change: call Changed again before waiting for the next.
func (pool *Pool) Changed() <-chan struct{} {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.changed
}

func (pool *Pool) notifyChanged() {
	close(pool.changed)
	pool.changed = make(chan struct{})
}
