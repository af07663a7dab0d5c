package upstream

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/tunnel"
)

// HasIdle reports whether there is an idle connection to a server.
func (client *Client) HasIdle(address string) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return len(client.idle[address]) > 0
}

// closeIdle closes the idle connections to a server. It is called after a request on
// a reused connection failed: the other ones may be broken too without a reset, while
// new connections work, and each would delay one more request until its timeout.
func (client *Client) closeIdle(address string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, connection := range client.idle[address] {
		connection.close()
	}
	delete(client.idle, address)
}

// pop takes the most recently used idle connection that may be reused for a request with an ID, or returns nil.
func (client *Client) pop(address, id string, requirements tunnel.Requirements) *connection {
	verdict, silent := client.links.State()
	reachable := verdict == reachability.Reachable
	now := client.now()
	client.mu.Lock()
	defer client.mu.Unlock()
	connections := client.idle[address]
	for index := len(connections) - 1; index >= 0; index-- {
		candidate := connections[index]
		isUsable := !silent
		if candidate.isTunnelled() {
			isUsable = !reachable && now.Before(candidate.reusableUntil) && candidate.via.IsWithin(requirements.DataCentres) &&
				(!candidate.endUntold || !requirements.EndTold)
		}
		if !isUsable || candidate.carried.has(id) {
			continue
		}
		client.idle[address] = slices.Delete(connections, index, index+1)
		return candidate
	}
	return nil
}

// release returns a connection to the idle ones, unless there are MaxIdle already or it has carried MaxRequests. idle is the idle timeout that the
// server advertised, or zero.
func (client *Client) release(connection *connection, idle time.Duration) {
	if idle <= 0 {
		idle = client.settings.IdleTime
	}
	connection.expiresAt = client.now().Add(idle - client.settings.IdleMargin)
	if connection.isTunnelled() && connection.reusableUntil.Before(connection.expiresAt) {
		connection.expiresAt = connection.reusableUntil
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	connections := client.idle[connection.address]
	if client.closed || len(connections) >= client.settings.MaxIdle || connection.carried.count() >= client.settings.MaxRequests {
		connection.close()
		return
	}
	client.idle[connection.address] = append(connections, connection)
}

// Close closes the idle connections, and those in use once their responses have ended.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.closed = true
	for _, connections := range client.idle {
		for _, connection := range connections {
			connection.close()
		}
	}
	clear(client.idle)
}

// Sweep closes the idle connections that have expired. It is to be called at intervals.
func (client *Client) Sweep() {
	client.history.sweep()
	client.ends.sweep()
	client.abandonIfCut()
	now := client.now()
	client.mu.Lock()
	defer client.mu.Unlock()
	for address, connections := range client.idle {
		remaining := connections[:0]
		for _, connection := range connections {
			if now.Before(connection.expiresAt) {
				remaining = append(remaining, connection)
				continue
			}
			connection.close()
		}
		client.idle[address] = remaining
		if len(remaining) == 0 {
			delete(client.idle, address)
		}
	}
}
