package upstream

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/tunnel"
)

// endPollInterval is the interval at which HasEnded looks for connections that are still open.
const endPollInterval = 5 * time.Millisecond

// HasEnded reports whether the process of a server has ended: its port refuses a new connection, and all connections of this client to
// it have ended. A full server refuses new ones too, but keeps those that it has. With ownLink the VM's own link is used, which must not
// have been cut before the connection was lost; otherwise another VM is asked. A connection that opens is closed: in a cut that accepts
// connections the next request would be lost on it. It reports false for all that it can't find out until ctx ends.
func (client *Client) HasEnded(ctx context.Context, address string, ownLink bool) bool {
	look := client.lookThroughVM
	if ownLink {
		look = client.look
	}
	conn, err := look(ctx, address)
	if err == nil {
		closeConn(conn)
		return false
	}
	if !network.IsRefused(err) && !tunnel.IsRefusedByServer(err) {
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

// look is DialDirect for a connection that no request waits for. A failure says nothing of the VM's own links: a server is asked that
// may be gone.
func (client *Client) look(ctx context.Context, address string) (net.Conn, error) {
	conn, err := client.history.dial(ctx, client.dialer, address)
	if err == nil {
		client.count(OpenSucceeded)
	}
	return conn, err
}

// errNoTunnels is returned by a client without tunnels.
var errNoTunnels = errors.New("other VMs can't be asked")

// lookThroughVM is look through another VM.
func (client *Client) lookThroughVM(ctx context.Context, address string) (net.Conn, error) {
	if client.tunnels == nil {
		return nil, errNoTunnels
	}
	return client.tunnels.DialThrough(ctx, address, nil) //nolint:wrapcheck // the caller looks for a refusal only
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
