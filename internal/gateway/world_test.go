package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/clock"
	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/gateway"
	"github.com/mastwinch/mastwinch/internal/memnet"
	"github.com/mastwinch/mastwinch/internal/standin/metastore"
	"github.com/mastwinch/mastwinch/platform"
)

const (
	storeAddress = "10.0.0.1:1"
	vmAddress    = "10.0.1.1:80"
	readyAddress = "10.0.1.1:81"
	testKey      = "key-of-register"
)

// world is one VM between a caller and scripted backend servers, with a store,
// all in virtual time.
type world struct {
	t       *testing.T
	network *memnet.Network
	store   *metastore.Store
	served  *gateway.Gateway
	stop    context.CancelFunc
	stopped chan error
	stopAt  time.Time
	// beforeStart is what the store had before the VM started.
	beforeStart metastore.Copy
	// addresses has those of the servers by their IDs.
	addresses map[string]string
	// asleep is for how long the VM was suspended, in nanoseconds.
	asleep atomic.Int64

	mu sync.Mutex
	// seen has the requests that reached each server.
	seen map[string][]seenRequest
	next int
}

// seenRequest is a request as a server saw it.
type seenRequest struct {
	Header http.Header
	Method string
	Target string
	Body   string
	At     time.Time
}

// backend is what a scripted server does with its nth request, from zero.
type backend func(world *world, nth int, writer http.ResponseWriter, request *http.Request)

// inWorld runs a test in virtual time with the servers of both services.
func inWorld(t *testing.T, engines, plain map[string]backend, test func(world *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := &world{
			t: t, network: memnet.New(), store: metastore.New(),
			seen: make(map[string][]seenRequest), stopped: make(chan error, 1), addresses: make(map[string]string),
		}
		var closers []io.Closer
		defer func() {
			for _, closer := range closers {
				_ = closer.Close()
			}
		}()
		closers = append(closers, world.listen(storeAddress, world.store))
		number := 0
		for service, servers := range map[string]map[string]backend{"engines": engines, "plain": plain} {
			for name, script := range servers {
				number++
				id := service + "-" + name
				address := fmt.Sprintf("10.0.2.%d:80", number)
				world.addresses[id] = address
				world.list(id, service, address, "ready")
				closers = append(closers, world.listen(address, world.scripted(id, script)))
			}
		}
		world.configure(1, nil)
		world.beforeStart = world.store.Copy()
		world.start()
		defer world.finish()
		test(world)
	})
}

func (world *world) listen(address string, handler http.Handler) io.Closer {
	listener, err := world.network.Listen(world.t.Context(), address)
	assert.NilError(world.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server
}

// scripted returns the handler of a server that notes what it sees.
func (world *world) scripted(id string, script backend) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		world.mu.Lock()
		nth := len(world.seen[id])
		world.seen[id] = append(world.seen[id], seenRequest{
			Header: request.Header.Clone(), Method: request.Method, Target: request.RequestURI,
			Body: string(body), At: time.Now(),
		})
		world.mu.Unlock()
		script(world, nth, writer, request)
	})
}

// lastBody returns the body of the last request to a server.
func (world *world) lastBody(id string) string {
	world.mu.Lock()
	defer world.mu.Unlock()
	seen := world.seen[id]
	return seen[len(seen)-1].Body
}

// list puts a server's entry into the store.
func (world *world) list(id, service, address, state string) {
	world.listWith(id, map[string]any{
		"service": service, "address": address, "zone": "north", "slots": 16, "state": state,
	})
}

// listWith puts a server's entry with these fields into the store.
func (world *world) listWith(id string, fields map[string]any) {
	value, err := json.Marshal(fields)
	assert.NilError(world.t, err)
	world.store.Put("keyed.servers", id, value)
}

