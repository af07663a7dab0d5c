package keeperclient_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/keeperclient"
	"github.com/mastwinch/mastwinch/internal/link"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const (
	secret    = "a secret of the tests"
	testLimit = 30 * time.Second
)

type sink struct{}

func (sink) SetFleet(*wire.Fleet)      {}
func (sink) SetLoads(*wire.Loads)      {}
func (sink) KeeperAddresses() []string { return nil }

// serve runs a keeper that handles each connection with handle, and returns its
// address.
func serve(t *testing.T, handle func(context.Context, *link.Peer)) string {
	t.Helper()
	credentials, err := link.NewCredentials(secret)
	assert.NilError(t, err)
	listener, err := link.Listen("127.0.0.1:0", credentials, link.Options{PlainDatagrams: true})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = listener.Serve(ctx, handle)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Address()
}

// unresponsive receives frames and sends none, as a suspended keeper does.
func unresponsive(_ context.Context, peer *link.Peer) {
	for peer.Receive(&wire.ClientFrame{}) == nil {
	}
}

// committing sends each proposal back as committed at once.
func committing(_ context.Context, peer *link.Peer) {
	offset := uint64(0)
	for {
		frame := &wire.ClientFrame{}
		if peer.Receive(frame) != nil {
			return
		}
		record := frame.GetPropose()
		if record == nil {
			continue
		}
		committed := &wire.Committed{Offset: offset, Batch: &wire.Batch{Records: []*wire.Record{record}}}
		if peer.Send(&wire.ServerFrame{Body: &wire.ServerFrame_Committed{Committed: committed}}) != nil {
			return
		}
		offset++
	}
}

func newClient(t *testing.T, addresses ...string) (*keeperclient.Client, context.Context) {
	t.Helper()
	credentials, err := link.NewCredentials(secret)
	assert.NilError(t, err)
	client := keeperclient.New("vm1", addresses, credentials, link.Options{PlainDatagrams: true},
		replica.New(), sink{}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return client, ctx
}

func createSession() *wire.Record {
	return &wire.Record{Id: "r1", Body: &wire.Record_CreateSession{
		CreateSession: &wire.CreateSession{SessionId: "s1", Organisation: "register"},
	}}
}

// A keeper that is killed or suspended stops sending without closing the connection.
// The client must switch to another keeper after its own timeout: the idle timeout of
// the link would delay proposals by five seconds.
func TestProposeSwitchesFromUnresponsiveKeeper(t *testing.T) {
	client, ctx := newClient(t, serve(t, unresponsive), serve(t, committing))
	verdict, err := client.Propose(ctx, createSession())
	assert.NilError(t, err)
	assert.Assert(t, verdict.Accepted)
}

// Propose must return ErrUnsettled at its deadline if the keeper does not commit.
func TestProposeUnsettledWithoutKeeper(t *testing.T) {
	client, ctx := newClient(t, serve(t, unresponsive))
	ctx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err := client.Propose(ctx, createSession())
	assert.ErrorIs(t, err, keeperclient.ErrUnsettled)
}

// A process with another secret must not be able to exchange frames with a keeper.
func TestOtherSecretIsRejected(t *testing.T) {
	credentials, err := link.NewCredentials("another secret of the tests")
	assert.NilError(t, err)
	address := serve(t, committing)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	peer, err := link.Dial(ctx, address, credentials, link.Options{PlainDatagrams: true})
	if err == nil {
		// In TLS 1.3 the client completes the handshake before the server rejects its
		// certificate.
		defer peer.Close()
		err = peer.Receive(&wire.ServerFrame{})
	}
	assert.Assert(t, err != nil)
}
