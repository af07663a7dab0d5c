// Package keeperclient connects an entry process, which serves callers, to a
// keeper, the process that follows the platform's log. It keeps the entry
// process's replica of the state and its fleet of servers up to date, and proposes
// records to be appended to the log. When the connection fails it connects to
// another keeper; without one, the entry process continues with its last state.
package keeperclient

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/link"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Delays and timeouts of the client.
const (
	reconnectDelay = 100 * time.Millisecond
	dialTimeout    = 2 * time.Second
	// receiveTimeout is how long the client waits for a frame before it drops the
	// connection. Keepers send several heartbeats within it.
	receiveTimeout = time.Second
	// proposeRetryInterval is how long the client waits for the verdict before it
	// proposes the record again, possibly through another keeper.
	proposeRetryInterval = time.Second
)

// ErrUnsettled is returned when no verdict on a record was read back in time. The
// record may still be accepted later.
var ErrUnsettled = errors.New("record was not read back from the log in time")

// Sink receives the VM list and the loads of engines that the keeper publishes.
type Sink interface {
	SetFleet(fleet *wire.Fleet)
	SetLoads(loads *wire.Loads)
	// KeeperAddresses returns the addresses of the keepers in the VM list.
	KeeperAddresses() []string
}

// Client maintains the connection of an entry process to a keeper.
type Client struct {
	node        string
	addresses   []string
	credentials link.Credentials
	options     link.Options
	replica     *replica.Replica
	sink        Sink
	logger      *slog.Logger

	// ready is set once a keeper reported that it is ready, and never reset.
	ready atomic.Bool

	mu sync.Mutex
	// peer is nil while there is no connection.
	peer *link.Peer
	// connected is closed, and replaced, when a connection is established.
	connected chan struct{}
}

// New returns a client of the keepers at addresses, in order of preference, for the
// process called node. It connects when Run is called.
func New(
	node string, addresses []string, credentials link.Credentials, options link.Options,
	replica *replica.Replica, sink Sink, logger *slog.Logger,
) *Client {
	return &Client{
		node:        node,
		addresses:   addresses,
		credentials: credentials,
		options:     options,
		replica:     replica,
		sink:        sink,
		logger:      logger,
		connected:   make(chan struct{}),
	}
}

// Run connects to a keeper, and reconnects after failures, until ctx is done.
func (client *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range client.candidates() {
			err := client.follow(ctx, address)
			if ctx.Err() != nil {
				return
			}
			client.logger.Warn("connection to keeper failed; trying the next one", "keeper", address, "error", err)
		}
		wait.For(ctx, reconnectDelay)
	}
}

// Connected reports whether a keeper is connected.
func (client *Client) Connected() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.peer != nil
}

// Ready reports whether the replica has received the state of a keeper that was
// ready.
func (client *Client) Ready() bool {
	return client.ready.Load()
}

// Propose proposes a record to the keeper until it is read back from the log, and
// returns the verdict, which says whether the record was accepted. It returns
// ErrUnsettled when ctx is done first.
func (client *Client) Propose(ctx context.Context, record *wire.Record) (statemachine.Verdict, error) {
	verdicts, stop := client.replica.Await(record.GetId())
	defer stop()
	for {
		connected := client.send(record)
		timer := time.NewTimer(proposeRetryInterval)
		select {
		case verdict := <-verdicts:
			timer.Stop()
			return verdict, nil
		case <-ctx.Done():
			timer.Stop()
			return statemachine.Verdict{}, ErrUnsettled
		case <-connected:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// send sends the record if a keeper is connected, and returns a channel that is
// closed when the next connection is established.
func (client *Client) send(record *wire.Record) <-chan struct{} {
	client.mu.Lock()
	peer, connected := client.peer, client.connected
	client.mu.Unlock()
	if peer == nil {
		return connected
	}
	err := peer.Send(&wire.ClientFrame{Body: &wire.ClientFrame_Propose{Propose: record}})
	if err != nil {
		peer.Close()
	}
	return connected
}

// candidates returns the addresses of the configured keepers, then of those in the
// VM list, without duplicates.
func (client *Client) candidates() []string {
	seen := make(map[string]struct{})
	var candidates []string
	for _, list := range [][]string{client.addresses, client.sink.KeeperAddresses()} {
		for _, address := range list {
			if _, ok := seen[address]; !ok {
				seen[address] = struct{}{}
				candidates = append(candidates, address)
			}
		}
	}
	return candidates
}

// follow subscribes to one keeper and handles its frames until the connection
// fails. It returns the error.
func (client *Client) follow(ctx context.Context, address string) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	peer, err := link.Dial(dialCtx, address, client.credentials, client.options)
	if err != nil {
		return err
	}
	defer peer.Close()
	stop := context.AfterFunc(ctx, peer.Close)
	defer stop()
	err = peer.Send(&wire.ClientFrame{Body: &wire.ClientFrame_Subscribe{Subscribe: &wire.Subscribe{
		Node:       client.node,
		NextOffset: client.replica.Next(),
	}}})
	if err != nil {
		return err
	}
	client.logger.Info("connected to keeper", "keeper", address, "next_offset", client.replica.Next())
	client.setPeer(peer)
	defer client.setPeer(nil)
	for {
		frame := &wire.ServerFrame{}
		err = peer.ReceiveWithin(receiveTimeout, frame)
		if err != nil {
			return err
		}
		err = client.handleFrame(frame)
		if err != nil {
			return err
		}
		if frame.GetReady() {
			client.ready.Store(true)
		}
	}
}

// handleFrame applies a frame to the replica or passes it to the sink.
func (client *Client) handleFrame(frame *wire.ServerFrame) error {
	switch body := frame.GetBody().(type) {
	case *wire.ServerFrame_State:
		_, err := client.replica.Replace(body.State)
		return err
	case *wire.ServerFrame_Committed:
		// The replica ignores log entries that it has applied already.
		return client.replica.Apply(body.Committed.GetOffset(), body.Committed.GetBatch())
	case *wire.ServerFrame_Fleet:
		client.sink.SetFleet(body.Fleet)
	case *wire.ServerFrame_Loads:
		client.sink.SetLoads(body.Loads)
	}
	return nil
}

// setPeer sets the current connection, or nil if there is none.
func (client *Client) setPeer(peer *link.Peer) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.peer = peer
	if peer != nil {
		close(client.connected)
		client.connected = make(chan struct{})
	}
}
