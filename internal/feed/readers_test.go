package feed_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/memnet"
)

const secondAddress = "10.0.0.2:7340"

// peers is a membership whose reader is the first address that is not avoided. The members are unknown before
// knownFrom.
type peers struct {
	addresses []string
	knownFrom time.Time
}

func (peers peers) Role(_ int, avoid func(string) bool) feed.Role {
	if time.Now().Before(peers.knownFrom) {
		return feed.Role{MembersUnknown: true}
	}
	for _, address := range peers.addresses {
		if !avoid(address) {
			return feed.Role{ReaderAddress: address}
		}
	}
	return feed.Role{IsReader: true}
}

// LivePeers returns the addresses once the members are known.
func (peers peers) LivePeers(limit int) ([]string, bool) {
	if time.Now().Before(peers.knownFrom) {
		return nil, false
	}
	return peers.addresses[:min(limit, len(peers.addresses))], true
}

// startReaders starts two readers and returns their tails, the store, and a log that reads from them.
func startReaders(t *testing.T, members feed.Members) (first, second *follower.Tail, store *store, log *feed.Log) {
	t.Helper()
	return startReadersIn(t, members, epoch.New(time.Now))
}

// startReadersIn is like startReaders, with the epochs of the log given.
func startReadersIn(
	t *testing.T, members feed.Members, epochs *epoch.Watch,
) (first, second *follower.Tail, store *store, log *feed.Log) {
	t.Helper()
	network := memnet.New()
	first, second = follower.NewTail(time.Now), follower.NewTail(time.Now)
	for address, tail := range map[string]*follower.Tail{readerAddress: first, secondAddress: second} {
		listener, err := network.Listen(t.Context(), address)
		assert.NilError(t, err)
		server := &http.Server{Handler: feed.Handler(map[string]*follower.Tail{"log": tail}, epoch.New(time.Now), slog.New(slog.DiscardHandler))}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	transport := &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) },
		DisableKeepAlives: true,
	}
	store = newStore()
	log = feed.New("log", store, members, func() time.Duration { return 4 * time.Second },
		transport, feed.DefaultSettings(), epochs, slog.New(slog.DiscardHandler), time.Now)
	return first, second, store, log
}

func newPage(key string) follower.Page {
	return follower.Page{Next: 1, Whole: true, Records: []follower.Record{{Key: key, Value: []byte("1")}}}
}

// TestNextReaderIsUsedIfTheStoreDoesNotRespond has a first reader whose store does not respond: the next reader must be
// used. When each VM called the store instead, sixty VMs behind one reader made 200 calls a second.
func TestNextReaderIsUsedIfTheStoreDoesNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, store, log := startReaders(t, peers{addresses: []string{readerAddress, secondAddress}})
		first.Add(newPage("first"), time.Now())
		second.Add(newPage("second"), time.Now())
		read := func(want string) {
			t.Helper()
			started := time.Now()
			page, err := log.Read(t.Context(), follower.Position{}, time.Second)
			assert.NilError(t, err)
			assert.Equal(t, page.Records[0].Key, want)
			assert.Assert(t, time.Since(started) < 10*time.Millisecond)
		}
		read("first")
		first.MarkLost()
		read("second")
		read("second")
		first.Add(newPage("first"), time.Now())
		time.Sleep(1100 * time.Millisecond)
		read("first")
		first.MarkLost()
		second.MarkLost()
		assert.Equal(t, store.calls, 0)
		read("direct")
	})
}

// TestWaitingReadEndsWhenTheReaderLosesItsSource has a read that waits at a reader while the store stops responding to
// it: the read must end at once, and the next one go to another reader.
func TestWaitingReadEndsWhenTheReaderLosesItsSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, _, log := startReaders(t, peers{addresses: []string{readerAddress, secondAddress}})
		first.Add(newPage("first"), time.Now())
		second.Add(newPage("second"), time.Now())
		time.AfterFunc(100*time.Millisecond, first.MarkLost)
		started := time.Now()
		_, err := log.Read(t.Context(), follower.At(0, 1), time.Second)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) >= 100*time.Millisecond)
		page, err := log.Read(t.Context(), follower.Position{}, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, page.Records[0].Key, "second")
	})
}

// TestStartReadsFromPeers has a VM that discovers its peers some milliseconds after its start, and a reader without
// content yet. It must wait for both; without waiting it made four calls to the store.
func TestStartReadsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		knownFrom := time.Now().Add(20 * time.Millisecond)
		first, _, store, log := startReaders(t, peers{addresses: []string{readerAddress}, knownFrom: knownFrom})
		time.AfterFunc(30*time.Millisecond, func() { first.Add(newPage("first"), time.Now()) })
		page, err := log.Read(t.Context(), follower.Position{}, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, page.Records[0].Key, "first")
		assert.Equal(t, store.calls, 0)
	})
}

