package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// Ports of a run, on addresses of its own.
const (
	portFront = 8001
	portReady = 8002
	portPeer  = 7340
	portStore = 8003
	portBack  = 8080
)

// Bounds that VMs are held to in a run, as on the users' small sites.
const (
	boundDrain   = 2 * time.Second
	boundGrace   = 8 * time.Second
	boundRevoke  = 5 * time.Second
	boundContact = 3 * time.Second
	boundFree    = 4 * time.Second
	// boundEvacuate is that of the configuration.
	boundEvacuate = 2 * time.Second
)

// Settings of a run.
type Settings struct {
	// Program is the gateway's program, and Dir where files are written.
	Program string
	Dir     string
	Seed    uint64
	Length  time.Duration
	VMs     int
	Engines int
	Plains  int
	Callers int
	// Network is the second number of the loopback addresses of the run, so that
	// several run side by side.
	Network int
}

// vm is a gateway with the proxies before and behind it.
type vm struct {
	name    string
	process *process
	front   *proxy
	store   *proxy
	// file is the settings file.
	file string
}

// backend is a server with the proxy before it.
type backend struct {
	service string
	// address is that of the proxy, where VMs find the server.
	address string
	own     string
	link    *proxy
	// replacing is held while a new server takes the place.
	replacing sync.Mutex

	mu sync.Mutex
	// life counts the servers that were at the address.
	life    int
	standIn standIn
	// engine is the stand-in of an engine, and nil for a plain service.
	engine *platformserver.Engine
	server *http.Server
}

// standIn is a server of either kind.
type standIn interface {
	http.Handler
	Identity() platformserver.Identity
	SetFaults(faults platformserver.Faults)
	AdvertiseDraining()
	SetCrash(crash platformserver.Crash)
}

var (
	_ standIn = (*platformserver.Engine)(nil)
	_ standIn = (*platformserver.Plain)(nil)
)

// world is everything of one run.
type world struct {
	settings Settings
	store    *metastore.Store
	record   *platformserver.Record
	fleet    *platformserver.Fleet
	operator *operator
	vms      []*vm
	backends []*backend
	log      *faultLog
	harmful  *harmfulLog
	closers  []func()
}

func (world *world) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", world.settings.Network, group, number+1)
}

// newWorld starts everything.
func newWorld(ctx context.Context, settings Settings) (*world, error) {
	world := &world{
		settings: settings, store: metastore.New(), record: &platformserver.Record{},
		fleet: platformserver.NewFleet(), log: &faultLog{}, harmful: &harmfulLog{},
	}
	world.operator = newOperator(world.store)
	world.operator.twoCentres = extra(settings.Seed) == KindEvacuate
	storeAddress := net.JoinHostPort(world.ip(0, 0), fmt.Sprint(portStore))
	if err := world.listen(storeAddress, world.store); err != nil {
		return world, err
	}
	for number := range settings.Engines + settings.Plains {
		if err := world.addBackend(ctx, number); err != nil {
			return world, err
		}
	}
	world.operator.configure(nil)
	for number := range settings.VMs {
		if err := world.addVM(number, storeAddress); err != nil {
			return world, err
		}
	}
	return world, nil
}

func (world *world) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address) //nolint:noctx // closed by close
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends when it is closed
	world.closers = append(world.closers, func() { _ = server.Close() })
	return nil
}

// close ends all that was started.
func (world *world) close() {
	var ending sync.WaitGroup
	for _, vm := range world.vms {
		ending.Go(vm.process.close)
	}
	ending.Wait()
	for _, closer := range world.closers {
		closer()
	}
	for _, backend := range world.backends {
		backend.stop()
	}
}

// addBackend adds a server, engines first, and its proxy.
func (world *world) addBackend(ctx context.Context, number int) error {
	service := serviceEngines
	if number >= world.settings.Engines {
		service = servicePlain
	}
	own := net.JoinHostPort(world.ip(2, number), fmt.Sprint(portBack))
	link, err := newProxy(net.JoinHostPort(world.ip(3, number), fmt.Sprint(portBack)), own)
	if err != nil {
		return err
	}
	world.closers = append(world.closers, link.close)
	added := &backend{service: service, address: link.address(), own: own, link: link}
	world.backends = append(world.backends, added)
	return world.startBackend(ctx, added, added.newName())
}

