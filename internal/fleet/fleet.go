// Package fleet tracks the state of the backend servers within an entry process, which
// serves callers. It combines the VM list and the load reports that a keeper publishes
// with the requests that the entry process sent since, and with the success or failure
// of the servers' responses.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/ejection"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// longOrderKey is the rendezvous key that orders engines by their assignment to long
// prompts.
const longOrderKey = "long"

// Settings configure the evaluation of load reports, failures and drain notices.
type Settings struct {
	// ReportLag is the assumed age of load reports. Requests sent within it are counted
	// in addition to the reported load.
	ReportLag time.Duration `yaml:"report_lag" validate:"min=0,max=1m"`
	// EjectAfter is the number of consecutive failures after which a server is ejected.
	EjectAfter int `yaml:"eject_after" validate:"min=1"`
	// EjectTime is the duration of the first ejection. Each further failure doubles it,
	// up to EjectTimeMax.
	EjectTime    time.Duration `yaml:"eject_time" validate:"min=10ms"`
	EjectTimeMax time.Duration `yaml:"eject_time_max" validate:"min=10ms"`
	// DrainingTime is how long a server is treated as draining after it reported that it
	// drains.
	DrainingTime time.Duration `yaml:"leaving_time" validate:"min=1s"`
}

// ejection returns the limits for the ejection of servers.
func (settings Settings) ejection() ejection.Limits {
	return ejection.Limits{After: settings.EjectAfter, Time: settings.EjectTime, TimeMax: settings.EjectTimeMax}
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ReportLag:    700 * time.Millisecond,
		EjectAfter:   3,
		EjectTime:    time.Second,
		EjectTimeMax: 30 * time.Second,
		DrainingTime: 30 * time.Second,
	}
}

// Fleet is the backend servers and the system's own VMs. It is safe for concurrent use.
type Fleet struct {
	settings Settings
	now      func() time.Time

	mu sync.Mutex
	// servers has the VMs in the VM list, by ID.
	servers map[string]*server
	// byKind has the servers of each kind, sorted by ID.
	byKind map[string][]*server
}

// New returns an empty fleet. now returns the current time.
func New(settings Settings, now func() time.Time) *Fleet {
	return &Fleet{
		settings: settings,
		now:      now,
		servers:  make(map[string]*server),
	}
}

// SetFleet sets the VM list. The state of VMs that were in the previous list is kept,
// that of others is dropped.
func (fleet *Fleet) SetFleet(listed *wire.Fleet) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	servers := make(map[string]*server, len(listed.GetServers()))
	byKind := make(map[string][]*server)
	for _, vm := range listed.GetServers() {
		current := fleet.servers[vm.GetId()]
		if current == nil {
			current = &server{}
		}
		current.listed = vm
		servers[vm.GetId()] = current
		byKind[vm.GetKind()] = append(byKind[vm.GetKind()], current)
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

// SetLoads sets the reported loads. A server that is not in loads keeps its last
// reported load.
func (fleet *Fleet) SetLoads(loads *wire.Loads) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, load := range loads.GetLoads() {
		server := fleet.servers[load.GetServerId()]
		if server == nil {
			continue
		}
		server.load = load
		server.others = newOthers(load, server.own)
		if load.GetLeaving() {
			server.drainingUntil = fleet.now().Add(fleet.settings.DrainingTime)
		}
	}
}

// KeeperAddresses returns the addresses of the keepers in the VM list.
func (fleet *Fleet) KeeperAddresses() []string {
	var addresses []string
	for _, vm := range fleet.list(platformclient.KindSystem) {
		if vm.GetKeeperAddress() != "" {
			addresses = append(addresses, vm.GetKeeperAddress())
		}
	}
	return addresses
}

// SystemVM returns the VM of the system with that ID if it is in the VM list.
func (fleet *Fleet) SystemVM(id string) (*wire.Server, bool) {
	for _, vm := range fleet.list(platformclient.KindSystem) {
		if vm.GetId() == id {
			return vm, true
		}
	}
	return nil, false
}

// Engines returns the engines in the VM list, sorted by ID.
func (fleet *Fleet) Engines() []*wire.Server {
	return fleet.list(platformclient.KindEngine)
}

// list returns the VMs of that kind, sorted by ID.
func (fleet *Fleet) list(kind string) []*wire.Server {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	vms := make([]*wire.Server, 0, len(fleet.byKind[kind]))
	for _, server := range fleet.byKind[kind] {
		vms = append(vms, server.listed)
	}
	return vms
}

// Snapshot returns the current state of the servers of that kind. Servers in evacuated data centres are marked as
// draining.
func (fleet *Fleet) Snapshot(kind string, evacuated func(dataCentre string) bool) routing.Snapshot {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	now := fleet.now()
	servers := make([]routing.Server, 0, len(fleet.byKind[kind]))
	for _, server := range fleet.byKind[kind] {
		snapshot := server.snapshot(now, fleet.settings.ReportLag)
		snapshot.Draining = snapshot.Draining || evacuated(snapshot.DataCentre)
		servers = append(servers, snapshot)
	}
	return routing.NewSnapshot(servers)
}

// RecordSuccess records a successful response of the server, which ends its ejection.
func (fleet *Fleet) RecordSuccess(id string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if server := fleet.servers[id]; server != nil {
		server.ejection.RecordSuccess()
	}
}

// RecordFailure records a failure of the server, and reports whether the server is
// ejected as a result.
func (fleet *Fleet) RecordFailure(id string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	server := fleet.servers[id]
	if server == nil {
		return false
	}
	return server.ejection.RecordFailure(fleet.now(), fleet.settings.ejection())
}

// MarkDraining records that the server itself reported that it is draining, that is, accepts
// no new requests.
func (fleet *Fleet) MarkDraining(id string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if server := fleet.servers[id]; server != nil {
		server.drainingUntil = fleet.now().Add(fleet.settings.DrainingTime)
	}
}

// Counts returns the number of VMs of each kind in the VM list, sorted by kind.
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

// KindCount is the number of VMs of a kind in the VM list.
type KindCount struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}
