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
	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/standin/metastore"
	"github.com/mastwinch/mastwinch/platform"
)

const (
	storeAddress = "10.0.0.1:1"
	vmAddress    = "10.0.1.1:80"
	readyAddress = "10.0.1.1:81"
	testKey      = "key-of-register"
)

// harness runs one VM with scripted backend servers and a store, in virtual time.
type harness struct {
	t               *testing.T
	network         *memnet.Network
	store           *metastore.Store
	instance        *gateway.Gateway
	stop            context.CancelFunc
	stopped         chan error
	stopRequestedAt time.Time
	// beforeStart is a copy of the store from before the start of the VM.
	beforeStart metastore.Snapshot
	// addresses has the addresses of the servers by ID.
	addresses map[string]string
	// codec is the codec of VMs that are started, or nil for that of the platform.
	codec gateway.Codec
	// suspended is the total time for which the VM was suspended, in nanoseconds.
	suspended atomic.Int64

	mu sync.Mutex
	// received has the requests that reached each server, in order, by the server's ID.
	received map[string][]receivedRequest
	lastID   int
}

// receivedRequest is a request as a server received it.
type receivedRequest struct {
	Header http.Header
	Method string
	Target string
	Body   string
	At     time.Time
}

// backend handles the nth request to a scripted server, counted from zero.
type backend func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request)

// withHarness runs a test in virtual time with one VM and with servers of both services, by name. Engines serve the streaming
// routes and plain servers all other routes.
func withHarness(t *testing.T, engines, plain map[string]backend, test func(harness *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		harness := &harness{
			t: t, network: memnet.New(), store: metastore.New(),
			received: make(map[string][]receivedRequest), stopped: make(chan error, 1), addresses: make(map[string]string),
		}
		var closers []io.Closer
		defer func() {
			for _, closer := range closers {
				_ = closer.Close()
			}
		}()
		closers = append(closers, harness.listen(storeAddress, harness.store))
		number := 0
		for service, servers := range map[string]map[string]backend{"engines": engines, "plain": plain} {
			for name, script := range servers {
				number++
				id := service + "-" + name
				address := fmt.Sprintf("10.0.2.%d:80", number)
				harness.addresses[id] = address
				harness.putServer(id, service, address, "ready")
				closers = append(closers, harness.listen(address, harness.scripted(id, script)))
			}
		}
		harness.configure(1, nil)
		harness.beforeStart = harness.store.Snapshot()
		harness.start()
		defer harness.finish()
		test(harness)
	})
}

func (harness *harness) listen(address string, handler http.Handler) io.Closer {
	listener, err := harness.network.Listen(harness.t.Context(), address)
	assert.NilError(harness.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server
}

// scripted returns the handler of a server that records its requests before the script handles them.
func (harness *harness) scripted(id string, script backend) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Request-Id") == "" && request.Method == http.MethodGet {
			return // a probe: a report or health check, which runs nothing
		}
		body, _ := io.ReadAll(request.Body)
		harness.mu.Lock()
		nth := len(harness.received[id])
		harness.received[id] = append(harness.received[id], receivedRequest{
			Header: request.Header.Clone(), Method: request.Method, Target: request.RequestURI,
			Body: string(body), At: time.Now(),
		})
		harness.mu.Unlock()
		script(harness, nth, writer, request)
	})
}

// lastBody returns the body of the last request to a server.
func (harness *harness) lastBody(id string) string {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	received := harness.received[id]
	return received[len(received)-1].Body
}

// putServer writes the entry of a server to the store.
func (harness *harness) putServer(id, service, address, state string) {
	harness.putServerFields(id, map[string]any{
		"service": service, "address": address, "zone": "north", "slots": 16, "state": state,
	})
}

// putServerFields writes the entry of a server with the given fields to the store.
func (harness *harness) putServerFields(id string, fields map[string]any) {
	value, err := json.Marshal(fields)
	assert.NilError(harness.t, err)
	harness.store.Put("keyed.servers", id, value)
}

