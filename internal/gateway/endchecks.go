package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/wait"
)

const (
	// endCheckTimeout is how long a server's port may take to accept or refuse a connection, and its other connections to end.
	endCheckTimeout = 400 * time.Millisecond
	// endCheckInterval is the shortest time between two checks of one server. It is below the time in which a server restarts.
	endCheckInterval = 200 * time.Millisecond
)

// endChecks find out, after a connection to a server was lost, whether the server's process has ended. A lost connection alone is
// no evidence of a crash. It is safe for concurrent use.
type endChecks struct {
	gateway *Gateway

	mu sync.Mutex
	// again has the servers that are being checked, by ID, and whether a connection was lost since the check began.
	again map[string]bool
}

func newEndChecks(gateway *Gateway) *endChecks {
	return &endChecks{gateway: gateway, again: make(map[string]bool)}
}

// lostServer is a server to which a connection was lost.
type lostServer struct {
	id, address string
	// overOwnLink is whether the connection led over the VM's own link, which was not cut before.
	overOwnLink bool
}

// start checks a server in the background.
func (endchecks *endChecks) start(server lostServer) {
	endchecks.mu.Lock()
	defer endchecks.mu.Unlock()
	if _, running := endchecks.again[server.id]; running {
		endchecks.again[server.id] = true
		return
	}
	endchecks.again[server.id] = false
	go endchecks.run(server)
}

// run checks a server until it has ended or no connection was lost during the last check.
func (endchecks *endChecks) run(server lostServer) {
	ctx := endchecks.gateway.baseContext
	for {
		ended := endchecks.check(ctx, server)
		isOver := !wait.For(ctx, endCheckInterval)
		if endchecks.finish(server.id, ended || isOver) {
			return
		}
	}
}

// finish ends the checks of a server if that is wanted or no connection to it was lost since the last one began, and reports whether it
// did.
func (endchecks *endChecks) finish(server string, wanted bool) bool {
	endchecks.mu.Lock()
	defer endchecks.mu.Unlock()
	if wanted || !endchecks.again[server] {
		delete(endchecks.again, server)
		return true
	}
	endchecks.again[server] = false
	return false
}

// check reports whether the process of a server has ended. If so it records and publishes that.
func (endchecks *endChecks) check(ctx context.Context, server lostServer) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	gateway := endchecks.gateway
	ended := gateway.upstream.HasEnded(ctx, server.address, server.overOwnLink)
	gateway.metrics.recordEndCheck(ended)
	if ended {
		gateway.recordServerEnd(server.id, "refuses connections")
	}
	return ended
}

// recordServerEnd records that the process of a server has ended, and publishes it with the losses that it proves.
func (gateway *Gateway) recordServerEnd(server, proof string) {
	losses := gateway.quarantine.RecordEnd(server)
	gateway.logger.Info("server ended", "server", server, "proof", proof, "losses", len(losses))
	for _, loss := range losses {
		gateway.exchange.Publish(lossReport(loss, gateway.now()))
	}
}
