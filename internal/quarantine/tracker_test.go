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

// cause and bystander are requests, and step is a time longer than Settings.Moment and
// Settings.EvaluationDelay.
const (
	cause     = fingerprint.Fingerprint(1)
	bystander = fingerprint.Fingerprint(2)
	step      = 300 * time.Millisecond
)

var errUnavailable = errors.New("store is unavailable")

// store is an in-memory store.
type store struct {
	mu          sync.Mutex
	entries     []quarantine.Entry
	unavailable bool
}

var _ quarantine.Store = (*store)(nil)

func (store *store) Put(_ context.Context, entry quarantine.Entry) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.unavailable {
		return errUnavailable
	}
	store.entries = append(store.entries, entry)
	return nil
}

func (store *store) List(context.Context) ([]quarantine.Entry, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.unavailable {
		return nil, errUnavailable
	}
	return store.entries, nil
}

func (store *store) count() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return len(store.entries)
}

// last returns the entry that was written last.
func (store *store) last() quarantine.Entry {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.entries[len(store.entries)-1]
}

func (store *store) setUnavailable(unavailable bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.unavailable = unavailable
}

// publisher collects the announced entries. The VM evaluates if evaluates is set.
type publisher struct {
	evaluates bool

	mu        sync.Mutex
	announced []quarantine.Entry
	// suspects is the last list of suspects.
	suspects []quarantine.Suspect
	// begun has the reported begun responses.
	begun []quarantine.Begun
}

var _ quarantine.Publisher = (*publisher)(nil)

func (publisher *publisher) Evaluates() bool { return publisher.evaluates }

func (publisher *publisher) Announce(entries []quarantine.Entry) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.announced = append(publisher.announced, entries...)
}

func (publisher *publisher) AnnounceSuspects(suspects []quarantine.Suspect) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.suspects = suspects
}

func (publisher *publisher) ReportBegun(begun []quarantine.Begun) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.begun = append(publisher.begun, begun...)
}

func (publisher *publisher) count() int {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	return len(publisher.announced)
}

// fixture is a running tracker in virtual time.
type fixture struct {
	*quarantine.Tracker

	settings  quarantine.Settings
	store     quarantine.Store
	publisher *publisher
	// next is the number of the last lost server.
	next int
}

func withFixture(t *testing.T, store quarantine.Store, test func(t *testing.T, fixture *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fixture := &fixture{settings: quarantine.DefaultSettings(), store: store, publisher: &publisher{evaluates: true}}
		fixture.Tracker = quarantine.New(fixture.settings, store, fixture.publisher, slog.New(slog.DiscardHandler), time.Now)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			fixture.Run(ctx, false)
		}()
		defer func() {
			stop()
			<-ended
		}()
		test(t, fixture)
	})
}

// lose records the loss of a server under requests, and waits until it counts as a moment of its
// own.
func (fixture *fixture) lose(server int, requests ...fingerprint.Fingerprint) {
	for _, request := range requests {
		fixture.RecordLoss(quarantine.Loss{Fingerprint: request, Server: fmt.Sprintf("s%d", server)})
	}
	fixture.RecordEnd(fmt.Sprintf("s%d", server))
	time.Sleep(step)
}

// loseEach records the losses of so many servers under requests, one after the other.
func (fixture *fixture) loseEach(count int, requests ...fingerprint.Fingerprint) {
	for range count {
		fixture.next++
		fixture.lose(fixture.next, requests...)
	}
}

// loseInWaves records the losses of so many servers under the cause, each at the same moment as
// another server without it.
func (fixture *fixture) loseInWaves(count int) {
	for range count {
		fixture.next += 2
		fixture.RecordLoss(quarantine.Loss{Fingerprint: cause, Server: fmt.Sprintf("s%d", fixture.next)})
		fixture.RecordEnd(fmt.Sprintf("s%d", fixture.next))
		fixture.lose(fixture.next+1, bystander+fingerprint.Fingerprint(fixture.next))
	}
}

