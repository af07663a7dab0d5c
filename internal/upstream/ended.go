package upstream

import (
	"context"
	"net"
	"time"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/tunnel"
	"github.com/mastwinch/mastwinch/internal/wait"
)

const (
	// endPollInterval is the interval at which HasEnded looks for connections that are still open.
	endPollInterval = 5 * time.Millisecond
	// endConfirmTime is how long after a refusal it may show that other servers refuse connections too.
	endConfirmTime = 50 * time.Millisecond
)

// HasEnded reports whether the process of a server has ended: its port refuses a new connection, and all connections of this client to
// it have ended. A full server refuses new ones too, but keeps those that it has. Where the VM's own links are cut so that connections
// are refused, other servers seem to refuse them too. A connection that opens is kept for a later request. dataCentres are those through
// whose VMs the connection may lead. It reports false for all that it can't find out until ctx ends.
func (client *Client) HasEnded(ctx context.Context, address string, dataCentres []string) bool {
	dialled, err := client.dialToLook(ctx, address, tunnel.Requirements{DataCentres: dataCentres})
	if err == nil {
		client.release(client.newConnection(address, dialled), 0)
		return false
	}
	refusedThere := tunnel.IsRefusedByServer(err)
	if !network.IsRefused(err) && !refusedThere {
		return false
	}
	if !refusedThere && (!wait.For(ctx, endConfirmTime) || client.links.CannotOpen()) {
		return false
	}
	ticker := time.NewTicker(endPollInterval)
	defer ticker.Stop()
	for client.hasOpen(address) {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C: // the ends of the others may be on their way
		}
	}
	return true
}

// dialToLook is dial for a connection that no request waits for. A failure says nothing of the VM's own links: a server is asked that
// may be gone.
func (client *Client) dialToLook(ctx context.Context, address string, requirements tunnel.Requirements) (tunnel.Connection, error) {
	return client.dialWith(ctx, address, requirements, func(ctx context.Context) (net.Conn, error) {
		conn, err := client.history.dial(ctx, client.dialer, address)
		if err == nil {
			client.count(OpenSucceeded)
		}
		return conn, err
	})
}

// hasOpen reports whether a connection to a server is open: one with a request in flight, or an idle one that is quiet.
func (client *Client) hasOpen(address string) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.inFlight[address] > 0 {
		return true
	}
	for _, idle := range client.idle[address] {
		if idle.isQuiet() {
			return true
		}
	}
	return false
}

// addInFlight adds to the number of requests in flight at a server.
func (client *Client) addInFlight(address string, change int) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.inFlight[address] += change
	if client.inFlight[address] == 0 {
		delete(client.inFlight, address)
	}
}
