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
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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
			seen: make(map[string][]seenRequest), stopped: make(chan error, 1),
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
				world.list(id, service, address, "ready")
				closers = append(closers, world.listen(address, world.scripted(id, script)))
			}
		}
		world.configure(1, nil)
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

// list puts a server's entry into the store.
func (world *world) list(id, service, address, state string) {
	value, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "north", "slots": 16, "state": state,
	})
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
		Bounds: gateway.Bounds{
			Grace: 8 * time.Second, Revoke: 5 * time.Second, RevokeFailClosed: true,
			RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
			HoldMax: 20 * time.Second,
		},
	}
}

// start starts the VM and waits until it is ready.
func (world *world) start() {
	logger := slog.New(slog.DiscardHandler)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return world.network.Dial(ctx, address)
	}, DisableKeepAlives: true}
	store := platform.NewStore(storeAddress, transport)
	served, err := gateway.New(gateway.DefaultSettings(), newSite(), platform.Codec{}, platform.Orders{}, gateway.Sources{
		Configuration: platform.NewConfigurationSource(store),
		Servers:       platform.NewServersSource(store),
		Register:      platform.NewMembers(store),
	}, world.network, logger)
	assert.NilError(world.t, err)
	world.served = served
	ctx, stop := context.WithCancel(context.Background())
	world.stop = stop
	go func() { world.stopped <- served.Run(ctx) }()
	time.Sleep(100 * time.Millisecond)
}

// askStop asks the VM to stop.
func (world *world) askStop() {
	world.stopAt = time.Now()
	world.stop()
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

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// whole says that the body ended as it should.
	whole bool
	// last says that the connection takes no other request.
	last bool
	took time.Duration
}

// caller is a request of a caller.
type caller struct {
	method string
	path   string
	header map[string]string
	body   string
	// give is after how long the caller leaves, or zero for never.
	give time.Duration
}

// stream returns a request on a route of streams.
func stream(route string) caller {
	return caller{method: http.MethodPost, path: "/" + route + "/x?a=%2F&b=1", body: "prompt", header: map[string]string{
		"Token-Counts": "4960,500", "Model": "m", "Prefix-Hash": "5c1e07a2:800",
	}}
}

// plain returns a request on a route of plain services.
func plain(method, route string) caller {
	return caller{method: method, path: "/" + route + "/x"}
}

func (caller caller) with(name, value string) caller {
	header := maps.Clone(caller.header)
	if header == nil {
		header = make(map[string]string)
	}
	header[name] = value
	caller.header = header
	return caller
}

// ask sends a request on a connection of its own.
func (world *world) ask(caller caller) answer {
	world.mu.Lock()
	world.next++
	id := fmt.Sprintf("request-%d", world.next)
	world.mu.Unlock()
	header := map[string]string{
		"Host": "register.example", "Request-Id": id, "Deadline-Ms": "10000", "Authorization": "Bearer " + testKey,
	}
	maps.Copy(header, caller.header)
	raw := &strings.Builder{}
	fmt.Fprintf(raw, "%s %s HTTP/1.1\r\n", caller.method, caller.path)
	for name, value := range header {
		if value != "" {
			fmt.Fprintf(raw, "%s: %s\r\n", name, value)
		}
	}
	if caller.body != "" {
		fmt.Fprintf(raw, "Content-Length: %d\r\n", len(caller.body))
	}
	raw.WriteString("\r\n" + caller.body)
	return world.raw(raw.String(), caller.give)
}

// raw sends bytes on a connection of its own and reads one answer.
func (world *world) raw(bytes string, give time.Duration) answer {
	started := time.Now()
	conn, err := world.network.Dial(world.t.Context(), vmAddress)
	if err != nil {
		return answer{}
	}
	defer func() { _ = conn.Close() }()
	if give > 0 {
		timer := time.AfterFunc(give, func() { _ = conn.Close() })
		defer timer.Stop()
	}
	go func() { _, _ = io.WriteString(conn, bytes) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{took: time.Since(started)}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, header: response.Header, body: string(body),
		whole: err == nil, last: response.Close, took: time.Since(started),
	}
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

// seal writes what every answer of a server carries.
func seal(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	writer.Header().Set("Response-Seal", "seal-of-"+request.Header.Get("Expect-Instance"))
}

// answers answers a plain request with a status.
func answers(status int, body string) backend {
	return func(_ *world, _ int, writer http.ResponseWriter, request *http.Request) {
		seal(writer, request)
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

// refuses says that it did not run the request.
func refuses(status int) backend {
	return func(_ *world, _ int, writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(status)
	}
}

// breaks closes the connection without an answer.
func breaks() backend {
	return func(*world, int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
}

// hangs says nothing until the caller leaves.
func hangs() backend {
	return func(_ *world, _ int, _ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
}

// anyFirst does one thing with the first request to any server, another with
// the others.
func anyFirst(one, others backend) backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		if len(world.requests()) == 1 {
			one(world, nth, writer, request)
			return
		}
		others(world, nth, writer, request)
	}
}

const gapOfEvents = 50 * time.Millisecond

// streams sends events up to last, from the one after the caller's last on. It
// breaks off within the event after cut, when cut is above zero.
func streams(last, cut int) backend {
	return func(_ *world, _ int, writer http.ResponseWriter, request *http.Request) {
		seal(writer, request)
		writer.Header().Set("Content-Type", "text/event-stream")
		from := 0
		_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= last; id++ {
			time.Sleep(gapOfEvents)
			if cut > 0 && id > cut {
				_, _ = fmt.Fprintf(writer, "id: %d\nda", id)
				_ = http.NewResponseController(writer).Flush()
				panic(http.ErrAbortHandler)
			}
			_, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", id, id)
			if err != nil {
				return
			}
			_ = http.NewResponseController(writer).Flush()
		}
	}
}

// wholeStream is the body of a stream of so many events.
func wholeStream(last int) string {
	body := &strings.Builder{}
	for id := 1; id <= last; id++ {
		fmt.Fprintf(body, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return body.String()
}

// Faults of the store.
const (
	metastoreSilent = metastore.FaultSilent
	metastoreBusy   = metastore.FaultBusy
)
