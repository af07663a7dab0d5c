package quarantine_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/quarantine"
)

// cause and bystander are requests, and step is a time beyond one moment.
const (
	cause     = fingerprint.Fingerprint(1)
	bystander = fingerprint.Fingerprint(2)
	step      = 300 * time.Millisecond
)

var errAway = errors.New("store is away")

// store is a store in memory.
type store struct {
	mu      sync.Mutex
	entries []quarantine.Entry
	away    bool
}

var _ quarantine.Store = (*store)(nil)

func (store *store) Put(_ context.Context, entry quarantine.Entry) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.away {
		return errAway
	}
	store.entries = append(store.entries, entry)
	return nil
}

func (store *store) List(context.Context) ([]quarantine.Entry, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.away {
		return nil, errAway
	}
	return store.entries, nil
}

func (store *store) count() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return len(store.entries)
}

func (store *store) setAway(away bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.away = away
}

// publisher is a VM that is told all, or not.
type publisher struct {
	judges bool

	mu        sync.Mutex
	announced []quarantine.Entry
}

var _ quarantine.Publisher = (*publisher)(nil)

func (publisher *publisher) Judges() bool { return publisher.judges }

func (publisher *publisher) Announce(entries []quarantine.Entry) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.announced = append(publisher.announced, entries...)
}

func (publisher *publisher) count() int {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	return len(publisher.announced)
}

// world is a book that runs in virtual time.
type world struct {
	*quarantine.Book

	settings  quarantine.Settings
	store     *store
	publisher *publisher
	// next numbers servers.
	next int
}

func inWorld(t *testing.T, store *store, test func(t *testing.T, world *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := &world{settings: quarantine.DefaultSettings(), store: store, publisher: &publisher{judges: true}}
		world.Book = quarantine.New(world.settings, store, world.publisher, slog.New(slog.DiscardHandler), time.Now)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			world.Run(ctx, false)
		}()
		defer func() {
			stop()
			<-ended
		}()
		test(t, world)
	})
}

// lose loses a server under requests, and waits for longer than a moment.
func (world *world) lose(server int, requests ...fingerprint.Fingerprint) {
	for _, request := range requests {
		world.Lost(quarantine.Loss{Fingerprint: request, Server: fmt.Sprintf("s%d", server)})
	}
	time.Sleep(step)
}

// loseEach loses so many servers under requests, one after the other.
func (world *world) loseEach(count int, requests ...fingerprint.Fingerprint) {
	for range count {
		world.next++
		world.lose(world.next, requests...)
	}
}

// loseInWaves loses so many servers under the cause, each at the moment in which another one is lost
// under a request of its own.
func (world *world) loseInWaves(count int) {
	for range count {
		world.next += 2
		world.Lost(quarantine.Loss{Fingerprint: cause, Server: fmt.Sprintf("s%d", world.next)})
		world.lose(world.next+1, bystander+fingerprint.Fingerprint(world.next))
	}
}

