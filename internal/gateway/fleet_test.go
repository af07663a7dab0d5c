package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/gateway"
	"github.com/mastwinch/mastwinch/internal/memnet"
	"github.com/mastwinch/mastwinch/internal/standin/metastore"
)

// Times of servers that crash, as the platform has them.
const (
	// restartTime is how long a server that crashed is away.
	restartTime = 1500 * time.Millisecond
	// entryTime is how long its entry stays listed.
	entryTime = 3600 * time.Millisecond
	// readTime is how long a server reads before it begins to run a request.
	readTime = 50 * time.Millisecond
	// crashTime is how long it runs one until it crashes.
	crashTime = 40 * time.Millisecond
)

// crashing is the body of a request under which each server crashes that begins to run it.
const crashing = "body that no server survives"

// fleet is a few VMs before servers that can crash, in virtual time.
type fleet struct {
	*world

	// apply is the bound on new configurations, or zero for none: from some seconds on VMs read through each other.
	apply time.Duration
	// slack is that of retries over all VMs, or zero for the usual one.
	slack float64
	// memory is what each VM may use in bytes, or zero for the usual.
	memory int64
	vms    []*fleetVM
	// servers has those of both services.
	servers []*fleetServer
}

// fleetVM is one VM of a fleet.
type fleetVM struct {
	number  int
	served  *gateway.Gateway
	stop    context.CancelFunc
	stopped chan error
}

func (vm *fleetVM) name() string { return fmt.Sprintf("vm-%d", vm.number) }

func (vm *fleetVM) address() string { return fmt.Sprintf("10.0.1.%d:80", vm.number) }

// inFleet runs a test before so many VMs and servers of each service.
func inFleet(t *testing.T, vms, servers int, test func(fleet *fleet)) {
	t.Helper()
	inFleetBound(t, vms, servers, 0, test)
}

// inFleetBound is inFleet with a bound on new configurations.
func inFleetBound(t *testing.T, vms, servers int, apply time.Duration, test func(fleet *fleet)) {
	t.Helper()
	runFleet(t, vms, servers, &fleet{apply: apply}, test)
}

// inFleetSlack is inFleet with so many retries beside those that requests earn.
func inFleetSlack(t *testing.T, vms, servers int, slack float64, test func(fleet *fleet)) {
	t.Helper()
	runFleet(t, vms, servers, &fleet{slack: slack}, test)
}

// runFleet runs a test before so many VMs and servers of each service.
func runFleet(t *testing.T, vms, servers int, fleet *fleet, test func(fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet.world = &world{
			t: t, network: memnet.New(), store: metastore.New(), seen: make(map[string][]seenRequest),
		}
		store := fleet.listen(storeAddress, fleet.store)
		defer func() { _ = store.Close() }()
		fleet.configure(1, nil)
		for number := range 2 * servers {
			service := []string{"engines", "plain"}[number%2]
			server := &fleetServer{fleet: fleet, service: service, address: fmt.Sprintf("10.0.2.%d:80", number+1)}
			fleet.servers = append(fleet.servers, server)
			server.start()
		}
		for number := range vms {
			fleet.vms = append(fleet.vms, &fleetVM{number: number + 1})
		}
		fleet.startAll()
		defer fleet.end()
		test(fleet)
	})
}

// end stops all that runs, also after a test that failed.
func (fleet *fleet) end() {
	fleet.stopAll()
	time.Sleep(entryTime) // servers that crashed are back
	for _, server := range fleet.servers {
		server.close()
	}
}

// startAll starts all VMs, and waits until they know each other.
func (fleet *fleet) startAll() {
	for _, vm := range fleet.vms {
		fleet.start(vm)
	}
	time.Sleep(3 * time.Second)
}

func (fleet *fleet) start(vm *fleetVM) {
	site := newSite()
	site.VM = vm.name()
	site.DataCentre = fmt.Sprintf("centre-%d", vm.number%3)
	site.Regions = regionsOf()
	site.Address = vm.address()
	site.ReadyAddress = fmt.Sprintf("10.0.1.%d:81", vm.number)
	site.PeerAddress = fmt.Sprintf("10.0.1.%d:82", vm.number)
	site.Bounds.Apply = fleet.apply
	site.MemoryBytes = cmp.Or(fleet.memory, site.MemoryBytes)
	site.Bounds.RetrySlack = cmp.Or(fleet.slack, site.Bounds.RetrySlack)
	vm.stopped = make(chan error, 1)
	vm.served, vm.stop = fleet.startAt(site, vm.stopped)
}

func (fleet *fleet) stop(vm *fleetVM) {
	vm.stop()
	assert.Check(fleet.t, <-vm.stopped)
}

