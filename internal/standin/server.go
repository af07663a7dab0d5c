package standin

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/service"
)

// server is one backend server: an engine or a service with its listener.
type server struct {
	vm infra.VM
	// build makes the server anew, empty.
	build func() parts

	mu sync.Mutex
	// running is nil while the server is dead.
	running *parts
	http    *http.Server
	cancel  context.CancelFunc
}

// parts has what a server runs; engine or service is nil.
type parts struct {
	engine  *engine.Engine
	service *service.Service
}

func (parts parts) handler() http.Handler {
	if parts.engine != nil {
		return parts.engine.Handler()
	}
	return parts.service.Handler()
}

// start makes the server listen and, if it is an engine, compute.
func (server *server) start(ctx context.Context) error {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.running != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", server.vm.Address)
	if err != nil {
		return errors.Wrapf(err, "backend server %s", server.vm.ID)
	}
	built := server.build()
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	server.running = &built
	server.cancel = cancel
	server.http = &http.Server{Handler: built.handler()} //nolint:gosec // a stand-in, on loopback
	if built.engine != nil {
		go built.engine.Run()
		go built.engine.Housekeep(life)
	}
	go func(http *http.Server) { _ = http.Serve(listener) }(server.http)
	return nil
}

// kill closes all connections and forgets everything, as death would.
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

func (server *server) leave() {
	server.mu.Lock()
	defer server.mu.Unlock()
	switch {
	case server.running == nil:
	case server.running.engine != nil:
		server.running.engine.Leave()
	default:
		server.running.service.Leave()
	}
}

// engine returns the engine while it lives, or nil.
func (server *server) engine() *engine.Engine {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.running == nil {
		return nil
	}
	return server.running.engine
}

// service returns the service while it lives, or nil.
func (server *server) service() *service.Service {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.running == nil {
		return nil
	}
	return server.running.service
}
