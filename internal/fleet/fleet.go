// Package fleet holds what an entry knows of the backend servers: the VM list
// and the load reports that its keeper sends, what the entry itself sent since
// then, and how the servers' own answers came out.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/ejection"
	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// longOrderKey gives the order in which engines are given to long prompts.
const longOrderKey = "long"

// Settings tune what the fleet makes of answers.
type Settings struct {
	// ReportLag is how old load reports are taken to be; what was sent in
	// that time is added to them.
	ReportLag time.Duration `yaml:"report_lag" validate:"min=0,max=1m"`
	// EjectAfter is how many failures in a row eject a server.
	EjectAfter int `yaml:"eject_after" validate:"min=1"`
	// EjectTime is how long the first ejection lasts; each further failure
	// doubles it up to EjectTimeMax.
	EjectTime    time.Duration `yaml:"eject_time" validate:"min=10ms"`
	EjectTimeMax time.Duration `yaml:"eject_time_max" validate:"min=10ms"`
	// LeavingTime is how long a server counts as leaving that said so itself.
	LeavingTime time.Duration `yaml:"leaving_time" validate:"min=1s"`
}

// ejection returns when and for how long servers are ejected.
func (settings Settings) ejection() ejection.Limits {
	return ejection.Limits{After: settings.EjectAfter, Time: settings.EjectTime, TimeMax: settings.EjectTimeMax}
}

// DefaultSettings returns settings for today's fleets.
func DefaultSettings() Settings {
	return Settings{
		ReportLag:    700 * time.Millisecond,
		EjectAfter:   3,
		EjectTime:    time.Second,
		EjectTimeMax: 30 * time.Second,
		LeavingTime:  30 * time.Second,
	}
}

// Fleet is the backend servers and the system's own VMs.
type Fleet struct {
	settings Settings
	now      func() time.Time

	mu sync.Mutex
	// servers has all listed VMs by ID.
	servers map[string]*server
	// byKind has the servers of each kind, by ID.
	byKind map[string][]*server
}

// New returns an empty fleet. The clock is now.
func New(settings Settings, now func() time.Time) *Fleet {
	return &Fleet{
		settings: settings,
		now:      now,
		servers:  make(map[string]*server),
	}
}

// SetFleet takes over a VM list. What is known of VMs that stay is kept.
func (fleet *Fleet) SetFleet(listed *wire.Fleet) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	servers := make(map[string]*server, len(listed.GetServers()))
	byKind := make(map[string][]*server)
	for _, vm := range listed.GetServers() {
		known := fleet.servers[vm.GetId()]
		if known == nil {
			known = &server{}
		}
		known.listed = vm
		servers[vm.GetId()] = known
		byKind[vm.GetKind()] = append(byKind[vm.GetKind()], known)
	}
	for _, list := range byKind {
		ids := make([]string, 0, len(list))
		for _, server := range list {
			ids = append(ids, server.listed.GetId())
		}
		for rank, id := range rendezvous.Order(longOrderKey, ids) {
			servers[id].longRank = rank
		}
		slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.listed.GetId(), b.listed.GetId()) })
	}
	fleet.servers = servers
	fleet.byKind = byKind
}

// SetLoads takes over load reports. A server without one keeps its last.
func (fleet *Fleet) SetLoads(loads *wire.Loads) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, load := range loads.GetLoads() {
		known := fleet.servers[load.GetServerId()]
		if known == nil {
			continue
		}
		known.load = load
		known.others = newOthers(load, known.own)
		if load.GetLeaving() {
			known.leavingUntil = fleet.now().Add(fleet.settings.LeavingTime)
		}
	}
}

// KeeperAddresses returns the keepers of the live VMs of the system.
func (fleet *Fleet) KeeperAddresses() []string {
	var addresses []string
	for _, vm := range fleet.list(infra.KindSystem) {
		if vm.GetKeeperAddress() != "" {
			addresses = append(addresses, vm.GetKeeperAddress())
		}
	}
	return addresses
}

// SystemVM returns the VM of the system with that ID while it is listed.
func (fleet *Fleet) SystemVM(id string) (*wire.Server, bool) {
	for _, vm := range fleet.list(infra.KindSystem) {
		if vm.GetId() == id {
			return vm, true
		}
	}
	return nil, false
}

// Engines returns all listed engines, by ID.
func (fleet *Fleet) Engines() []*wire.Server {
	return fleet.list(infra.KindEngine)
}

func (fleet *Fleet) list(kind string) []*wire.Server {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	found := make([]*wire.Server, 0, len(fleet.byKind[kind]))
	for _, server := range fleet.byKind[kind] {
		found = append(found, server.listed)
	}
	return found
}

// Snapshot returns the servers of that kind as they are known now. Those of evacuated data centres take nothing new, as those
// that leave.
func (fleet *Fleet) Snapshot(kind string, evacuated func(dataCentre string) bool) routing.Snapshot {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	now := fleet.now()
	servers := make([]routing.Server, 0, len(fleet.byKind[kind]))
	for _, server := range fleet.byKind[kind] {
		view := server.view(now, fleet.settings.ReportLag)
		view.Leaving = view.Leaving || evacuated(view.DataCentre)
		servers = append(servers, view)
	}
	return routing.NewSnapshot(servers)
}

// Succeeded notes a good answer of the server.
func (fleet *Fleet) Succeeded(id string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if server := fleet.servers[id]; server != nil {
		server.ejection.RecordSuccess()
	}
}

// Failed notes a failure of the server, and reports whether it is ejected.
func (fleet *Fleet) Failed(id string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	server := fleet.servers[id]
	if server == nil {
		return false
	}
	return server.ejection.RecordFailure(fleet.now(), fleet.settings.ejection())
}

// Leaving notes that the server itself said that it is leaving.
func (fleet *Fleet) Leaving(id string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if server := fleet.servers[id]; server != nil {
		server.leavingUntil = fleet.now().Add(fleet.settings.LeavingTime)
	}
}

// Counts returns how many servers of each kind are listed, by kind.
func (fleet *Fleet) Counts() []KindCount {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	list := make([]KindCount, 0, len(fleet.byKind))
	for kind, servers := range fleet.byKind {
		list = append(list, KindCount{Kind: kind, Count: len(servers)})
	}
	slices.SortFunc(list, func(a, b KindCount) int { return cmp.Compare(a.Kind, b.Kind) })
	return list
}

// KindCount is how many servers of a kind are listed.
type KindCount struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}
