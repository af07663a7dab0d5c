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

// several gives the first VM that is not avoided, once it knows them.
type several struct {
	addresses []string
	known     time.Time
}

func (several several) Role(_ int, avoid func(string) bool) feed.Role {
	if time.Now().Before(several.known) {
		return feed.Role{Unsettled: true}
	}
	for _, address := range several.addresses {
		if !avoid(address) {
			return feed.Role{Ask: address}
		}
	}
	return feed.Role{Serves: true}
}

// Others tells those that it knows, once it does.
func (several several) Others(most int) ([]string, bool) {
	if time.Now().Before(several.known) {
		return nil, false
	}
	return several.addresses[:min(most, len(several.addresses))], true
}

// readers serves the tails of two VMs, and returns them with a log that reads there.
func readers(t *testing.T, members feed.Members) (first, second *follower.Tail, store *store, log *feed.Log) {
	t.Helper()
	return readersIn(t, members, epoch.New(time.Now))
}

// readersIn is readers for a VM that hears of epochs.
func readersIn(
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

func content(key string) follower.Page {
	return follower.Page{Next: 1, Whole: true, Records: []follower.Record{{Key: key, Value: []byte("1")}}}
}

// TestReaderThatTheStoreTurnedAway has a first reader that says so: the next one is
// asked. Sixty VMs behind one reader each asked the store, 200 times a second.
func TestReaderThatTheStoreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, store, log := readers(t, several{addresses: []string{readerAddress, secondAddress}})
		first.Add(content("first"), time.Now())
		second.Add(content("second"), time.Now())
		read := func(want string) {
			t.Helper()
			started := time.Now()
			page, err := log.Read(t.Context(), follower.Position{}, time.Second)
			assert.NilError(t, err)
			assert.Equal(t, page.Records[0].Key, want)
			assert.Assert(t, time.Since(started) < 10*time.Millisecond)
		}
		read("first")
		first.Lose()
		read("second")
		read("second")
		first.Add(content("first"), time.Now())
		time.Sleep(1100 * time.Millisecond)
		read("first")
		first.Lose()
		second.Lose()
		assert.Equal(t, store.calls, 0)
		read("direct")
	})
}

// TestQuestionEndsWhenTheReaderIsTurnedAway has a question that waits there.
func TestQuestionEndsWhenTheReaderIsTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, _, log := readers(t, several{addresses: []string{readerAddress, secondAddress}})
		first.Add(content("first"), time.Now())
		second.Add(content("second"), time.Now())
		time.AfterFunc(100*time.Millisecond, first.Lose)
		started := time.Now()
		_, err := log.Read(t.Context(), follower.At(0, 1), time.Second)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) >= 100*time.Millisecond)
		page, err := log.Read(t.Context(), follower.Position{}, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, page.Records[0].Key, "second")
	})
}

// TestStartReadsThroughOthers has a VM that knows the others some milliseconds after its
// start, and a reader that has read nothing yet: it made four calls to the store by itself.
func TestStartReadsThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := time.Now().Add(20 * time.Millisecond)
		first, _, store, log := readers(t, several{addresses: []string{readerAddress}, known: known})
		time.AfterFunc(30*time.Millisecond, func() { first.Add(content("first"), time.Now()) })
		page, err := log.Read(t.Context(), follower.Position{}, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, page.Records[0].Key, "first")
		assert.Equal(t, store.calls, 0)
	})
}

// TestStartAloneReadsTheStore has a VM that never learns of others.
func TestStartAloneReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, store, log := readers(t, several{known: time.Now().Add(time.Hour)})
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

// turnedAway is a VM whose readers have all been turned away by the store.
type turnedAway struct{}

func (turnedAway) Others(int) ([]string, bool) { return nil, true }

func (turnedAway) Role(int, func(string) bool) feed.Role {
	return feed.Role{Serves: true, Before: []string{readerAddress, secondAddress}}
}

// TestStoreThatIsAwayIsAskedByFew has the store away for eight seconds: a VM that has two
// readers before it asks each three seconds, and learns through them at once when it is
// back. With 295 VMs that each asked it cost 7,000 calls and 0.07 of worth.
func TestStoreThatIsAwayIsAskedByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, store, log := readers(t, turnedAway{})
		first.Add(content("first"), time.Now())
		first.Lose()
		second.Add(content("second"), time.Now())
		second.Lose()
		store.away = true
		back := time.Now().Add(8 * time.Second)
		time.AfterFunc(8*time.Second, func() {
			first.Add(content("first"), time.Now())
			second.Add(content("second"), time.Now())
		})
		for time.Now().Before(back) {
			_, err := log.Read(t.Context(), follower.Position{}, time.Second)
			if err == nil {
				break
			}
			assert.Assert(t, time.Now().Before(back.Add(time.Second)))
		}
		assert.Assert(t, !time.Now().Before(back), "it was served by nobody before")
		assert.Assert(t, time.Since(back) < 20*time.Millisecond, "%s", time.Since(back))
		assert.Assert(t, store.calls <= 3, "%d calls", store.calls)
	})
}

// TestStoreThatDroppedItsHistoryHasAnswered has a VM with two readers before it that the store turned away: the store
// answered it that the changes it wants are gone, and that counted as no answer. So it waited for these readers for 1.2 s
// and more, and was at a configuration of 5.5 s before.
func TestStoreThatDroppedItsHistoryHasAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, store, log := readers(t, turnedAway{})
		first.Add(content("first"), time.Now())
		first.Lose()
		second.Add(content("second"), time.Now())
		second.Lose()
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

// cutOff is a VM whose readers were turned away by the store when it heard of them last, and are not reached now.
type cutOff struct{}

func (cutOff) Others(int) ([]string, bool) { return nil, true }

func (cutOff) Role(int, func(string) bool) feed.Role {
	return feed.Role{Serves: true, Before: []string{"10.0.0.8:7340", "10.0.0.9:7340"}}
}

// TestReadersThatAreNotReachedSayNothingOfTheStore has a VM that the store did not answer once, and whose readers are cut
// off from it: it asked the store each 3 s only, since it waited for these.
func TestReadersThatAreNotReachedSayNothingOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, store, log := readers(t, cutOff{})
		store.away = true
		_, err := log.Read(t.Context(), follower.Position{}, 0)
		assert.ErrorIs(t, err, errAway)
		store.away = false
		started := time.Now()
		page, err := log.Read(t.Context(), follower.Position{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, page.Records[0].Key, "direct")
		assert.Assert(t, time.Since(started) < 1300*time.Millisecond, "%s", time.Since(started))
	})
}