// TestCauseIsQuarantined guards against quarantining harmless requests on lost servers, and against
// missing the harmful one.
func TestCauseIsQuarantined(t *testing.T) {
	for name, test := range map[string]struct {
		action func(fixture *fixture)
		want   bool
	}{
		"two losses":   {action: func(fixture *fixture) { fixture.loseEach(2, cause) }},
		"three losses": {want: true, action: func(fixture *fixture) { fixture.loseEach(3, cause) }},
		"some losses reported by another VM": {want: true, action: func(fixture *fixture) {
			fixture.lose(1, cause)
			fixture.RecordRemoteLoss(quarantine.Loss{Fingerprint: cause, Server: "s2", Ended: true}, 20*time.Millisecond)
			time.Sleep(step)
			fixture.RecordRemoteLoss(quarantine.Loss{Fingerprint: cause, Server: "s3", Ended: true}, 20*time.Millisecond)
			time.Sleep(step)
		}},
		"one loss reported three times": {action: func(fixture *fixture) {
			for range 3 {
				fixture.RecordRemoteLoss(quarantine.Loss{Fingerprint: cause, Server: "s1", Ended: true}, 0)
				time.Sleep(step)
			}
		}},
		"losses of a server that restarts under its ID": {want: true, action: func(fixture *fixture) {
			for range 3 {
				fixture.lose(1, cause)
				time.Sleep(2 * time.Second)
			}
		}},
		"a VM loses all its connections at once": {action: func(fixture *fixture) {
			for server := range 8 {
				fixture.RecordLoss(quarantine.Loss{Fingerprint: cause, Server: fmt.Sprintf("s%d", server)})
				fixture.RecordEnd(fmt.Sprintf("s%d", server))
			}
			time.Sleep(step)
		}},
		"four losses at the same moments as servers without the request": {action: func(fixture *fixture) { fixture.loseInWaves(4) }},
		"five losses at the same moments as servers without the request": {want: true, action: func(fixture *fixture) { fixture.loseInWaves(5) }},
		"old success and four losses": {action: func(fixture *fixture) {
			fixture.RecordCompletion(cause, "s99")
			time.Sleep(time.Minute)
			fixture.loseEach(4, cause)
		}},
		"old success and five losses": {want: true, action: func(fixture *fixture) {
			fixture.RecordCompletion(cause, "s99")
			time.Sleep(time.Minute)
			fixture.loseEach(5, cause)
		}},
		"more successes than losses": {action: func(fixture *fixture) {
			for range 20 {
				fixture.RecordCompletion(cause, "s99")
				fixture.RecordCompletion(cause, "s98")
				fixture.loseEach(1, cause)
			}
		}},
		"servers respond right after their losses": {action: func(fixture *fixture) {
			for server := range 5 {
				fixture.lose(server, cause)
				fixture.RecordCompletion(bystander, fmt.Sprintf("s%d", server))
			}
		}},
		"another request is the cause": {action: func(fixture *fixture) {
			fixture.loseEach(1, bystander)
			fixture.loseEach(3, bystander, cause)
		}},
		"losses far apart": {action: func(fixture *fixture) {
			for range 5 {
				fixture.loseEach(1, cause)
				time.Sleep(fixture.settings.HistoryTime / 2)
			}
		}},
		"VM that doesn't evaluate": {action: func(fixture *fixture) {
			fixture.publisher.evaluates = false
			fixture.loseEach(6, cause)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
				test.action(fixture)
				assert.Equal(t, fixture.Remaining(cause) > 0, test.want)
				assert.Equal(t, fixture.publisher.count() > 0, len(fixture.Entries()) > 0)
			})
		})
	}
}

// TestBystander guards against quarantining a harmless request that was on almost as many lost
// servers as the cause.
func TestBystander(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		fixture.loseEach(3, cause, bystander)
		assert.Equal(t, fixture.Remaining(cause), time.Duration(0), "either may be the cause")
		fixture.loseEach(1, cause)
		assert.Assert(t, fixture.Remaining(cause) > 0)
		fixture.loseEach(2, bystander)
		assert.Equal(t, fixture.Remaining(bystander), time.Duration(0), "the cause explains three of five losses")
	})
}

// TestRequestWithEventsIsBystander guards against quarantining a request that had events of its
// response on each lost server, and against sparing the cause, which never had, because of it.
func TestRequestWithEventsIsBystander(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		for server := range 3 {
			name := fmt.Sprintf("s%d", server)
			fixture.RecordLoss(quarantine.Loss{Fingerprint: bystander, Server: name, HadEvent: true})
			fixture.RecordLoss(quarantine.Loss{Fingerprint: cause, Server: name})
			fixture.RecordEnd(name)
			time.Sleep(step)
		}
		assert.Assert(t, fixture.Remaining(cause) > 0)
		assert.Equal(t, fixture.Remaining(bystander), time.Duration(0))
	})
}

// TestProbation guards against a harmful request that crashes three more servers after each quarantine: one
// more loss starts another one of double length.
func TestProbation(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		fixture.loseEach(3, cause)
		assert.Assert(t, !fixture.OnProbation(cause))
		time.Sleep(fixture.settings.Time)
		assert.Equal(t, fixture.Remaining(cause), time.Duration(0))
		assert.Equal(t, len(fixture.Entries()), 0)
		assert.Assert(t, fixture.OnProbation(cause))
		fixture.loseEach(1, cause, bystander)
		assert.Assert(t, fixture.Remaining(cause) > 2*fixture.settings.Time-step)
		assert.Equal(t, fixture.Remaining(bystander), time.Duration(0))
		assert.Equal(t, fixture.Entries()[0].Times, 2)
	})
}