// stopAll stops all VMs at once, and waits for their ends.
func (fleet *fleet) stopAll() {
	for _, vm := range fleet.vms {
		vm.stop()
	}
	for _, vm := range fleet.vms {
		assert.Check(fleet.t, <-vm.stopped)
	}
}

// fleetServer is a server at one address. Each start of it has an ID of its own.
type fleetServer struct {
	fleet   *fleet
	service string
	address string
	// script answers requests, or nil for the usual answers. It is set before any come.
	script backend

	mu      sync.Mutex
	starts  int
	running io.Closer
	// crashed has when it crashed.
	crashed []time.Time
}

func (server *fleetServer) start() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.starts++
	id := server.id()
	server.running = server.fleet.listen(server.address, server.fleet.scripted(id, server.onlyAs(id)))
	server.fleet.list(id, server.service, server.address, "ready")
}

func (server *fleetServer) close() {
	server.mu.Lock()
	defer server.mu.Unlock()
	_ = server.running.Close()
}

// onlyAs turns requests away that are meant for an earlier start.
func (server *fleetServer) onlyAs(id string) backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Expect-Instance") != id {
			refuses(http.StatusMisdirectedRequest)(world, nth, writer, request)
			return
		}
		server.serve(world, nth, writer, request)
	}
}

// serve crashes under a request whose body says so, and answers the others.
func (server *fleetServer) serve(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
	body := server.fleet.lastBodyOf(request.Header.Get("Request-Id"))
	time.Sleep(readTime)
	if body == crashing {
		time.Sleep(crashTime)
		server.crash()
		return
	}
	if server.script != nil {
		server.script(world, nth, writer, request)
		return
	}
	if server.service == "plain" {
		answers(http.StatusOK, "fine")(world, nth, writer, request)
		return
	}
	streams(8, 0)(world, nth, writer, request)
}

// crash breaks all connections, and starts the server anew after a while.
func (server *fleetServer) crash() {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.running == nil {
		return // it crashed a moment ago
	}
	id := server.id()
	_ = server.running.Close()
	server.running = nil
	server.crashed = append(server.crashed, time.Now())
	time.AfterFunc(restartTime, server.start)
	time.AfterFunc(entryTime, func() { server.fleet.store.Put("keyed.servers", id, nil) })
}

// lastBodyOf returns the body of a request by its ID.
func (fleet *fleet) lastBodyOf(id string) string {
	for _, seen := range fleet.requests() {
		if seen.Header.Get("Request-Id") == id {
			return seen.Body
		}
	}
	return ""
}

// crashes returns when servers crashed, in order.
func (fleet *fleet) crashes() []time.Time {
	var all []time.Time
	for _, server := range fleet.servers {
		server.mu.Lock()
		all = append(all, server.crashed...)
		server.mu.Unlock()
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// sendsAfter counts the requests with a body that reached servers after a moment.
func (fleet *fleet) sendsAfter(body string, moment time.Time) int {
	count := 0
	for _, seen := range fleet.requests() {
		if seen.Body == body && seen.At.After(moment) {
			count++
		}
	}
	return count
}

// headerVM names to servers the VM that a caller asked.
const headerVM = "X-Vm"

// spread lets callers ask for the same at VMs in turn, one each pause for so long.
func (fleet *fleet) spread(caller caller, pause, long time.Duration) {
	var asking sync.WaitGroup
	for number := range int(long / pause) {
		again := caller
		again.vm = fleet.vms[number%len(fleet.vms)].address()
		asking.Go(func() { fleet.ask(again.with(headerVM, again.vm)) })
		time.Sleep(pause)
	}
	asking.Wait()
}

// reachedFrom returns when requests of a VM reached a server.
func (fleet *fleet) reachedFrom(vm *fleetVM, server *fleetServer) []time.Time {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var times []time.Time
	for _, seen := range fleet.seen[server.id()] {
		if seen.Header.Get(headerVM) == vm.address() {
			times = append(times, seen.At)
		}
	}
	return times
}

// id is that of its present start.
func (server *fleetServer) id() string {
	return fmt.Sprintf("%s-%s-%d", server.service, server.address, server.starts)
}

// repeat lets callers ask for the same at VMs in turn, one each pause for so long, and returns what
// they got. Each asks once more at the next VM after a failure.
func (fleet *fleet) repeat(caller caller, pause, long time.Duration) []answer {
	var mu sync.Mutex
	var answers []answer
	var asking sync.WaitGroup
	for number := range int(long / pause) {
		asking.Go(func() {
			for try := range 2 {
				again := caller
				again.vm = fleet.vms[(number+try)%len(fleet.vms)].address()
				got := fleet.ask(again)
				mu.Lock()
				answers = append(answers, got)
				mu.Unlock()
				if got.status == http.StatusOK && got.whole {
					return
				}
			}
		})
		time.Sleep(pause)
	}
	asking.Wait()
	return answers
}