// configure writes a configuration to the store. change modifies it before; nil leaves it as it is.
func (harness *harness) configure(version int, change func(configuration map[string]any)) {
	route := func(name, kind, service string, extra map[string]any) map[string]any {
		route := map[string]any{
			"name": name, "host": "register.example", "path_prefix": "/" + name + "/", "route_kind": kind,
			"timeout_ms": 10_000, "target_latency_ms": 300, "service": service, "max_attempts": 2,
		}
		maps.Copy(route, extra)
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
			map[string]any{"name": "engines", "health_path": "/health", "engine": map[string]any{
				"slots": 16, "kv_tokens": 232_000, "stride": 43, "step_ms": 1.02, "read_per_s": 206_000, "pairs_per_m": 0.138,
			}},
			map[string]any{"name": "plain", "health_path": "/health"},
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
	assert.NilError(harness.t, err)
	harness.store.Put("keyed.op", "config", value)
}

// newSite returns the site settings of the VM.
func newSite() gateway.Site {
	return gateway.Site{
		VM: "vm-1", DataCentre: "north", Address: vmAddress, ReadyAddress: readyAddress,
		PeerAddress: "10.0.1.1:82", StoreAddress: storeAddress, MemoryBytes: 256 << 20,
		Heartbeat: time.Second,
		Bounds: gateway.Bounds{
			Grace: 8 * time.Second, Revoke: 5 * time.Second, RevokeFailClosed: true,
			RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
			HoldMax: 20 * time.Second,
		},
	}
}

// start starts the VM and waits until it is ready.
func (harness *harness) start() {
	harness.instance, harness.stop = harness.startAt(newSite(), harness.stopped)
	time.Sleep(100 * time.Millisecond)
}

// startAt starts a VM with site settings. The result of its Run is sent to stopped.
func (harness *harness) startAt(site gateway.Site, stopped chan<- error) (*gateway.Gateway, context.CancelFunc) {
	return harness.startOn(harness.network, gateway.DefaultSettings(), site, stopped)
}

// startOn is startAt for a VM with a network and settings of its own.
func (harness *harness) startOn(
	hostNetwork network.Network, settings gateway.Settings, site gateway.Site, stopped chan<- error,
) (*gateway.Gateway, context.CancelFunc) {
	logger := slog.New(slog.DiscardHandler)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return harness.network.Dial(ctx, address)
	}, DisableKeepAlives: true}
	clock := harness.newClock()
	epochs := epoch.New(clock.Now)
	store := platform.NewStore(storeAddress, transport, epochs)
	var codec gateway.Codec = platform.Codec{}
	if harness.codec != nil {
		codec = harness.codec
	}
	instance, err := gateway.New(settings, site, codec, platform.EngineCodec{}, gateway.Sources{
		Configuration: platform.NewConfigurationSource(store),
		Servers:       platform.NewServersSource(store),
		Registry:      platform.NewMembers(store, logger),
		Quarantine:    platform.NewQuarantine(store, logger),
		Epochs:        epochs,
	}, hostNetwork, clock, logger)
	assert.NilError(harness.t, err)
	ctx, stop := context.WithCancel(context.Background())
	go func() { stopped <- instance.Run(ctx) }()
	return instance, stop
}

// newClock returns a clock that includes the time of suspensions.
func (harness *harness) newClock() *clock.Clock {
	started := time.Now()
	testClock, err := clock.New(func() (time.Duration, error) {
		return time.Since(started) + time.Duration(harness.suspended.Load()), nil
	})
	assert.NilError(harness.t, err)
	return testClock
}

// suspend simulates a suspension of the VM that ends now, during which its monotonic clock did not advance.
func (harness *harness) suspend(duration time.Duration) {
	harness.suspended.Add(int64(duration))
}

// beginShutdown starts a planned stop of the VM.
func (harness *harness) beginShutdown() {
	harness.stopRequestedAt = time.Now()
	harness.stop()
}

// restart stops and starts the VM.
func (harness *harness) restart() {
	harness.finish()
	harness.start()
}

// finish stops the VM and waits until it has ended; an error fails the test.
func (harness *harness) finish() {
	harness.stop()
	if err := <-harness.stopped; err != nil {
		harness.t.Errorf("gateway ended with %v", err)
	}
}

// ready reports whether the readiness endpoint of the VM responds with 200.
func (harness *harness) ready() bool {
	conn, err := harness.network.Dial(harness.t.Context(), readyAddress)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// requests returns the requests that reached all servers, in no particular order.
func (harness *harness) requests() []receivedRequest {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	var all []receivedRequest
	for _, received := range harness.received {
		all = append(all, received...)
	}
	return all
}

// Faults of the store that tests use often.
const (
	metastoreSilent = metastore.FaultNoResponse
	metastoreBusy   = metastore.FaultBusy
)