// TestEntriesSurviveRestart guards against losing entries when a VM restarts, or when the store is
// unavailable as an entry is written or a VM starts.
func TestEntriesSurviveRestart(t *testing.T) {
	stored := &store{}
	withFixture(t, stored, func(t *testing.T, fixture *fixture) {
		stored.setUnavailable(true)
		fixture.loseEach(3, cause)
		assert.Assert(t, fixture.Remaining(cause) > 0, "independent of the store")
		time.Sleep(time.Second)
		stored.setUnavailable(false)
		time.Sleep(time.Second)
		assert.Equal(t, stored.count(), 1)
	})
	stored.setUnavailable(true)
	withFixture(t, stored, func(t *testing.T, fixture *fixture) {
		time.Sleep(time.Second)
		assert.Equal(t, fixture.Remaining(cause), time.Duration(0))
		stored.setUnavailable(false)
		time.Sleep(time.Second)
		assert.Assert(t, fixture.OnProbation(cause), "one more loss is enough")
		fixture.loseEach(1, cause)
		assert.Assert(t, fixture.Remaining(cause) > fixture.settings.Time)
	})
}

// TestStoredEntryIsOnProbationAtOnce guards against a wrong quarantine that outlives all VMs: nobody is left who could know better, so
// that one try is let through, and its success ends the entry at other VMs and in the store.
func TestStoredEntryIsOnProbationAtOnce(t *testing.T) {
	stored := &store{entries: []quarantine.Entry{{Fingerprint: cause, Until: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC), Times: 3}}}
	withFixture(t, stored, func(t *testing.T, fixture *fixture) {
		time.Sleep(time.Second)
		assert.Equal(t, fixture.Remaining(cause), time.Duration(0))
		assert.Assert(t, fixture.OnProbation(cause))
		assert.DeepEqual(t, fixture.Contained(cause), []fingerprint.Fingerprint{cause})
		fixture.RecordCompletion(cause, "s1")
		time.Sleep(time.Second)
		assert.Assert(t, !fixture.OnProbation(cause))
		last := stored.last()
		assert.Equal(t, last.Times, 4)
		assert.Assert(t, !last.Until.After(time.Now()))
		assert.Equal(t, fixture.publisher.count(), 1)
	})
}

// TestEntryOfOtherVMsIsInForceAfterARestart checks that a VM that restarts alone takes the word of the others for a stored entry.
func TestEntryOfOtherVMsIsInForceAfterARestart(t *testing.T) {
	entry := quarantine.Entry{Fingerprint: cause, Until: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC), Times: 3}
	for name, before := range map[string]bool{"before the store": true, "after the store": false} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, &store{entries: []quarantine.Entry{entry}}, func(t *testing.T, fixture *fixture) {
				if before {
					fixture.ApplyEntries([]quarantine.Entry{entry})
				}
				time.Sleep(time.Second)
				if !before {
					fixture.ApplyEntries([]quarantine.Entry{entry})
				}
				assert.Assert(t, fixture.Remaining(cause) > 0)
			})
		})
	}
}

// TestLostAnswersAreNoCrashes guards against quarantining a request because its answers or connections were lost, while no server
// ended.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		for server := range 20 {
			fixture.RecordLoss(quarantine.Loss{Fingerprint: cause, Server: fmt.Sprintf("s%d", server), Parts: []fingerprint.Fingerprint{bystander}})
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, fixture.Remaining(cause, bystander), time.Duration(0))
		assert.Assert(t, len(fixture.Contained(cause)) > 0, "in doubt it is contained")
	})
}

// TestProofMayComeLater checks that a verdict waits for the proof that servers ended, whoever has it, and that proof which comes too late
// is none.
func TestProofMayComeLater(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		prove func(fixture *fixture, server string)
		want  bool
	}{
		"own proof":         {2 * time.Second, func(fixture *fixture, server string) { fixture.RecordEnd(server) }, true},
		"other VM's proof":  {2 * time.Second, proveRemotely(2 * time.Second), true},
		"of another server": {2 * time.Second, func(fixture *fixture, _ string) { fixture.RecordEnd("s99") }, false},
		"too late":          {20 * time.Second, func(fixture *fixture, server string) { fixture.RecordEnd(server) }, false},
		"answer in the time": {500 * time.Millisecond, func(fixture *fixture, server string) {
			fixture.RecordCompletion(bystander, server)
			fixture.RecordEnd(server)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
				for number := range 3 {
					server := fmt.Sprintf("s%d", number)
					fixture.RecordLoss(quarantine.Loss{Fingerprint: cause, Server: server})
					time.Sleep(test.after)
					assert.Equal(t, fixture.Remaining(cause), time.Duration(0))
					test.prove(fixture, server)
					time.Sleep(step)
				}
				assert.Equal(t, fixture.Remaining(cause) > 0, test.want)
			})
		})
	}
}

