package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/gateway"
	"github.com/mastwinch/mastwinch/internal/memnet"
	"github.com/mastwinch/mastwinch/internal/standin/metastore"
)

// Times of servers that crash, as the platform defines them.
const (
	// restartTime is the time from a crash until the server accepts connections again.
	restartTime = 1500 * time.Millisecond
	// entryTime is the time from a crash until the server's entry is deleted.
	entryTime = 3600 * time.Millisecond
	// readTime is the time from the arrival of a request until a server starts to run it.
	readTime = 50 * time.Millisecond
	// crashTime is the time for which a server runs a crashing request until it crashes.
	crashTime = 40 * time.Millisecond
)

// crashingBody is the body of a request that crashes each server that runs it.
const crashingBody = "body that no server survives"

// fleet runs several VMs in front of servers that can crash, in virtual time.
type fleet struct {
	*harness

	// applyBound is the time within which a configuration must be applied; zero means no bound. From some seconds on,
	// VMs read the store through each other.
	applyBound time.Duration
	// retrySlack is the retry slack of all VMs together; zero means that of newSite.
	retrySlack float64
	// memoryBytes is the memory of each VM; zero means that of newSite.
	memoryBytes int64
	// unframed has the numbers of the VMs that don't tell others how connections of servers end, as in an older version.
	unframed []int
	vms      []*fleetVM
	// servers has the servers of both services, which alternate.
	servers []*fleetServer
}

// fleetVM is one VM of a fleet. Numbers start at one.
type fleetVM struct {
	number   int
	network  *cutNetwork
	instance *gateway.Gateway
	stop     context.CancelFunc
	stopped  chan error
	// drainsSince is when the VM was stopped, in nanoseconds of Unix time, or zero while it runs.
	drainsSince atomic.Int64
}

// isTakenOut reports whether the platform's balancer has taken a VM out that drains: it accepts requests for as long as that takes.
func (vm *fleetVM) isTakenOut() bool {
	since := vm.drainsSince.Load()
	return since > 0 && time.Since(time.Unix(0, since)) > gateway.DefaultSettings().Drain.RefuseDelay
}

func (vm *fleetVM) name() string { return fmt.Sprintf("vm-%d", vm.number) }

func (vm *fleetVM) address() string { return fmt.Sprintf("10.0.1.%d:80", vm.number) }

// withFleet runs a test with a number of VMs, and of servers of each service.
func withFleet(t *testing.T, vms, servers int, test func(fleet *fleet)) {
	t.Helper()
	withFleetApplyBound(t, vms, servers, 0, test)
}

// withFleetApplyBound is withFleet with a bound on applying configurations.
func withFleetApplyBound(t *testing.T, vms, servers int, applyBound time.Duration, test func(fleet *fleet)) {
	t.Helper()
	runFleet(t, vms, servers, &fleet{applyBound: applyBound}, test)
}

// withFleetRetrySlack is withFleet with a retry slack: the retries that are allowed beyond the retry ratio.
func withFleetRetrySlack(t *testing.T, vms, servers int, retrySlack float64, test func(fleet *fleet)) {
	t.Helper()
	runFleet(t, vms, servers, &fleet{retrySlack: retrySlack}, test)
}

// runFleet starts the VMs and servers of a fleet, runs a test and stops them.
func runFleet(t *testing.T, vms, servers int, fleet *fleet, test func(fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet.harness = &harness{
			t: t, network: memnet.New(), store: metastore.New(), received: make(map[string][]receivedRequest),
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
			fleet.vms = append(fleet.vms, &fleetVM{number: number + 1, network: newCutNetwork(fleet.network)})
		}
		fleet.startAll()
		defer fleet.shutdown()
		test(fleet)
	})
}

// shutdown stops all VMs and servers, also after a failed test.
func (fleet *fleet) shutdown() {
	fleet.stopAll()
	time.Sleep(entryTime) // until crashed servers have restarted
	for _, server := range fleet.servers {
		server.close()
	}
}

// startAll starts all VMs and waits until they have discovered each other.
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
	site.Regions = fleetRegions()
	site.Address = vm.address()
	site.ReadyAddress = fmt.Sprintf("10.0.1.%d:81", vm.number)
	site.PeerAddress = fmt.Sprintf("10.0.1.%d:82", vm.number)
	site.Bounds.Apply = fleet.applyBound
	site.MemoryBytes = cmp.Or(fleet.memoryBytes, site.MemoryBytes)
	site.Bounds.RetrySlack = cmp.Or(fleet.retrySlack, site.Bounds.RetrySlack)
	settings := gateway.DefaultSettings()
	settings.Tunnel.Frames = !slices.Contains(fleet.unframed, vm.number)
	vm.stopped = make(chan error, 1)
	vm.drainsSince.Store(0)
	vm.instance, vm.stop = fleet.startOn(vm.network, settings, site, vm.stopped)
}

func (fleet *fleet) stop(vm *fleetVM) {
	vm.drainsSince.Store(time.Now().UnixNano())
	vm.stop()
	assert.Check(fleet.t, <-vm.stopped)
}

