// Package pool holds what a VM knows of the backend servers: the list, the
// requests that all VMs have there, and how their answers came out.
package pool

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/ejection"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
)

// packOrder names the order in which tight requests fill servers.
const packOrder = "pack"

// Settings tune the pool.
type Settings struct {
	// ReturnTime is how long after the list's source came back a server that is
	// missing from it is still taken to be there.
	ReturnTime time.Duration `yaml:"return_time" validate:"min=0,max=1m"`
	// EjectAfter is how many failures in a row make a server suspect.
	EjectAfter int `yaml:"eject_after" validate:"min=1"`
	// EjectTime is how long it is suspect at first; each further failure
	// doubles the time up to EjectTimeMax.
	EjectTime    time.Duration `yaml:"eject_time" validate:"min=10ms"`
	EjectTimeMax time.Duration `yaml:"eject_time_max" validate:"min=10ms"`
	// PassSpare is what a pass takes beside its steps and reading: the context of
	// what is written.
	PassSpare time.Duration `yaml:"pass_spare" validate:"min=0"`
	// PaceGain is the weight of one event in a server's pace, PaceHalf the time
	// in which a pace that is not seen any more halves, and SlowTimes the
	// multiple of the usual pace from which on a server is suspect.
	PaceGain  float64       `yaml:"pace_gain" validate:"min=0,max=1"`
	PaceHalf  time.Duration `yaml:"pace_half" validate:"min=100ms"`
	SlowTimes float64       `yaml:"slow_times" validate:"min=1"`
	// OverdueAfter is how long after a prompt should have been read, and
	// OverduePart the part of its reading beyond that, its server counts as held
	// up.
	OverdueAfter time.Duration `yaml:"overdue_after" validate:"min=10ms"`
	OverduePart  float64       `yaml:"overdue_part" validate:"min=0"`
	// TurnTime is how long a request of another VM may take to look when its turn
	// came, before others go.
	TurnTime time.Duration `yaml:"turn_time" validate:"min=10ms"`
	// RemoteTime is for how long what another VM told holds without being told
	// again.
	RemoteTime time.Duration `yaml:"remote_time" validate:"min=100ms"`
}

// ejection returns when and for how long a server that fails is suspect.
func (settings Settings) ejection() ejection.Limits {
	return ejection.Limits{After: settings.EjectAfter, Time: settings.EjectTime, TimeMax: settings.EjectTimeMax}
}

// overdueAfter is how long after a prompt of that reading should have been read
// its server counts as held up.
func (settings Settings) overdueAfter(work time.Duration) time.Duration {
	return settings.OverdueAfter + time.Duration(settings.OverduePart*float64(work))
}

// DefaultSettings returns the settings for data centres of one city.
func DefaultSettings() Settings {
	return Settings{
		ReturnTime:   2 * time.Second,
		EjectAfter:   2,
		EjectTime:    time.Second,
		EjectTimeMax: 8 * time.Second,
		PassSpare:    30 * time.Millisecond,
		PaceGain:     0.1,
		PaceHalf:     4 * time.Second,
		SlowTimes:    2.2,
		OverdueAfter: 200 * time.Millisecond,
		OverduePart:  0.3,
		TurnTime:     60 * time.Millisecond,
		RemoteTime:   1600 * time.Millisecond,
	}
}

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
	// byService has the servers of each service in the order of packOrder.
	byService map[string][]*server
	// sourceLost says that the list's source does not answer, and returned is
	// when it last came back.
	sourceLost bool
	returned   time.Time
	own        map[uint64]*sending
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
		byService: make(map[string][]*server),
		own:       make(map[uint64]*sending),
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
		listed[value.Key] = value.Value != nil
		pool.apply(value)
	}
	for id := range pool.servers {
		if !listed[id] {
			pool.miss(id)
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
	if change.Value == nil {
		pool.miss(change.Key)
		return
	}
	entry := *change.Value
	known := pool.servers[entry.ID]
	if known == nil {
		pool.servers[entry.ID] = &server{entry: entry}
		pool.logger.Debug("server listed", "server", entry.ID, "service", entry.Service,
			"address", entry.Address, "leaving", entry.Leaving)
		return
	}
	if entry.Leaving && !known.entry.Leaving {
		pool.logger.Info("server leaves", "server", entry.ID)
	}
	// A server that was leaving once never takes new work again.
	entry.Leaving = entry.Leaving || known.entry.Leaving
	known.entry = entry
	known.missingSince = time.Time{}
}

// miss notes that a server is not listed any more. While the source is away,
// and shortly after, entries lapse although their servers live.
func (pool *Pool) miss(id string) {
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
	byService := make(map[string][]*server)
	for id, server := range pool.servers {
		if pool.gone(server, now) && len(server.sendings) == 0 {
			delete(pool.servers, id)
			continue
		}
		service := server.entry.Service
		byService[service] = append(byService[service], server)
	}
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

// Find returns servers of a service by their IDs. It reports false when one of them is
// not known here, or takes nothing more.
func (pool *Pool) Find(service string, ids []string) ([]placement.Server, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	found := make([]placement.Server, 0, len(ids))
	for _, id := range ids {
		server := pool.servers[id]
		if server == nil || server.entry.Service != service || !pool.takes(server, now) {
			return nil, false
		}
		found = append(found, server.view(now, pool.settings))
	}
	return found, len(found) > 0
}

// takes reports whether a server may get requests.
func (pool *Pool) takes(server *server, now time.Time) bool {
	return !server.entry.Leaving && !server.closed && !pool.gone(server, now)
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