// configure sets a configuration, as change makes it.
func (world *world) configure(version int, change func(configuration map[string]any)) {
	route := func(name, kind, service string, more map[string]any) map[string]any {
		route := map[string]any{
			"name": name, "host": "register.example", "path_prefix": "/" + name + "/", "route_kind": kind,
			"timeout_ms": 10_000, "target_latency_ms": 300, "service": service, "max_attempts": 2,
		}
		maps.Copy(route, more)
		return route
	}
	configuration := map[string]any{
		"version": version,
		"routes": []any{
			route("chat", "stream", "engines", map[string]any{"resumable": true, "gap_aim_ms": 250}),
			route("bill", "stream", "engines", map[string]any{"gap_aim_ms": 250}),
			route("look", "safe", "plain", map[string]any{"timeout_ms": 2000}),
			route("pay", "unsafe", "plain", map[string]any{"timeout_ms": 2000}),
			route("open", "safe", "plain", map[string]any{"allow_anonymous": true}),
		},
		"services": []any{
			map[string]any{"name": "engines", "engine": map[string]any{
				"slots": 16, "kv_tokens": 232_000, "stride": 43, "step_ms": 1.02, "read_per_s": 206_000, "pairs_per_m": 0.138,
			}},
			map[string]any{"name": "plain"},
		},
		"limits": map[string]any{
			"max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
		},
		"tenants": []any{map[string]any{"name": "register", "api_keys": []string{testKey}}},
	}
	if change != nil {
		change(configuration)
	}
	value, err := json.Marshal(configuration)
	assert.NilError(world.t, err)
	world.store.Put("keyed.op", "config", value)
}

// newSite returns the place of the VM.
func newSite() gateway.Site {
	return gateway.Site{
		VM: "vm-1", DataCentre: "north", Address: vmAddress, ReadyAddress: readyAddress,
		PeerAddress: "10.0.1.1:82", Store: storeAddress, MemoryBytes: 256 << 20,
		Heartbeat: time.Second,
		Bounds: gateway.Bounds{
			Grace: 8 * time.Second, Revoke: 5 * time.Second, RevokeFailClosed: true,
			RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
			HoldMax: 20 * time.Second,
		},
	}
}

// start starts the VM and waits until it is ready.
func (world *world) start() {
	world.served, world.stop = world.startAt(newSite(), world.stopped)
	time.Sleep(100 * time.Millisecond)
}

// startAt starts a VM at a place. Its end is told to stopped.
func (world *world) startAt(site gateway.Site, stopped chan<- error) (*gateway.Gateway, context.CancelFunc) {
	logger := slog.New(slog.DiscardHandler)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return world.network.Dial(ctx, address)
	}, DisableKeepAlives: true}
	clock := world.newClock()
	epochs := epoch.New(clock.Now)
	store := platform.NewStore(storeAddress, transport, epochs)
	served, err := gateway.New(gateway.DefaultSettings(), site, platform.Codec{}, platform.Orders{}, gateway.Sources{
		Configuration: platform.NewConfigurationSource(store),
		Servers:       platform.NewServersSource(store),
		Register:      platform.NewMembers(store, logger),
		Quarantine:    platform.NewQuarantine(store, logger),
		Epochs:        epochs,
	}, world.network, clock, logger)
	assert.NilError(world.t, err)
	ctx, stop := context.WithCancel(context.Background())
	go func() { stopped <- served.Run(ctx) }()
	return served, stop
}

// newClock returns the clock of a VM that can be suspended.
func (world *world) newClock() *clock.Clock {
	started := time.Now()
	made, err := clock.New(func() (time.Duration, error) {
		return time.Since(started) + time.Duration(world.asleep.Load()), nil
	})
	assert.NilError(world.t, err)
	return made
}

// suspend lets the VM wake up after so long a time in which its steady clock stood still.
func (world *world) suspend(duration time.Duration) {
	world.asleep.Add(int64(duration))
}

// askStop asks the VM to stop.
func (world *world) askStop() {
	world.stopAt = time.Now()
	world.stop()
}

// restart stops the VM and starts it again.
func (world *world) restart() {
	world.finish()
	world.start()
}

// finish stops the VM and waits for its end.
func (world *world) finish() {
	world.stop()
	if err := <-world.stopped; err != nil {
		world.t.Errorf("gateway ended with %v", err)
	}
}

// ready asks whether the VM is ready.
func (world *world) ready() bool {
	conn, err := world.network.Dial(world.t.Context(), readyAddress)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// requests returns what reached the servers, in no order.
func (world *world) requests() []seenRequest {
	world.mu.Lock()
	defer world.mu.Unlock()
	var all []seenRequest
	for _, seen := range world.seen {
		all = append(all, seen...)
	}
	return all
}

// Faults of the store.
const (
	metastoreSilent = metastore.FaultSilent
	metastoreBusy   = metastore.FaultBusy
)