// stopAll stops all VMs at the same time and waits until they have ended.
func (fleet *fleet) stopAll() {
	for _, vm := range fleet.vms {
		vm.stop()
	}
	for _, vm := range fleet.vms {
		assert.Check(fleet.t, <-vm.stopped)
	}
}

// fleetServer is a server at a fixed address. Each start of it has a new ID.
type fleetServer struct {
	fleet   *fleet
	service string
	address string
	// script handles requests; nil means the default responses. It is set before the first request.
	script backend
	// silent, unless nil, delays all responses, also to probes. It is set before the first request.
	silent func()

	mu      sync.Mutex
	starts  int
	running io.Closer
	// crashed has the times of its crashes.
	crashed []time.Time
}

func (server *fleetServer) start() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.starts++
	id := server.id()
	handler := server.fleet.scripted(id, server.rejectOtherInstances(id))
	server.running = server.fleet.listen(server.address, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if server.silent != nil {
			server.silent()
		}
		handler.ServeHTTP(writer, request)
	}))
	server.fleet.putServer(id, server.service, server.address, "ready")
}

func (server *fleetServer) close() {
	server.mu.Lock()
	defer server.mu.Unlock()
	_ = server.running.Close()
}

// rejectOtherInstances refuses requests that expect an earlier start of the server.
func (server *fleetServer) rejectOtherInstances(id string) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Expect-Instance") != id {
			refuse(http.StatusMisdirectedRequest)(harness, nth, writer, request)
			return
		}
		server.serve(harness, nth, writer, request)
	}
}

// serve crashes on a request with crashingBody or crashingPart and responds to all others.
func (server *fleetServer) serve(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
	crashes := strings.Contains(request.Header.Get("Prefix-Hash"), crashingPart) ||
		server.fleet.bodyOf(request.Header.Get("Request-Id")) == crashingBody
	time.Sleep(readTime)
	if crashes {
		time.Sleep(crashTime)
		server.crash()
		return
	}
	if server.script != nil {
		server.script(harness, nth, writer, request)
		return
	}
	if server.service == "plain" {
		responses(http.StatusOK, "fine")(harness, nth, writer, request)
		return
	}
	streamEvents(8, 0)(harness, nth, writer, request)
}

// crash closes all connections and restarts the server after restartTime.
func (server *fleetServer) crash() {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.running == nil {
		return // already crashed and not yet restarted
	}
	id := server.id()
	_ = server.running.Close()
	server.running = nil
	server.crashed = append(server.crashed, time.Now())
	time.AfterFunc(restartTime, server.start)
	time.AfterFunc(entryTime, func() { server.fleet.store.Put("keyed.servers", id, nil) })
}

// bodyOf returns the body of the request with an ID, or an empty string where no server has received it.
func (fleet *fleet) bodyOf(id string) string {
	for _, received := range fleet.requests() {
		if received.Header.Get("Request-Id") == id {
			return received.Body
		}
	}
	return ""
}

// crashes returns the times at which servers crashed, in order.
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

// sendsAfter counts the requests with a body that reached servers after a time.
func (fleet *fleet) sendsAfter(body string, after time.Time) int {
	count := 0
	for _, received := range fleet.requests() {
		if received.Body == body && received.At.After(after) {
			count++
		}
	}
	return count
}

// headerVM is the request header in which tests pass the address of the VM to the servers.
const headerVM = "X-Vm"

// queryTaggedRoundRobin sends copies of a request to the VMs in turn, one per interval for a duration, each with headerVM.
func (fleet *fleet) queryTaggedRoundRobin(callerRequest callerRequest, interval, duration time.Duration) {
	var callers sync.WaitGroup
	for number := range int(duration / interval) {
		attempt := callerRequest
		attempt.vm = fleet.vms[number%len(fleet.vms)].address()
		callers.Go(func() { fleet.query(attempt.with(headerVM, attempt.vm)) })
		time.Sleep(interval)
	}
	callers.Wait()
}

// arrivalsFrom returns the times at which requests from a VM reached a server.
func (fleet *fleet) arrivalsFrom(vm *fleetVM, server *fleetServer) []time.Time {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var times []time.Time
	for _, received := range fleet.received[server.id()] {
		if received.Header.Get(headerVM) == vm.address() {
			times = append(times, received.At)
		}
	}
	return times
}

// id returns the ID of the current start.
func (server *fleetServer) id() string {
	return fmt.Sprintf("%s-%s-%d", server.service, server.address, server.starts)
}

// queryRetrying sends copies of a request to the VMs in turn, one per interval for a duration, and returns all responses. A
// request that fails is retried once, at the next VM.
func (fleet *fleet) queryRetrying(callerRequest callerRequest, interval, duration time.Duration) []callerResponse {
	var mu sync.Mutex
	var responses []callerResponse
	var callers sync.WaitGroup
	for number := range int(duration / interval) {
		callers.Go(func() {
			for retry := range 2 {
				attempt := callerRequest
				attempt.vm = fleet.vms[(number+retry)%len(fleet.vms)].address()
				got := fleet.query(attempt)
				mu.Lock()
				responses = append(responses, got)
				mu.Unlock()
				if got.status == http.StatusOK && got.complete {
					return
				}
			}
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return responses
}
