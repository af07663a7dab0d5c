package tunnel_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/tunnel"
)

const (
	oldVM = "10.0.1.2:82"
	newVM = "10.0.1.3:82"
)

// unframed returns the default settings, and those of a VM that does not tell how the server's side ends.
func unframed() (settings, old tunnel.Settings) {
	settings, old = tunnel.DefaultSettings(), tunnel.DefaultSettings()
	old.Frames = false
	return settings, old
}

// TestVMsThatTellHowServersEndGoFirst guards against sound answers being thrown away, or requests being lost, where VMs of two versions
// can lead a connection to a server.
func TestVMsThatTellHowServersEndGoFirst(t *testing.T) {
	settings, old := unframed()
	full := settings
	full.MaxOpen = 0
	for name, test := range map[string]struct {
		prepare  func(world *world)
		required bool
		direct   func(ctx context.Context) (net.Conn, error)
		want     string
		within   time.Duration
	}{
		"one of each":                           {prepare: func(world *world) { world.addPeer(newVM, settings, newLinks()) }, want: newVM},
		"one of each, required":                 {prepare: func(world *world) { world.addPeer(newVM, settings, newLinks()) }, required: true, want: newVM},
		"one of each, the new one at its limit": {prepare: func(world *world) { world.addPeer(newVM, full, newLinks()) }, want: oldVM},
		"one of each, the new one cut off": {prepare: func(world *world) {
			links := newLinks()
			links.Failed("a")
			links.Failed("b")
			world.addPeer(newVM, settings, links)
		}, want: oldVM},
		"one of each, the new one does not answer": {prepare: func(world *world) {
			world.addHandler(newVM, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
		}, want: oldVM, within: 2 * settings.Stagger},
		"none that tells": {want: oldVM},
		"none that tells, the own link accepts": {
			direct: func(context.Context) (net.Conn, error) { conn, _ := net.Pipe(); return conn, nil }, want: oldVM,
		},
		"none that tells, required": {required: true},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 { // the order of VMs is random
				withWorld(t, settings, func(world *world) {
					world.addPeer(oldVM, old, newLinks())
					if test.prepare != nil {
						test.prepare(world)
					}
					world.cut()
					direct := test.direct
					if direct == nil {
						direct = refuse
					}
					started := time.Now()
					connection, err := world.dialer.Dial(world.t.Context(), serverAddress, tunnel.Requirements{EndTold: test.required}, direct)
					if test.want == "" {
						assert.ErrorIs(t, err, errRefused)
						assert.ErrorContains(t, err, "does not tell")
						assert.Equal(t, world.dialer.Results(tunnel.ResultEndUntold), 1)
						return
					}
					assert.NilError(t, err)
					defer func() { _ = connection.Close() }()
					assert.Equal(t, connection.Via.Address, test.want)
					assert.Equal(t, connection.EndUntold, test.want == oldVM)
					assert.Assert(t, time.Since(started) <= test.within, "took %s", time.Since(started))
					assert.Assert(t, echoes(connection))
				})
			}
		})
	}
}

// TestVMThatDoesNotTellIsAskedAfterTheOthers guards against a tunnel more for each connection, and against a VM that is held for one of the
// old version after its update.
func TestVMThatDoesNotTellIsAskedAfterTheOthers(t *testing.T) {
	settings, old := unframed()
	withWorld(t, settings, func(world *world) {
		var current atomic.Pointer[tunnel.Server]
		oldServer := tunnel.NewServer(old, newLinks(), world, world.network.Dial, discard())
		current.Store(oldServer)
		world.addHandler(oldVM, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { current.Load().ServeHTTP(writer, request) }))
		world.addPeer(newVM, settings, newLinks())
		dial := func() string {
			world.cut()
			connection, err := world.dialer.Dial(world.t.Context(), serverAddress, tunnel.Requirements{}, refuse)
			assert.NilError(t, err)
			_ = connection.Close()
			return connection.Via.Address
		}
		for range 40 {
			assert.Equal(t, dial(), newVM)
		}
		assert.Equal(t, oldServer.Served(http.StatusOK), 1)

		updated := tunnel.NewServer(settings, newLinks(), world, world.network.Dial, discard())
		current.Store(updated)
		time.Sleep(10 * time.Second)
		via := map[string]int{}
		for range 40 {
			via[dial()]++
		}
		assert.Equal(t, len(via), 2, "%v", via)
	})
}
