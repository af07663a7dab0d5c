// Package keeperclient keeps an entry's replica and fleet up to date from a
// keeper, and proposes records through it. When the keeper dies it turns to
// another; until one answers, the entry goes on with what it has.
package keeperclient

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/link"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Waits of the client.
const (
	reconnectWait = 100 * time.Millisecond
	dialTimeout   = 2 * time.Second
	// silenceLimit is how long a keeper may send nothing. Heartbeats come
	// several times in it, so a longer silence means that it is gone.
	silenceLimit = time.Second
	// proposeAgain is how long a verdict is waited for before the record is
	// proposed again, perhaps through another keeper.
	proposeAgain = time.Second
)

// ErrUnsettled says that no verdict came in time. The record may still be
// accepted later.
var ErrUnsettled = errors.New("no verdict from the log in time")

// Sink takes what the keeper reads of the VM list and of the engines.
type Sink interface {
	SetFleet(fleet *wire.Fleet)
	SetLoads(loads *wire.Loads)
	// KeeperAddresses returns the keepers that the fleet names.
	KeeperAddresses() []string
}

// Client is an entry's connection to a keeper.
type Client struct {
	node        string
	addresses   []string
	credentials link.Credentials
	options     link.Options
	replica     *replica.Replica
	sink        Sink
	logger      *slog.Logger

	// ready says that some keeper had the state to give. It stays so.
	ready atomic.Bool

	mu sync.Mutex
	// peer is nil while there is no connection.
	peer *link.Peer
	// connected is closed, and replaced, when there is a new connection.
	connected chan struct{}
}

// New returns a client of the keepers at addresses, the preferred one first,
// for the process called node.
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

// Run keeps a connection until ctx is done.
func (client *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range client.candidates() {
			err := client.follow(ctx, address)
			if ctx.Err() != nil {
				return
			}
			client.logger.Warn("keeper lost, turning to another", "keeper", address, "error", err)
		}
		wait.For(ctx, reconnectWait)
	}
}

// Connected reports whether there is a connection.
func (client *Client) Connected() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.peer != nil
}

// Ready reports whether the replica has a state to decide by.
func (client *Client) Ready() bool {
	return client.ready.Load()
}

// Propose puts a record on the log and returns the verdict that was read
// back. It returns ErrUnsettled when ctx ends first.
func (client *Client) Propose(ctx context.Context, record *wire.Record) (fold.Verdict, error) {
	verdict, stop := client.replica.Await(record.GetId())
	defer stop()
	for {
		connected := client.send(record)
		timer := time.NewTimer(proposeAgain)
		select {
		case settled := <-verdict:
			timer.Stop()
			return settled, nil
		case <-ctx.Done():
			timer.Stop()
			return fold.Verdict{}, ErrUnsettled
		case <-connected:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// send proposes the record if there is a connection, and returns a channel
// that is closed when there is a new one.
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

// candidates returns the configured keepers and then those of the fleet.
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

// follow takes frames from one keeper until the connection ends.
func (client *Client) follow(ctx context.Context, address string) error {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	peer, err := link.Dial(dialing, address, client.credentials, client.options)
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
	client.logger.Info("keeper connected", "keeper", address, "next_offset", client.replica.Next())
	client.setPeer(peer)
	defer client.setPeer(nil)
	for {
		frame := &wire.ServerFrame{}
		err = peer.ReceiveWithin(silenceLimit, frame)
		if err != nil {
			return err
		}
		err = client.take(frame)
		if err != nil {
			return err
		}
		if frame.GetReady() {
			client.ready.Store(true)
		}
	}
}

func (client *Client) take(frame *wire.ServerFrame) error {
	switch body := frame.GetBody().(type) {
	case *wire.ServerFrame_State:
		_, err := client.replica.Replace(body.State)
		return err
	case *wire.ServerFrame_Committed:
		// Entries that this replica is ahead of change nothing.
		return client.replica.Apply(body.Committed.GetOffset(), body.Committed.GetBatch())
	case *wire.ServerFrame_Fleet:
		client.sink.SetFleet(body.Fleet)
	case *wire.ServerFrame_Loads:
		client.sink.SetLoads(body.Loads)
	}
	return nil
}

func (client *Client) setPeer(peer *link.Peer) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.peer = peer
	if peer != nil {
		close(client.connected)
		client.connected = make(chan struct{})
	}
}