func TestWhatCountsAsTheCause(t *testing.T) {
	for name, test := range map[string]struct {
		play func(world *world)
		want bool
	}{
		"two servers are lost under it": {play: func(world *world) { world.loseEach(2, cause) }},
		"three are":                     {want: true, play: func(world *world) { world.loseEach(3, cause) }},
		"another VM tells of some": {want: true, play: func(world *world) {
			world.lose(1, cause)
			world.LostElsewhere(quarantine.Loss{Fingerprint: cause, Server: "s2"}, 20*time.Millisecond)
			time.Sleep(step)
			world.LostElsewhere(quarantine.Loss{Fingerprint: cause, Server: "s3"}, 20*time.Millisecond)
			time.Sleep(step)
		}},
		"one loss is told three times": {play: func(world *world) {
			for range 3 {
				world.LostElsewhere(quarantine.Loss{Fingerprint: cause, Server: "s1"}, 0)
				time.Sleep(step)
			}
		}},
		"a server starts again under its ID": {want: true, play: func(world *world) {
			for range 3 {
				world.lose(1, cause)
				time.Sleep(2 * time.Second)
			}
		}},
		"a VM loses all its connections at once": {play: func(world *world) {
			for server := range 8 {
				world.Lost(quarantine.Loss{Fingerprint: cause, Server: fmt.Sprintf("s%d", server)})
			}
			time.Sleep(step)
		}},
		"servers without it are lost at the same moments": {play: func(world *world) { world.loseInWaves(4) }},
		"five such moments": {want: true, play: func(world *world) { world.loseInWaves(5) }},
		"it ended well once, long ago": {play: func(world *world) {
			world.Served(cause, "s99")
			time.Sleep(time.Minute)
			world.loseEach(4, cause)
		}},
		"it ended well once, and five servers are lost": {want: true, play: func(world *world) {
			world.Served(cause, "s99")
			time.Sleep(time.Minute)
			world.loseEach(5, cause)
		}},
		"it ends well more often": {play: func(world *world) {
			for range 20 {
				world.Served(cause, "s99")
				world.Served(cause, "s98")
				world.loseEach(1, cause)
			}
		}},
		"the servers answer again at once": {play: func(world *world) {
			for server := range 5 {
				world.lose(server, cause)
				world.Served(bystander, fmt.Sprintf("s%d", server))
			}
		}},
		"it was beside the cause": {play: func(world *world) {
			world.loseEach(1, bystander)
			world.loseEach(3, bystander, cause)
		}},
		"long between the losses": {play: func(world *world) {
			for range 5 {
				world.loseEach(1, cause)
				time.Sleep(world.settings.Memory / 2)
			}
		}},
		"it is not told what others see": {play: func(world *world) {
			world.publisher.judges = false
			world.loseEach(6, cause)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, &store{}, func(t *testing.T, world *world) {
				test.play(world)
				assert.Equal(t, world.Kept(cause) > 0, test.want)
				assert.Equal(t, world.publisher.count() > 0, len(world.Entries()) > 0)
			})
		})
	}
}

// TestBystander has a request that was on as many lost servers as the cause, and one fewer: only the cause is
// kept from servers, once it is ahead.
func TestBystander(t *testing.T) {
	inWorld(t, &store{}, func(t *testing.T, world *world) {
		world.loseEach(3, cause, bystander)
		assert.Equal(t, world.Kept(cause), time.Duration(0), "either may be the cause")
		world.loseEach(1, cause)
		assert.Assert(t, world.Kept(cause) > 0)
		world.loseEach(2, bystander)
		assert.Equal(t, world.Kept(bystander), time.Duration(0), "three of five are explained")
	})
}

// TestEventsTellBystanders has another request on each server that is lost. It had events of its answer there,
// the cause never had: the other one is not found, and does not keep the cause from being so.
func TestEventsTellBystanders(t *testing.T) {
	inWorld(t, &store{}, func(t *testing.T, world *world) {
		for server := range 3 {
			name := fmt.Sprintf("s%d", server)
			world.Lost(quarantine.Loss{Fingerprint: bystander, Server: name, Ran: true})
			world.Lost(quarantine.Loss{Fingerprint: cause, Server: name})
			time.Sleep(step)
		}
		assert.Assert(t, world.Kept(cause) > 0)
		assert.Equal(t, world.Kept(bystander), time.Duration(0))
	})
}

// TestTimeOver has a request that may be tried again: one more loss is enough, and the time doubles.
func TestTimeOver(t *testing.T) {
	inWorld(t, &store{}, func(t *testing.T, world *world) {
		world.loseEach(3, cause)
		assert.Assert(t, !world.OnTrial(cause))
		time.Sleep(world.settings.Time)
		assert.Equal(t, world.Kept(cause), time.Duration(0))
		assert.Equal(t, len(world.Entries()), 0)
		assert.Assert(t, world.OnTrial(cause))
		world.loseEach(1, cause, bystander)
		assert.Assert(t, world.Kept(cause) > 2*world.settings.Time-step)
		assert.Equal(t, world.Kept(bystander), time.Duration(0))
		assert.Equal(t, world.Entries()[0].Times, 2)
	})
}

