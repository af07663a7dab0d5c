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
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Limits on polling engines for their load.
const (
	loadTimeout  = time.Second
	loadParallel = 16
)

// watcher polls the VM list and the load of engines and publishes both through the
// hub. While either cannot be read, subscribers keep the last values.
type watcher struct {
	vmlist   platformclient.VMList
	engines  backend.Engine
	hub      *hub
	settings IntervalSettings
	metrics  *metrics
	logger   *slog.Logger

	// fleet is the VM list as last read, or nil.
	fleet atomic.Pointer[wire.Fleet]
}

// servers returns the servers of that kind in the VM list as last read.
func (watcher *watcher) servers(kind string) []*wire.Server {
	var matching []*wire.Server
	for _, server := range watcher.fleet.Load().GetServers() {
		if server.GetKind() == kind {
			matching = append(matching, server)
		}
	}
	return matching
}

// runFleet polls the VM list until ctx is done.
func (watcher *watcher) runFleet(ctx context.Context) {
	for ctx.Err() == nil {
		err := watcher.readFleet(ctx)
		if err != nil && ctx.Err() == nil {
			watcher.metrics.vmListUp.Set(0)
			watcher.logger.Warn("failed to read the VM list; keeping the last one", "error", err)
		}
		wait.For(ctx, watcher.settings.VMList)
	}
}

// readFleet reads the VM list once and publishes it if it has changed.
func (watcher *watcher) readFleet(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := watcher.vmlist.List(readCtx)
	if err != nil {
		return err
	}
	watcher.metrics.vmListUp.Set(1)
	fleet := newFleet(vms)
	if proto.Equal(fleet, watcher.fleet.Load()) {
		return nil
	}
	watcher.fleet.Store(fleet)
	watcher.hub.setFleet(fleet)
	watcher.logger.Info("VM list changed", "vms", len(vms))
	return nil
}

// newFleet returns the wire form of the VM list, by ID.
func newFleet(vms []platformclient.VM) *wire.Fleet {
	fleet := &wire.Fleet{Servers: make([]*wire.Server, 0, len(vms))}
	for _, vm := range vms {
		fleet.Servers = append(fleet.Servers, &wire.Server{
			Id:            vm.ID,
			Address:       vm.Address,
			DataCentre:    vm.DataCentre,
			Kind:          vm.Kind,
			Models:        vm.Models,
			Leaving:       vm.Draining,
			ChecksFencing: vm.ChecksFencing,
			MemoryTokens:  vm.MemoryTokens,
			KeeperAddress: vm.KeeperAddress,
		})
	}
	slices.SortFunc(fleet.GetServers(), func(a, b *wire.Server) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return fleet
}

// runLoads polls the load of engines until ctx is done.
func (watcher *watcher) runLoads(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		watcher.hub.setLoads(watcher.readLoads(ctx))
		wait.For(ctx, watcher.settings.Load-time.Since(started))
	}
}

// readLoads returns the loads of all engines that report theirs in time.
func (watcher *watcher) readLoads(ctx context.Context) *wire.Loads {
	var mu sync.Mutex
	var all sync.WaitGroup
	loads := &wire.Loads{}
	slots := make(chan struct{}, loadParallel)
	for _, server := range watcher.servers(platformclient.KindEngine) {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			load, err := watcher.engines.Load(loadCtx, server.GetAddress())
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
		FreeTokens:          nonNegative(load.FreeTokens),
		QueuedPrefillTokens: nonNegative(load.QueuedPrefillTokens),
		QueuedLongTokens:    nonNegative(load.QueuedLongTokens),
		Running:             nonNegative(load.Running),
		Waiting:             nonNegative(load.Waiting),
		Leaving:             load.Draining,
	}
}

// nonNegative converts a number reported by an engine, where a negative one counts as zero.
func nonNegative(value int) uint64 {
	return uint64(max(0, value))
}
