package keeper

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Bounds on asking engines for their load.
const (
	loadTimeout  = time.Second
	loadParallel = 16
)

// watch follows the VM list and the load of engines into the hub. When either
// cannot be read, subscribers keep what was read last.
type watch struct {
	vmlist   infra.VMList
	engines  backend.Engine
	hub      *hub
	settings IntervalSettings
	metrics  *metrics
	logger   *slog.Logger

	fleet atomic.Pointer[wire.Fleet]
}

// servers returns the servers of that kind that were listed last.
func (watch *watch) servers(kind string) []*wire.Server {
	var found []*wire.Server
	for _, server := range watch.fleet.Load().GetServers() {
		if server.GetKind() == kind {
			found = append(found, server)
		}
	}
	return found
}

// runFleet follows the VM list until ctx is done.
func (watch *watch) runFleet(ctx context.Context) {
	for ctx.Err() == nil {
		err := watch.readFleet(ctx)
		if err != nil && ctx.Err() == nil {
			watch.metrics.vmListUp.Set(0)
			watch.logger.Warn("VM list cannot be read, the last one stays", "error", err)
		}
		wait.For(ctx, watch.settings.VMList)
	}
}

func (watch *watch) readFleet(ctx context.Context) error {
	reading, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := watch.vmlist.List(reading)
	if err != nil {
		return err
	}
	watch.metrics.vmListUp.Set(1)
	fleet := newFleet(vms)
	if proto.Equal(fleet, watch.fleet.Load()) {
		return nil
	}
	watch.fleet.Store(fleet)
	watch.hub.setFleet(fleet)
	watch.logger.Info("VM list changed", "vms", len(vms))
	return nil
}

func newFleet(vms []infra.VM) *wire.Fleet {
	fleet := &wire.Fleet{Servers: make([]*wire.Server, 0, len(vms))}
	for _, vm := range vms {
		fleet.Servers = append(fleet.Servers, &wire.Server{
			Id:            vm.ID,
			Address:       vm.Address,
			DataCentre:    vm.DataCentre,
			Kind:          vm.Kind,
			Models:        vm.Models,
			Leaving:       vm.Leaving,
			ChecksFencing: vm.ChecksFencing,
			MemoryTokens:  vm.MemoryTokens,
			KeeperAddress: vm.KeeperAddress,
		})
	}
	slices.SortFunc(fleet.GetServers(), func(a, b *wire.Server) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return fleet
}

// runLoads asks engines for their load until ctx is done.
func (watch *watch) runLoads(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		watch.hub.setLoads(watch.readLoads(ctx))
		wait.For(ctx, watch.settings.Load-time.Since(started))
	}
}

func (watch *watch) readLoads(ctx context.Context) *wire.Loads {
	var mu sync.Mutex
	var all sync.WaitGroup
	loads := &wire.Loads{}
	slots := make(chan struct{}, loadParallel)
	for _, server := range watch.servers(infra.KindEngine) {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			asking, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			load, err := watch.engines.Load(asking, server.GetAddress())
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			loads.Loads = append(loads.Loads, newLoad(server.GetId(), load))
		})
	}
	all.Wait()
	return loads
}

func newLoad(id string, load backend.Load) *wire.Load {
	return &wire.Load{
		ServerId:            id,
		FreeTokens:          count(load.FreeTokens),
		QueuedPrefillTokens: count(load.QueuedPrefillTokens),
		QueuedLongTokens:    count(load.QueuedLongTokens),
		Running:             count(load.Running),
		Waiting:             count(load.Waiting),
		Leaving:             load.Leaving,
	}
}

// count takes a number from an engine that must not be negative.
func count(value int) uint64 {
	return uint64(max(0, value))
}
