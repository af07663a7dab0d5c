package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
)

// Ports of a run. Each process and proxy has a loopback address of its own.
const (
	portFront   = 8001
	portReady   = 8002
	portPeer    = 7340
	portStore   = 8003
	portBackend = 8080
)

// Time bounds that VMs must meet in a run, as on the users' small sites.
const (
	// boundDrain is the time until a draining server, or one with a malformed entry, gets no more requests.
	boundDrain = 2 * time.Second
	// boundGrace is the time until a VM's process has ended after SIGTERM.
	boundGrace = 8 * time.Second
	// stopNotice is how long after SIGTERM a VM must take requests like any other.
	stopNotice = 3 * time.Second
	// boundRevoke is the time until a revoked key is rejected.
	boundRevoke = 5 * time.Second
	// boundContact is the time until VMs have recovered from a fault, or have quarantined a request that crashes servers.
	boundContact = 3 * time.Second
	// boundMemoryRelease is the time until the memory of ended requests is released at the engines.
	boundMemoryRelease = 4 * time.Second
	// boundEvacuate is the configured time until an evacuation is in force.
	boundEvacuate = 2 * time.Second
)

// Settings configure a run.
type Settings struct {
	// Program is the path of the gateway program, and Dir the directory for settings files and logs.
	Program string
	Dir     string
	// Older is the path of an older build of the program, for KindVMUpdate; empty means the same program with other settings.
	Older  string
	Seed   uint64
	Length time.Duration
	VMs    int
	// Engines and Plains are the numbers of model engines and of servers of the plain service.
	Engines int
	Plains  int
	Callers int
	// Network is the second byte of the loopback addresses of the run. Concurrent runs
	// need different ones.
	Network int
}

// vm is a gateway with the proxies between it and its callers and between it and the store.
type vm struct {
	name    string
	process *process
	front   *proxy
	store   *proxy
	// file is the settings file.
	file string
}

// backend is a server address with its proxy and the stand-in server that currently runs there.
type backend struct {
	service string
	// address is the proxy's, which VMs connect to. serverAddress is the server's own.
	address       string
	serverAddress string
	link          *proxy
	// replacing is held while the server is replaced or its entry is malformed.
	replacing sync.Mutex

	mu sync.Mutex
	// generation counts the servers started at the address.
	generation int
	standIn    standIn
	// engine is the stand-in if it is a model engine, and nil for a plain service.
	engine *platformserver.Engine
	server *http.Server
	// listener is that of server.
	listener *platformserver.Listener
}

// standIn is a simulated server: a model engine or a server of a plain service.
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

// environment holds the store, servers, VMs and records of one run.
type environment struct {
	settings Settings
	store    *metastore.Store
	record   *platformserver.Record
	fleet    *platformserver.Fleet
	operator *operator
	vms      []*vm
	backends []*backend
	log      *faultLog
	crashing *outcomeLog
	// crowding holds the outcomes of the organisation that crowds.
	crowding *outcomeLog
	// polls holds the outcomes of polls.
	polls   *outcomeLog
	closers []func()
}

func (environment *environment) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", environment.settings.Network, group, number+1)
}

// newEnvironment starts the store, servers and VMs of a run. On an error it returns what was started, which the caller must
// close too.
func newEnvironment(ctx context.Context, settings Settings) (*environment, error) {
	environment := &environment{
		settings: settings, store: metastore.New(), record: &platformserver.Record{},
		fleet: platformserver.NewFleet(), log: &faultLog{}, crashing: &outcomeLog{}, crowding: &outcomeLog{}, polls: &outcomeLog{},
	}
	environment.operator = newOperator(environment.store)
	environment.operator.twoDataCentres = extraKind(settings.Seed) == KindEvacuate
	storeAddress := net.JoinHostPort(environment.ip(0, 0), fmt.Sprint(portStore))
	if err := environment.listen(storeAddress, environment.store); err != nil {
		return environment, err
	}
	for number := range settings.Engines + settings.Plains {
		if err := environment.addBackend(ctx, number); err != nil {
			return environment, err
		}
	}
	environment.operator.configure(nil)
	for number := range settings.VMs {
		if err := environment.addVM(number, storeAddress); err != nil {
			return environment, err
		}
	}
	return environment, nil
}

