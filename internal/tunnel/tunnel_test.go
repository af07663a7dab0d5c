package tunnel_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/memnet"
	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/tunnel"
)

const serverAddress = "10.0.2.1:80"

var errRefused = errors.New("refused")

// world is a VM, some others that serve tunnels, and a server that echoes what it receives.
type world struct {
	t       *testing.T
	network *memnet.Network
	links   *reachability.Monitor
	dialer  *tunnel.Dialer
	closers []io.Closer

	mu    sync.Mutex
	peers []string
}

// TunnelPeers implements tunnel.Peers. All VMs are in the data centre "north".
func (world *world) TunnelPeers() (live, others []tunnel.Peer) {
	world.mu.Lock()
	defer world.mu.Unlock()
	for _, peer := range world.peers {
		live = append(live, tunnel.Peer{Address: peer, DataCentre: "north"})
	}
	return live, nil
}

func withWorld(t *testing.T, settings tunnel.Settings, test func(world *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := &world{t: t, network: memnet.New(), links: newLinks()}
		world.dialer = tunnel.NewDialer(settings, world.links, world.network, world, discard(), time.Now)
		echo, err := world.network.Listen(t.Context(), serverAddress)
		assert.NilError(t, err)
		world.closers = append(world.closers, echo)
		go func() {
			for {
				conn, err := echo.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
			}
		}()
		defer func() {
			for _, closer := range world.closers {
				_ = closer.Close()
			}
			time.Sleep(time.Minute) // until all tunnels have ended
		}()
		test(world)
	})
}

func discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

func newLinks() *reachability.Monitor {
	return reachability.NewMonitor(reachability.DefaultSettings(), discard(), time.Now)
}

// HasAddress implements tunnel.Servers.
func (*world) HasAddress(address string) bool { return address == serverAddress }

// addPeer adds a VM that serves tunnels.
func (world *world) addPeer(address string, settings tunnel.Settings, links *reachability.Monitor) *tunnel.Server {
	server := tunnel.NewServer(settings, links, world, world.network.Dial, discard())
	world.addHandler(address, server)
	return server
}

// addHandler adds a VM that handles requests of other VMs in any way.
func (world *world) addHandler(address string, handler http.Handler) {
	listener, err := world.network.Listen(world.t.Context(), address)
	assert.NilError(world.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	world.closers = append(world.closers, server)
	world.mu.Lock()
	defer world.mu.Unlock()
	world.peers = append(world.peers, address)
}

// cut makes the VM's own links count as cut.
func (world *world) cut() {
	world.links.Failed("10.0.2.2:80")
	world.links.Failed("10.0.2.3:80")
	world.links.TakeProbe()
}

func refuse(context.Context) (net.Conn, error) { return nil, errRefused }

// echoes reports whether a connection leads to the server.
func echoes(connection tunnel.Connection) bool {
	go func() { _, _ = io.WriteString(connection, "hello") }()
	buffer := make([]byte, len("hello"))
	_, err := io.ReadFull(connection, buffer)
	return err == nil && string(buffer) == "hello"
}

func TestDialGoesThroughVMsThatReachTheServer(t *testing.T) {
	settings := tunnel.DefaultSettings()
	for name, test := range map[string]struct {
		prepare func(world *world)
		want    string
		within  time.Duration
	}{
		"one VM": {prepare: func(world *world) {
			world.addPeer("10.0.1.2:82", settings, newLinks())
		}, want: "10.0.1.2:82"},
		"a VM whose links are cut too": {prepare: func(world *world) {
			cut := newLinks()
			cut.Failed("a")
			cut.Failed("b")
			world.addPeer("10.0.1.2:82", settings, cut)
			world.addPeer("10.0.1.3:82", settings, newLinks())
		}, want: "10.0.1.3:82"},
		"a VM that stops": {prepare: func(world *world) {
			world.addPeer("10.0.1.2:82", settings, newLinks()).Stop()
			world.addPeer("10.0.1.3:82", settings, newLinks())
		}, want: "10.0.1.3:82"},
		"a VM of a version without tunnels": {prepare: func(world *world) {
			world.addHandler("10.0.1.2:82", http.NotFoundHandler())
			world.addPeer("10.0.1.3:82", settings, newLinks())
		}, want: "10.0.1.3:82"},
		"a VM that does not answer": {prepare: func(world *world) {
			world.addHandler("10.0.1.2:82", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
			world.addPeer("10.0.1.3:82", settings, newLinks())
		}, want: "10.0.1.3:82", within: settings.Stagger},
		"a VM that is gone": {prepare: func(world *world) {
			world.peers = append(world.peers, "10.0.1.2:82")
			world.addPeer("10.0.1.3:82", settings, newLinks())
		}, want: "10.0.1.3:82"},
		"no other VM": {prepare: func(*world) {}},
		"all VMs are full": {prepare: func(world *world) {
			full := settings
			full.MaxOpen = 0
			world.addPeer("10.0.1.2:82", full, newLinks())
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, settings, func(world *world) {
				test.prepare(world)
				world.cut()
				started := time.Now()
				connection, err := world.dialer.Dial(world.t.Context(), serverAddress, tunnel.Requirements{}, refuse)
				if test.want == "" {
					assert.ErrorIs(t, err, errRefused)
					return
				}
				assert.NilError(t, err)
				defer func() { _ = connection.Close() }()
				assert.Equal(t, connection.Via.Address, test.want)
				assert.Assert(t, time.Since(started) <= test.within, "took %s", time.Since(started))
				assert.Assert(t, echoes(connection))
			})
		})
	}
}

func TestDialOverDoubtfulLinks(t *testing.T) {
	settings := tunnel.DefaultSettings()
	for name, test := range map[string]struct {
		doubt  bool
		direct time.Duration
		want   string
	}{
		"links are sound":                     {direct: time.Second},
		"links are in doubt and work":         {doubt: true, direct: settings.HeadStart - 1},
		"links are in doubt and do not work":  {doubt: true, direct: time.Minute, want: "10.0.1.2:82"},
		"links are sound, connection is slow": {direct: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, settings, func(world *world) {
				world.addPeer("10.0.1.2:82", settings, newLinks())
				if test.doubt {
					world.links.Failed("10.0.2.2:80")
				}
				connection, err := world.dialer.Dial(world.t.Context(), serverAddress, tunnel.Requirements{}, func(ctx context.Context) (net.Conn, error) {
					select {
					case <-time.After(test.direct):
						return world.network.Dial(ctx, serverAddress)
					case <-ctx.Done():
						return nil, errors.WithStack(ctx.Err())
					}
				})
				assert.NilError(t, err)
				defer func() { _ = connection.Close() }()
				assert.Equal(t, connection.Via.Address, test.want)
				if test.want != "" {
					assert.Equal(t, world.links.Verdict(), reachability.Unreachable)
				}
			})
		})
	}
}

