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

	"github.com/mastwinch/mastwinch/internal/follower"
)

var errDown = errors.New("down")

// source is a scripted source: a list of values with one key each.
type source struct {
	mu     sync.Mutex
	values []string
	// first is the oldest offset that is kept.
	first   int64
	down    bool
	asked   []time.Duration
	newests int
}

var _ follower.Source[string] = (*source)(nil)

func (source *source) Newest(context.Context) ([]follower.Change[string], int64, error) {
	source.mu.Lock()
	defer source.mu.Unlock()
	source.newests++
	if source.down {
		return nil, 0, errDown
	}
	return source.from(0), int64(len(source.values)), nil
}

func (source *source) Since(ctx context.Context, offset int64, wait time.Duration) ([]follower.Change[string], int64, error) {
	source.mu.Lock()
	source.asked = append(source.asked, wait)
	down, first, changes := source.down, source.first, source.from(offset)
	source.mu.Unlock()
	switch {
	case down:
		return nil, offset, errDown
	case offset < first:
		return nil, offset, follower.ErrTrimmed
	case len(changes) == 0 && wait > 0:
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, offset, errors.WithStack(ctx.Err())
		}
	}
	return changes, offset + int64(len(changes)), nil
}

func (source *source) from(offset int64) []follower.Change[string] {
	var changes []follower.Change[string]
	for _, value := range source.values[min(offset, int64(len(source.values))):] {
		changes = append(changes, follower.Change[string]{Key: value, Value: &value})
	}
	return changes
}

func (source *source) set(change func(*source)) {
	source.mu.Lock()
	defer source.mu.Unlock()
	change(source)
}

// listener notes what it is told.
type listener struct {
	mu   sync.Mutex
	told []string
}

var _ follower.Listener[string] = (*listener)(nil)

func (listener *listener) note(text string) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.told = append(listener.told, text)
}

func (listener *listener) Replace(values []follower.Change[string]) {
	listener.note("replace")
	listener.Apply(values)
}

func (listener *listener) Apply(changes []follower.Change[string]) {
	for _, change := range changes {
		listener.note(change.Key)
	}
}

func (listener *listener) Lost()     { listener.note("lost") }
func (listener *listener) Regained() { listener.note("regained") }

func TestRun(t *testing.T) {
	tests := map[string]struct {
		steps []func(*source)
		want  []string
	}{
		"newest first, then changes": {
			steps: []func(*source){func(source *source) { source.values = append(source.values, "b") }},
			want:  []string{"replace", "a", "b"},
		},
		"a gap reads the newest again": {
			steps: []func(*source){func(source *source) {
				source.values = append(source.values, "b", "c")
				source.first = 2
			}},
			want: []string{"replace", "a", "replace", "a", "b", "c"},
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
				settings := follower.Settings{
					Wait: time.Second, Patience: time.Second, RetryMin: 100 * time.Millisecond, RetryMax: time.Second,
				}
				followed := follower.New("test", source, listener, settings, slog.New(slog.DiscardHandler), time.Now)
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
				assert.DeepEqual(t, listener.told, test.want)
			})
		})
	}
}

// TestAge has the age of the proof: it counts from the question, and grows
// while nothing is answered.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scripted := &source{values: []string{"a"}}
		settings := follower.Settings{
			Wait: time.Second, Patience: time.Second, RetryMin: 100 * time.Millisecond, RetryMax: time.Second,
		}
		followed := follower.New("test", scripted, &listener{}, settings, slog.New(slog.DiscardHandler), time.Now)
		_, known := followed.Age()
		assert.Assert(t, !known)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go followed.Run(ctx)
		time.Sleep(3500 * time.Millisecond)
		age, known := followed.Age()
		assert.Assert(t, known)
		assert.Equal(t, age, 1500*time.Millisecond, "asked at 2 s, answered at 3 s")
		scripted.set(func(source *source) { source.down = true })
		time.Sleep(10 * time.Second)
		age, _ = followed.Age()
		assert.Assert(t, age > 9*time.Second)
		scripted.set(func(source *source) { source.down = false })
		time.Sleep(1100 * time.Millisecond)
		age, _ = followed.Age()
		assert.Assert(t, age <= 1100*time.Millisecond, "the first question after a loss does not wait")
	})
}