func (environment *environment) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address) //nolint:noctx // closed by environment.close
	if err != nil {
		return errors.Wrap(err, "listen for store stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	environment.closers = append(environment.closers, func() { _ = server.Close() })
	return nil
}

// close ends everything that was started and waits for the VMs' processes.
func (environment *environment) close() {
	var ending sync.WaitGroup
	for _, vm := range environment.vms {
		ending.Go(vm.process.close)
	}
	ending.Wait()
	for _, closer := range environment.closers {
		closer()
	}
	for _, backend := range environment.backends {
		backend.stop()
	}
}

// addBackend starts the server with that number and its proxy. The first settings.Engines numbers are model engines.
func (environment *environment) addBackend(ctx context.Context, number int) error {
	service := serviceEngines
	if number >= environment.settings.Engines {
		service = servicePlain
	}
	own := net.JoinHostPort(environment.ip(2, number), fmt.Sprint(portBackend))
	link, err := newProxy(net.JoinHostPort(environment.ip(3, number), fmt.Sprint(portBackend)), own)
	if err != nil {
		return err
	}
	environment.closers = append(environment.closers, link.close)
	added := &backend{service: service, address: link.address(), serverAddress: own, link: link}
	environment.backends = append(environment.backends, added)
	return environment.startBackend(ctx, added, added.newName())
}

// newName returns a name that no server at the address has had.
func (backend *backend) newName() string {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return fmt.Sprintf("i-%s-%d", backend.address, backend.generation+1)
}

// startBackend starts a server of a backend and writes its entry to the store. The name may be one that was used before,
// as after a crash.
func (environment *environment) startBackend(ctx context.Context, backend *backend, name string) error {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.generation++
	identity := platformserver.Identity{
		Instance: name, Service: backend.service, Address: backend.address, StartedAt: time.Now(),
	}
	seed := environment.settings.Seed + uint64(backend.generation) //nolint:gosec // small non-negative number
	if backend.service == serviceEngines {
		backend.engine = platformserver.NewEngine(ctx, identity, platformserver.ProductionModel(), environment.fleet, environment.record, seed)
		backend.standIn = backend.engine
	} else {
		backend.standIn = platformserver.NewPlain(identity, plainSlots, plainWork, environment.record, seed)
	}
	backend.standIn.SetCrash(platformserver.Crash{
		Body: crashingBody, Part: crashingPart, StopServer: func() { go environment.crash(ctx, backend) },
	})
	listener, err := net.Listen("tcp4", backend.serverAddress) //nolint:noctx // closed by backend.stop
	if err != nil {
		return errors.Wrap(err, "listen for server stand-in")
	}
	server := &http.Server{Handler: backend.standIn, ReadHeaderTimeout: time.Minute, ConnContext: platformserver.ConnContext}
	tracked := platformserver.NewListener(listener)
	backend.server, backend.listener = server, tracked
	go func() { _ = server.Serve(tracked) }() // returns when the server is closed
	environment.operator.putServerEntry(identity, false)
	return nil
}

// stop ends the server abruptly.
func (backend *backend) stop() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	if backend.engine != nil {
		backend.engine.Kill()
	}
	backend.listener.Reset()   // a regular end would complete a response without a length
	_ = backend.server.Close() // an error leaves nothing to do
}

// identity returns the identity of the server that runs now.
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

func (backend *backend) advertiseDraining() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.standIn.AdvertiseDraining()
}

// addVM writes the settings file of a VM and starts it with its proxies.
func (environment *environment) addVM(number int, storeAddress string) error {
	added := &vm{name: fmt.Sprintf("vm-%d", number)}
	ip := environment.ip(1, number)
	var err error
	if added.front, err = newProxy(net.JoinHostPort(environment.ip(4, number), fmt.Sprint(portFront)), net.JoinHostPort(ip, fmt.Sprint(portFront))); err != nil {
		return err
	}
	if added.store, err = newProxy(net.JoinHostPort(environment.ip(5, number), fmt.Sprint(portStore)), storeAddress); err != nil {
		return err
	}
	environment.closers = append(environment.closers, added.front.close, added.store.close)
	added.file = filepath.Join(environment.settings.Dir, added.name+".json")
	if err := environment.writeSite(added, ip, 0); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(environment.settings.Dir, added.name+".log"))
	if err != nil {
		return errors.Wrap(err, "create VM log file")
	}
	environment.closers = append(environment.closers, func() { _ = output.Close() })
	program, tuning := environment.settings.Program, ""
	if environment.startsOlder(number) {
		program, tuning = environment.settings.olderProgram()
	}
	args, err := environment.tuningArgs(added.name, ip, tuning)
	if err != nil {
		return err
	}
	added.process = startProcess(program, args, []string{"MASTWINCH_NODE_FILE=" + added.file}, output)
	environment.vms = append(environment.vms, added)
	return nil
}

// tuningArgs returns the arguments with which a VM opens connections from its own address, so that proxies tell VMs apart. There
// are none in runs that don't need it. tuning has further settings.
func (environment *environment) tuningArgs(name, ip, tuning string) ([]string, error) {
	if !slices.Contains([]Kind{KindVMCutReset, KindVMCutAnswers, KindVMUpdate}, extraKind(environment.settings.Seed)) {
		return nil, nil
	}
	file := filepath.Join(environment.settings.Dir, name+".yaml")
	err := os.WriteFile(file, []byte("network:\n  source: "+ip+"\n"+tuning), 0o600)
	return []string{"--config", file}, errors.Wrap(err, "write VM tuning file")
}

// writeSite writes the settings file of a VM. moreSlack is added to the slack of the
// retry budget.
func (environment *environment) writeSite(vm *vm, ip string, moreSlack int) error {
	data, err := json.Marshal(map[string]any{
		"node_name": vm.name, "ip": ip, "zone": firstDataCentre,
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
		return errors.Wrap(err, "encode VM settings")
	}
	return errors.Wrap(os.WriteFile(vm.file, data, 0o600), "write VM settings file")
}
