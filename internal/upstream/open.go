package upstream

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/tunnel"
)

// OpenResult is the result of an attempt to open a connection. The values are labels of metrics.
type OpenResult string

// Results of attempts to open connections.
const (
	OpenSucceeded OpenResult = "opened"
	// OpenRefused: the server, or the network, refused the connection.
	OpenRefused OpenResult = "refused"
	// OpenTimedOut: nothing answered in time.
	OpenTimedOut OpenResult = "timed_out"
	// OpenCancelled: the request ended before.
	OpenCancelled OpenResult = "cancelled"
)

// Openings returns how many attempts to open a connection have had a result so far.
func (client *Client) Openings(result OpenResult) int {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.openings[result]
}

// LateResponses returns how many responses came that belonged to no request in flight.
func (client *Client) LateResponses() int64 {
	return client.late.Load()
}

// dial opens a connection to a server, directly or through another VM that meets the requirements.
func (client *Client) dial(ctx context.Context, address string, requirements tunnel.Requirements) (tunnel.Connection, error) {
	direct := func(ctx context.Context) (net.Conn, error) { return client.DialDirect(ctx, address) }
	if client.tunnels == nil {
		conn, err := direct(ctx)
		return tunnel.Connection{Conn: conn}, err
	}
	return client.tunnels.Dial(ctx, address, requirements, direct) //nolint:wrapcheck // NotSentError has the context
}

// DialDirect opens a connection over the VM's own link to a server, and records the result.
func (client *Client) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	dialled, err := client.history.dial(ctx, client.dialer, address)
	result := openResult(ctx, err)
	switch result {
	case OpenSucceeded:
		client.links.Opened()
	case OpenRefused, OpenTimedOut:
		client.links.Failed(address)
	case OpenCancelled:
	}
	client.count(result)
	return dialled, err
}

// count counts an attempt to open a connection.
func (client *Client) count(result OpenResult) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.openings[result]++
}

func openResult(ctx context.Context, err error) OpenResult {
	switch {
	case err == nil:
		return OpenSucceeded
	case ctx.Err() != nil:
		return OpenCancelled
	case errors.Is(err, context.DeadlineExceeded):
		return OpenTimedOut
	default:
		return OpenRefused
	}
}
