package standin

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/service"
)

// server is a simulated backend server: an engine or a service with its HTTP
// server. It can be killed and started again.
type server struct {
	vm platformclient.VM
	// build returns a new engine or service without any state.
	build func() instance

	mu sync.Mutex
	// running is nil while the server is stopped.
	running *instance
	http    *http.Server
	cancel  context.CancelFunc
}

// instance is what a server runs: either engine or service is nil.
type instance struct {
	engine  *engine.Engine
	service *service.Service
}

func (instance instance) handler() http.Handler {
	if instance.engine != nil {
		return instance.engine.Handler()
	}
	return instance.service.Handler()
}

// start starts the HTTP server and, for an engine, its computation. It does
// nothing if the server is running.
func (server *server) start(ctx context.Context) error {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.running != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", server.vm.Address)
	if err != nil {
		return errors.Wrapf(err, "start backend server %s", server.vm.ID)
	}
	instance := server.build()
	serverContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	server.running = &instance
	server.cancel = cancel
	server.http = &http.Server{Handler: instance.handler()} //nolint:gosec // for tests, on loopback
	if instance.engine != nil {
		go instance.engine.Run()
		go instance.engine.RunMaintenance(serverContext)
	}
	go func(http *http.Server) { _ = http.Serve(listener) }(server.http)
	return nil
}

// kill closes all connections and discards all state, like a crash.
func (server *server) kill() {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.running == nil {
		return
	}
	_ = server.http.Close()
	server.cancel()
	if server.running.engine != nil {
		server.running.engine.Close()
	}
	server.running = nil
}

// drain makes the server refuse new requests. It does nothing if the server is
// stopped.
func (server *server) drain() {
	server.mu.Lock()
	defer server.mu.Unlock()
	switch {
	case server.running == nil:
	case server.running.engine != nil:
		server.running.engine.Drain()
	default:
		server.running.service.Drain()
	}
}

// engine returns the engine if the server is running one, or nil.
func (server *server) engine() *engine.Engine {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.running == nil {
		return nil
	}
	return server.running.engine
}

// service returns the service if the server is running one, or nil.
func (server *server) service() *service.Service {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.running == nil {
		return nil
	}
	return server.running.service
}
