package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// maxCompared is through how many other VMs a probe is sent. Some may be cut off themselves.
const maxCompared = 3

// comparison sends a probe through other VMs, one after the other, until one of them is answered.
type comparison struct {
	client *Client
	target ProbeTarget
	// interval is the time between two of them, and before the first one.
	interval time.Duration
	// left is how many may still be sent.
	left int
	// answered receives an element for each that was answered.
	answered chan struct{}

	mu sync.Mutex
	// through has the addresses of the VMs that were asked.
	through []string
}

// newComparison returns a comparison that sends nothing if interval is zero, or the client uses no tunnels.
func newComparison(client *Client, target ProbeTarget, interval time.Duration) *comparison {
	created := &comparison{client: client, target: target, interval: interval, answered: make(chan struct{}, maxCompared)}
	if interval > 0 && client.tunnels != nil {
		created.left = maxCompared
	}
	return created
}

// due returns a channel that receives when the next one is to be sent, or nil if none is.
func (comparison *comparison) due() <-chan time.Time {
	if comparison.left == 0 {
		return nil
	}
	return time.After(comparison.interval)
}

// stop sends no more.
func (comparison *comparison) stop() { comparison.left = 0 }

// start sends the probe through another VM that was not asked before.
func (comparison *comparison) start(ctx context.Context) {
	comparison.left--
	go func() {
		if probe(ctx, comparison.target, comparison.dial) == ProbeAnswered {
			comparison.answered <- struct{}{}
		}
	}()
}

// dial opens a connection through a VM that was not asked before.
func (comparison *comparison) dial(ctx context.Context) (net.Conn, error) {
	comparison.mu.Lock()
	asked := slices.Clone(comparison.through)
	comparison.mu.Unlock()
	connection, err := comparison.client.tunnels.DialThrough(ctx, comparison.target.Address, asked)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller only compares with nil
	}
	comparison.mu.Lock()
	defer comparison.mu.Unlock()
	comparison.through = append(comparison.through, connection.Via.Address)
	return connection, nil
}