// TestEntriesOutlastTheVM has a VM that starts again, and one that starts while the store is away.
func TestEntriesOutlastTheVM(t *testing.T) {
	kept := &store{}
	inWorld(t, kept, func(t *testing.T, world *world) {
		kept.setAway(true)
		world.loseEach(3, cause)
		assert.Assert(t, world.Kept(cause) > 0, "whatever the store does")
		time.Sleep(time.Second)
		kept.setAway(false)
		time.Sleep(time.Second)
		assert.Equal(t, kept.count(), 1)
	})
	kept.setAway(true)
	inWorld(t, kept, func(t *testing.T, world *world) {
		time.Sleep(time.Second)
		assert.Equal(t, world.Kept(cause), time.Duration(0))
		kept.setAway(false)
		time.Sleep(time.Second)
		assert.Assert(t, world.Kept(cause) > 0)
	})
}

// TestMistakeEndsByAGoodAnswer has a request under way when it is kept from servers. It ends well: the request is
// harmless, and other VMs and the store are told so.
func TestMistakeEndsByAGoodAnswer(t *testing.T) {
	kept := &store{}
	inWorld(t, kept, func(t *testing.T, world *world) {
		world.loseEach(3, cause)
		assert.Assert(t, world.Kept(cause) > 0)
		world.Served(cause, "s99")
		assert.Equal(t, world.Kept(cause), time.Duration(0))
		time.Sleep(step)
		assert.Equal(t, world.publisher.count(), 2)
		assert.Equal(t, kept.count(), 2)
		told := world.Tell()[0]
		assert.Equal(t, told.Times, 2)
		other := quarantine.New(world.settings, kept, world.publisher, slog.New(slog.DiscardHandler), time.Now)
		other.Told([]quarantine.Entry{{Fingerprint: cause, Until: time.Now().Add(time.Minute), Times: 1}})
		other.Told([]quarantine.Entry{told})
		assert.Equal(t, other.Kept(cause), time.Duration(0))
	})
}

// TestWatch has requests under way when the cause is found: they are told at once, also by another VM.
func TestWatch(t *testing.T) {
	inWorld(t, &store{}, func(t *testing.T, world *world) {
		calls := 0
		stop := world.Watch(cause, func() { calls++ })
		defer world.Watch(bystander, func() { t.Error("another request") })()
		entry := quarantine.Entry{Fingerprint: cause, Until: time.Now().Add(time.Minute), Times: 1}
		world.Told([]quarantine.Entry{entry, entry})
		assert.Equal(t, calls, 1)
		stop()
		entry.Times = 2
		world.Told([]quarantine.Entry{entry})
		assert.Equal(t, calls, 1)
	})
}

// TestToldByAClockThatIsAhead bounds what another VM or the store says.
func TestToldByAClockThatIsAhead(t *testing.T) {
	inWorld(t, &store{}, func(t *testing.T, world *world) {
		world.Told([]quarantine.Entry{
			{Fingerprint: cause, Until: time.Now().AddDate(1, 0, 0), Times: 1},
			{Fingerprint: bystander, Until: time.Now().Add(-time.Second), Times: 1},
		})
		assert.Equal(t, world.Kept(cause), world.settings.TimeMax)
		assert.Equal(t, world.Kept(bystander), time.Duration(0))
	})
}

// BenchmarkLost has a VM that decides told of half a million requests on lost servers, all
// different: what is remembered stays bounded. 1.4 µs each, where there was nothing before.
func BenchmarkLost(b *testing.B) {
	book := quarantine.New(quarantine.DefaultSettings(), &store{}, &publisher{}, slog.New(slog.DiscardHandler), time.Now)
	number := uint64(0)
	for b.Loop() {
		number++
		book.LostElsewhere(quarantine.Loss{
			Fingerprint: fingerprint.Fingerprint(number), Server: fmt.Sprintf("s%d", number/16),
		}, 0)
	}
}
