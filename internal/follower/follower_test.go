package follower_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/follower"
)

var (
	errDown    = errors.New("source is down")
	errInvalid = errors.New("invalid value")
)

// source is a log of values with one key each, which a test can change.
type source struct {
	mu     sync.Mutex
	values []string
	// first is the oldest offset that is not trimmed.
	first int64
	down  bool
	// age is the age of all pages.
	age time.Duration
}

var _ follower.Log = (*source)(nil)

func (source *source) Read(ctx context.Context, position follower.Position, wait time.Duration) (follower.Page, error) {
	source.mu.Lock()
	offset, hasOffset := position.Offset()
	page := follower.Page{Whole: !hasOffset, Age: source.age}
	page.Records = source.from(max(0, offset))
	page.Next = max(0, offset) + int64(len(page.Records))
	down, trimmed := source.down, !page.Whole && offset < source.first
	source.mu.Unlock()
	switch {
	case down:
		return follower.Page{}, errDown
	case trimmed:
		return follower.Page{}, follower.ErrTrimmed
	case len(page.Records) == 0 && wait > 0:
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return follower.Page{}, errors.WithStack(ctx.Err())
		}
	}
	return page, nil
}

func (source *source) from(offset int64) []follower.Record {
	var records []follower.Record
	for _, value := range source.values[min(offset, int64(len(source.values))):] {
		records = append(records, follower.Record{Key: value, Value: []byte(value)})
	}
	return records
}

// follow returns a follower of the log.
func (source *source) follow(listener follower.Listener[string]) *follower.Follower[string] {
	settings := follower.Settings{
		Wait: time.Second, ResponseTimeout: time.Second, RetryMin: 100 * time.Millisecond, RetryMax: time.Second,
	}
	decode := func(_ string, value []byte) (string, error) {
		if string(value) == "invalid" {
			return "", errInvalid
		}
		return string(value), nil
	}
	return follower.New(follower.Source[string]{Name: "test", Log: source, Decode: decode},
		listener, settings, epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
}

func (source *source) set(change func(*source)) {
	source.mu.Lock()
	defer source.mu.Unlock()
	change(source)
}

// listener records the calls of its methods.
type listener struct {
	mu       sync.Mutex
	received []string
}

var _ follower.Listener[string] = (*listener)(nil)

func (listener *listener) record(text string) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.received = append(listener.received, text)
}

func (listener *listener) Replace(values []follower.Change[string]) {
	listener.record("replace")
	listener.Apply(values)
}

func (listener *listener) Apply(changes []follower.Change[string]) {
	for _, change := range changes {
		listener.record(change.Key)
	}
}

func (listener *listener) Lost()     { listener.record("lost") }
func (listener *listener) Regained() { listener.record("regained") }

func TestRun(t *testing.T) {
	tests := map[string]struct {
		steps []func(*source)
		want  []string
	}{
		"all values, then changes": {
			steps: []func(*source){func(source *source) { source.values = append(source.values, "b") }},
			want:  []string{"replace", "a", "b"},
		},
		"trimmed changes, then all values": {
			steps: []func(*source){func(source *source) {
				source.values = append(source.values, "b", "c")
				source.first = 2
			}},
			want: []string{"replace", "a", "replace", "a", "b", "c"},
		},
		"invalid values are left out": {
			steps: []func(*source){func(source *source) { source.values = append(source.values, "invalid", "c") }},
			want:  []string{"replace", "a", "c"},
		},
		"lost and regained once each": {
			steps: []func(*source){
				func(source *source) { source.down = true },
				func(source *source) { source.down = false; source.values = append(source.values, "b") },
			},
			want: []string{"replace", "a", "lost", "b", "regained"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, listener := &source{values: []string{"a"}}, &listener{}
				followed := source.follow(listener)
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					followed.Run(ctx)
				}()
				for _, step := range test.steps {
					time.Sleep(5 * time.Second)
					source.set(step)
				}
				time.Sleep(5 * time.Second)
				stop()
				<-done
				assert.DeepEqual(t, listener.received, test.want)
			})
		})
	}
}

// TestAge checks the age of the last confirmation: it counts from the start of the
// read, and grows while the source does not respond.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scripted := &source{values: []string{"a"}}
		followed := scripted.follow(&listener{})
		_, known := followed.Age()
		assert.Assert(t, !known)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go followed.Run(ctx)
		time.Sleep(3500 * time.Millisecond)
		age, known := followed.Age()
		assert.Assert(t, known)
		assert.Equal(t, age, 1500*time.Millisecond, "read started at 2 s and ended at 3 s")
		scripted.set(func(source *source) { source.down = true })
		time.Sleep(10 * time.Second)
		age, _ = followed.Age()
		assert.Assert(t, age > 9*time.Second)
		scripted.set(func(source *source) { source.down = false })
		time.Sleep(1100 * time.Millisecond)
		age, _ = followed.Age()
		assert.Assert(t, age <= 1100*time.Millisecond, "the first read after a failure does not wait for a change")
	})
}