// TestServerBoundsTunnels guards against a VM that is led to any address, or opens any number of connections, for others.
func TestServerBoundsTunnels(t *testing.T) {
	settings := tunnel.DefaultSettings()
	settings.MaxOpen = 2
	withWorld(t, settings, func(world *world) {
		server := world.addPeer("10.0.1.2:82", settings, newLinks())
		world.cut()
		var open []tunnel.Connection
		for range settings.MaxOpen {
			connection, err := world.dialer.Dial(world.t.Context(), serverAddress, tunnel.Requirements{}, refuse)
			assert.NilError(t, err)
			open = append(open, connection)
		}
		_, err := world.dialer.Dial(world.t.Context(), serverAddress, tunnel.Requirements{}, refuse)
		assert.ErrorIs(t, err, errRefused)
		assert.Equal(t, server.Served(http.StatusServiceUnavailable), 1)
		_ = open[0].Close()
		time.Sleep(settings.AvoidTime)
		world.cut()
		_, err = world.dialer.Dial(world.t.Context(), "10.0.9.9:22", tunnel.Requirements{}, refuse)
		assert.ErrorIs(t, err, errRefused)
		assert.Equal(t, server.Served(http.StatusForbidden), 1)
		_ = open[1].Close()
		time.Sleep(time.Second)
		assert.Equal(t, server.Open(), int64(0))
	})
}

// TestTunnelLeadsThroughAllowedDataCentresOnly guards against the body of a request being led through a VM of a region that its route
// or organisation does not allow.
func TestTunnelLeadsThroughAllowedDataCentresOnly(t *testing.T) {
	settings := tunnel.DefaultSettings()
	for name, test := range map[string]struct {
		dataCentres []string
		wantErr     bool
	}{
		"all":         {},
		"its own":     {dataCentres: []string{"east", "north"}},
		"others only": {dataCentres: []string{"east", "south"}, wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, settings, func(world *world) {
				server := world.addPeer("10.0.1.2:82", settings, newLinks())
				world.cut()
				connection, err := world.dialer.Dial(world.t.Context(), serverAddress, tunnel.Requirements{DataCentres: test.dataCentres}, refuse)
				assert.Equal(t, err != nil, test.wantErr, "%v", err)
				assert.Equal(t, server.Served(http.StatusOK) == 0, test.wantErr)
				if err == nil {
					_ = connection.Close()
				}
			})
		})
	}
}