// proveRemotely returns a function that reports the loss of a server again, a time after it, with the proof that the server ended.
func proveRemotely(age time.Duration) func(fixture *fixture, server string) {
	return func(fixture *fixture, server string) {
		fixture.RecordRemoteLoss(quarantine.Loss{Fingerprint: cause, Server: server, Ended: true}, age)
	}
}

// TestProofThatAServerNeverEndedLiftsTheQuarantine guards against an entry that stays although a server on which it rests has answered.
func TestProofThatAServerNeverEndedLiftsTheQuarantine(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		fixture.loseEach(3, cause)
		assert.Assert(t, fixture.Remaining(cause) > 0)
		fixture.RecordCompletion(bystander, "s3")
		assert.Equal(t, fixture.Remaining(cause), time.Duration(0))
	})
}

// TestSuccessLiftsQuarantine guards against a wrong quarantine that stays in force at any VM or in
// the store after the success of an attempt that was in flight when it began.
func TestSuccessLiftsQuarantine(t *testing.T) {
	stored := &store{}
	withFixture(t, stored, func(t *testing.T, fixture *fixture) {
		fixture.loseEach(3, cause)
		assert.Assert(t, fixture.Remaining(cause) > 0)
		fixture.RecordCompletion(cause, "s99")
		assert.Equal(t, fixture.Remaining(cause), time.Duration(0))
		time.Sleep(step)
		assert.Equal(t, fixture.publisher.count(), 2)
		assert.Equal(t, stored.count(), 2)
		lifted := fixture.PublishableEntries()[0]
		assert.Equal(t, lifted.Times, 2)
		other := quarantine.New(fixture.settings, stored, fixture.publisher, slog.New(slog.DiscardHandler), time.Now)
		other.ApplyEntries([]quarantine.Entry{{Fingerprint: cause, Until: time.Now().Add(time.Minute), Times: 1}})
		other.ApplyEntries([]quarantine.Entry{lifted})
		assert.Equal(t, other.Remaining(cause), time.Duration(0))
	})
}

// TestWatch guards against requests in flight that are not notified of their quarantine, or more
// than once, also when another VM found the cause.
func TestWatch(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		notifications := 0
		stop := fixture.Watch(func() { notifications++ }, cause)
		defer fixture.Watch(func() { t.Error("another request") }, bystander)()
		entry := quarantine.Entry{Fingerprint: cause, Until: time.Now().Add(time.Minute), Times: 1}
		fixture.ApplyEntries([]quarantine.Entry{entry, entry})
		assert.Equal(t, notifications, 1)
		stop()
		entry.Times = 2
		fixture.ApplyEntries([]quarantine.Entry{entry})
		assert.Equal(t, notifications, 1)
	})
}

// TestRemoteEntryTimesAreLimited guards against overlong quarantines by the wrong clock of another
// VM, and against expired entries.
func TestRemoteEntryTimesAreLimited(t *testing.T) {
	withFixture(t, &store{}, func(t *testing.T, fixture *fixture) {
		fixture.ApplyEntries([]quarantine.Entry{
			{Fingerprint: cause, Until: time.Now().AddDate(1, 0, 0), Times: 1},
			{Fingerprint: bystander, Until: time.Now().Add(-time.Second), Times: 1},
		})
		assert.Equal(t, fixture.Remaining(cause), fixture.settings.TimeMax)
		assert.Equal(t, fixture.Remaining(bystander), time.Duration(0))
	})
}

func newBenchmarkTracker() *quarantine.Tracker {
	return quarantine.New(quarantine.DefaultSettings(), &store{}, &publisher{}, slog.New(slog.DiscardHandler), time.Now)
}

// BenchmarkRecordRemoteLoss measures the losses of different requests at a coordinator, with
// bounded memory.
func BenchmarkRecordRemoteLoss(b *testing.B) {
	tracker := newBenchmarkTracker()
	number := uint64(0)
	for b.Loop() {
		number++
		tracker.RecordRemoteLoss(quarantine.Loss{
			Fingerprint: fingerprint.Fingerprint(number), Server: fmt.Sprintf("s%d", number/16),
		}, 0)
	}
}