// TestTail reads all values and changes from a tail, and checks their age.
func TestTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tail := follower.NewTail(time.Now)
		_, err := tail.Read(t.Context(), follower.Position{}, 0)
		assert.Assert(t, err != nil, "the tail is empty")
		record := func(key, value string) follower.Record {
			return follower.Record{Key: key, Value: []byte(value)}
		}
		tail.Add(follower.Page{Whole: true, Next: 10, Records: []follower.Record{record("a", "1"), record("b", "1")}}, time.Now())
		tail.Add(follower.Page{Next: 12, Records: []follower.Record{record("a", "2"), {Key: "b"}}}, time.Now())
		time.Sleep(300 * time.Millisecond)
		page, err := tail.Read(t.Context(), follower.Position{}, time.Second)
		assert.NilError(t, err)
		assert.DeepEqual(t, page, follower.Page{
			Whole: true, Next: 12, Records: []follower.Record{record("a", "2")}, Age: 300 * time.Millisecond,
		})
		page, err = tail.Read(t.Context(), follower.At(0, 11), time.Second)
		assert.NilError(t, err)
		assert.DeepEqual(t, page, follower.Page{Next: 12, Records: []follower.Record{{Key: "b"}}, Age: 300 * time.Millisecond})
		page, err = tail.Read(t.Context(), follower.At(0, 3), time.Second)
		assert.NilError(t, err)
		assert.Assert(t, page.Whole, "all values replace changes that are no longer kept")
		// A later confirmation ends a waiting read, and reduces the age.
		time.AfterFunc(200*time.Millisecond, func() { tail.Add(follower.Page{Next: 12}, time.Now()) })
		started := time.Now()
		page, err = tail.Read(t.Context(), follower.At(0, 12), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), 200*time.Millisecond)
		assert.Equal(t, page.Age, -200*time.Millisecond, "confirmed after the start of the read")
		page, err = tail.Read(t.Context(), follower.At(0, 12), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, page.Age, time.Duration(0), "no update: confirmed at the start of the read")
	})
}

// TestAgeNeverDecreasesAlongAChain has a follower that reads from another one, whose source stops responding: the age at
// the second follower must never be below that at the first one.
func TestAgeNeverDecreasesAlongAChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scripted := &source{values: []string{"a"}}
		first := scripted.follow(&listener{})
		second := follower.New(follower.Source[string]{
			Name: "second", Log: first.Tail(), Decode: func(_ string, value []byte) (string, error) { return string(value), nil },
		}, &listener{}, follower.Settings{
			Wait: time.Second, ResponseTimeout: time.Second, RetryMin: 100 * time.Millisecond, RetryMax: time.Second,
		}, epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go first.Run(ctx)
		go second.Run(ctx)
		for step := range 100 {
			time.Sleep(170 * time.Millisecond)
			if step == 50 {
				scripted.set(func(source *source) { source.down = true })
			}
			firstAge, _ := first.Age()
			secondAge, known := second.Age()
			if known {
				assert.Assert(t, secondAge >= firstAge, "step %d: %s and %s", step, secondAge, firstAge)
			}
		}
		age, _ := second.Age()
		assert.Assert(t, age > 8*time.Second)
	})
}

// orderListener records whether the follower was confirmed before the listener received the values.
type orderListener struct {
	followed *follower.Follower[string]
	early    bool
}

var _ follower.Listener[string] = (*orderListener)(nil)

func (orderlistener *orderListener) Replace([]follower.Change[string]) {
	select {
	case <-orderlistener.followed.Confirmed():
		orderlistener.early = true
	default:
	}
}

func (orderlistener *orderListener) Apply(changes []follower.Change[string]) {
	orderlistener.Replace(changes)
}

func (*orderListener) Lost() {}

func (*orderListener) Regained() {}

// TestConfirmationFollowsTheValues checks that a confirmation comes after the listener received the values, and with an
// age: whoever waits for it would otherwise use outdated values.
func TestConfirmationFollowsTheValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		listener := &orderListener{}
		decode := func(key string, _ []byte) (string, error) { return key, nil }
		followed := follower.New(
			follower.Source[string]{Name: "test", Log: &source{values: []string{"a"}}, Decode: decode}, listener,
			follower.Settings{Wait: time.Second, RetryMin: time.Millisecond, RetryMax: time.Millisecond},
			epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
		listener.followed = followed
		go followed.Run(ctx)
		<-followed.Confirmed()
		_, known := followed.Age()
		assert.Assert(t, known)
		assert.Assert(t, !listener.early)
		time.Sleep(3 * time.Second)
		stop()
		synctest.Wait()
	})
}