// TestStartAloneReadsTheStore has a VM that never discovers a peer: it must read the store after one bounded wait.
func TestStartAloneReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, store, log := startReaders(t, peers{knownFrom: time.Now().Add(time.Hour)})
		started := time.Now()
		_, err := log.Read(t.Context(), follower.Position{}, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, store.calls, 1)
		assert.Assert(t, time.Since(started) <= 310*time.Millisecond)
		started = time.Now()
		_, err = log.Read(t.Context(), follower.Position{}, 0)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) < time.Millisecond, "it waits once")
	})
}

// failedReaders is the membership of a VM to whose readers the store does not respond.
type failedReaders struct{}

func (failedReaders) LivePeers(int) ([]string, bool) { return nil, true }

func (failedReaders) Role(int, func(string) bool) feed.Role {
	return feed.Role{IsReader: true, UnavailableReaders: []string{readerAddress, secondAddress}}
}

// TestUnavailableStoreIsCalledByFewVMs has the store unavailable for 8 s: a VM that is preceded by two readers must call
// it only every 3 s, and receive content through the readers as soon as the store recovers. When each of 295 VMs kept
// calling the store, this made 7,000 calls.
func TestUnavailableStoreIsCalledByFewVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, store, log := startReaders(t, failedReaders{})
		first.Add(newPage("first"), time.Now())
		first.MarkLost()
		second.Add(newPage("second"), time.Now())
		second.MarkLost()
		store.unavailable = true
		recovery := time.Now().Add(8 * time.Second)
		time.AfterFunc(8*time.Second, func() {
			first.Add(newPage("first"), time.Now())
			second.Add(newPage("second"), time.Now())
		})
		for time.Now().Before(recovery) {
			_, err := log.Read(t.Context(), follower.Position{}, time.Second)
			if err == nil {
				break
			}
			assert.Assert(t, time.Now().Before(recovery.Add(time.Second)))
		}
		assert.Assert(t, !time.Now().Before(recovery), "no content is available during the outage")
		assert.Assert(t, time.Since(recovery) < 20*time.Millisecond, "%s", time.Since(recovery))
		assert.Assert(t, store.calls <= 3, "%d calls", store.calls)
	})
}

// TestTrimmedStoreCountsAsAvailable has a VM that is preceded by two readers to which the store does not respond, while
// the store responds to the VM itself that the requested changes are trimmed. When that counted as a failure, the VM
// waited 1.2 s or more for the readers, with a configuration that was 5.5 s old.
func TestTrimmedStoreCountsAsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, store, log := startReaders(t, failedReaders{})
		first.Add(newPage("first"), time.Now())
		first.MarkLost()
		second.Add(newPage("second"), time.Now())
		second.MarkLost()
		store.trimmed = true
		_, err := log.Read(t.Context(), follower.At(0, 1), 0)
		assert.ErrorIs(t, err, follower.ErrTrimmed)
		started := time.Now()
		page, err := log.Read(t.Context(), follower.Position{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, page.Records[0].Key, "direct")
		assert.Assert(t, time.Since(started) < 10*time.Millisecond, "%s", time.Since(started))
	})
}

// unreachableReaders is the membership of a VM whose readers last reported that the store does not respond, and that
// are unreachable now.
type unreachableReaders struct{}

func (unreachableReaders) LivePeers(int) ([]string, bool) { return nil, true }

func (unreachableReaders) Role(int, func(string) bool) feed.Role {
	return feed.Role{IsReader: true, UnavailableReaders: []string{"10.0.0.8:7340", "10.0.0.9:7340"}}
}

// TestUnreachableReadersDoNotDelayTheStore has a VM to which the store failed to respond once, and whose readers are
// unreachable: it must call the store again at once. When it waited for the readers, it called the store only every 3 s.
func TestUnreachableReadersDoNotDelayTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, store, log := startReaders(t, unreachableReaders{})
		store.unavailable = true
		_, err := log.Read(t.Context(), follower.Position{}, 0)
		assert.ErrorIs(t, err, errUnavailable)
		store.unavailable = false
		started := time.Now()
		page, err := log.Read(t.Context(), follower.Position{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, page.Records[0].Key, "direct")
		assert.Assert(t, time.Since(started) < 1300*time.Millisecond, "%s", time.Since(started))
	})
}