// newName returns a name that no server at the address had.
func (backend *backend) newName() string {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return fmt.Sprintf("i-%s-%d", backend.address, backend.life+1)
}

// startBackend starts a server at the address of a backend under a name, which it may have had before, and lists it.
func (world *world) startBackend(ctx context.Context, backend *backend, name string) error {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.life++
	identity := platformserver.Identity{
		Instance: name, Service: backend.service, Address: backend.address, StartedAt: time.Now(),
	}
	seed := world.settings.Seed + uint64(backend.life) //nolint:gosec // a small count
	if backend.service == serviceEngines {
		backend.engine = platformserver.NewEngine(ctx, identity, platformserver.ProductionModel(), world.fleet, world.record, seed)
		backend.standIn = backend.engine
	} else {
		backend.standIn = platformserver.NewPlain(identity, plainSlots, plainWork, world.record, seed)
	}
	backend.standIn.SetCrash(platformserver.Crash{Body: harmfulBody, StopServer: func() { go world.crash(ctx, backend) }})
	listener, err := net.Listen("tcp4", backend.own) //nolint:noctx // closed by stop
	if err != nil {
		return errors.Wrap(err, "server")
	}
	server := &http.Server{Handler: backend.standIn, ReadHeaderTimeout: time.Minute}
	backend.server = server
	go func() { _ = server.Serve(listener) }() // ends when it is closed
	world.operator.list(identity, false)
	return nil
}

// stop ends the server at once.
func (backend *backend) stop() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	if backend.engine != nil {
		backend.engine.Kill()
	}
	_ = backend.server.Close() // resets what is open
}

// identity returns the server that is there now.
func (backend *backend) identity() platformserver.Identity {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.standIn.Identity()
}

func (backend *backend) setFaults(faults platformserver.Faults) {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.standIn.SetFaults(faults)
}

func (backend *backend) sayLeaving() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.standIn.AdvertiseDraining()
}

// addVM writes the settings of a VM and starts it.
func (world *world) addVM(number int, storeAddress string) error {
	added := &vm{name: fmt.Sprintf("vm-%d", number)}
	ip := world.ip(1, number)
	var err error
	if added.front, err = newProxy(net.JoinHostPort(world.ip(4, number), fmt.Sprint(portFront)), net.JoinHostPort(ip, fmt.Sprint(portFront))); err != nil {
		return err
	}
	if added.store, err = newProxy(net.JoinHostPort(world.ip(5, number), fmt.Sprint(portStore)), storeAddress); err != nil {
		return err
	}
	world.closers = append(world.closers, added.front.close, added.store.close)
	added.file = filepath.Join(world.settings.Dir, added.name+".json")
	if err := world.writeSite(added, ip, 0); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(world.settings.Dir, added.name+".log"))
	if err != nil {
		return errors.Wrap(err, "log")
	}
	world.closers = append(world.closers, func() { _ = output.Close() })
	added.process = startProcess(world.settings.Program, nil, []string{"MASTWINCH_NODE_FILE=" + added.file}, output)
	world.vms = append(world.vms, added)
	return nil
}

// writeSite writes the settings file of a VM. The slack of the retry budget may
// change.
func (world *world) writeSite(vm *vm, ip string, moreSlack int) error {
	data, err := json.Marshal(map[string]any{
		"node_name": vm.name, "ip": ip, "zone": firstCentre,
		"listen_addrs": map[string]string{
			"front": net.JoinHostPort(ip, fmt.Sprint(portFront)), "ready": net.JoinHostPort(ip, fmt.Sprint(portReady)),
		},
		"port_range": []int{portPeer, portPeer},
		"limits":     map[string]any{"memory_mb": 284, "link_mbps": 1000.0},
		"bounds": map[string]any{
			"config_apply_ms": 2000, "evac_ms": boundEvacuate.Milliseconds(), "grace_s": boundGrace.Seconds(), "revoke_ms": boundRevoke.Milliseconds(),
			"revoke_fail_closed": true, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"budget_slack": 100 + moreSlack, "hold_max_ms": 20_000,
		},
		"platform_config": map[string]string{"address": vm.store.address()},
	})
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrap(os.WriteFile(vm.file, data, 0o600), "settings")
}
