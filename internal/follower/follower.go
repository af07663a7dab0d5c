// Package follower keeps a belief current: it reads the newest values once,
// then their changes, and knows when the question was sent that last proved
// the belief current.
package follower

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/wait"
)

// ErrTrimmed says that the changes asked for are not kept any more.
var ErrTrimmed = errors.New("changes are not kept any more")

// Change is a new value of a key, or none when the key was dropped.
type Change[T any] struct {
	Key string
	// Value is nil when the key was dropped.
	Value *T
}

// Source gives values and their changes.
type Source[T any] interface {
	// Newest returns the newest value of each key, and the offset from which
	// changes are to be read.
	Newest(ctx context.Context) ([]Change[T], int64, error)
	// Since returns the changes from an offset on and the next offset. It waits
	// that long for the first, and returns ErrTrimmed when there is a gap.
	Since(ctx context.Context, offset int64, wait time.Duration) ([]Change[T], int64, error)
}

// Listener is told of changes, in order.
type Listener[T any] interface {
	// Replace takes over the whole state.
	Replace(values []Change[T])
	// Apply takes over changes.
	Apply(changes []Change[T])
	// Lost notes that the source did not answer, and Regained that it does.
	Lost()
	Regained()
}

// Settings say how often the source is asked.
type Settings struct {
	// Wait is how long one question waits for a change.
	Wait time.Duration `yaml:"wait" validate:"min=0,max=30s"`
	// Pause is the time between questions.
	Pause time.Duration `yaml:"pause" validate:"min=0,max=30s"`
	// Patience is how long an answer may take beyond Wait.
	Patience time.Duration `yaml:"patience" validate:"min=10ms,max=30s"`
	// RetryMin and RetryMax bound the pause after a failure, which doubles.
	RetryMin time.Duration `yaml:"retry_min" validate:"min=1ms"`
	RetryMax time.Duration `yaml:"retry_max" validate:"min=1ms"`
}

// Follower follows one source.
type Follower[T any] struct {
	name     string
	source   Source[T]
	listener Listener[T]
	settings Settings
	logger   *slog.Logger
	now      func() time.Time

	// proven is when the question was sent that was answered last. It is nil
	// before the first answer.
	proven atomic.Pointer[time.Time]
}

// New returns a follower of source, which is called name in the log.
func New[T any](
	name string, source Source[T], listener Listener[T], settings Settings,
	logger *slog.Logger, now func() time.Time,
) *Follower[T] {
	return &Follower[T]{
		name: name, source: source, listener: listener, settings: settings, logger: logger, now: now,
	}
}

// Age returns how old the proof is that the belief was current. It reports
// false before there was any.
func (follower *Follower[T]) Age() (time.Duration, bool) {
	proven := follower.proven.Load()
	if proven == nil {
		return 0, false
	}
	return follower.now().Sub(*proven), true
}

// Run follows the source until ctx is done.
func (follower *Follower[T]) Run(ctx context.Context) {
	offset := int64(-1)
	pause := follower.settings.RetryMin
	lost := false
	for ctx.Err() == nil {
		patience := follower.settings.Wait
		if lost {
			patience = 0 // the answer proves the belief; a change may take long to come
		}
		next, err := follower.ask(ctx, offset, patience)
		if err == nil {
			if lost {
				lost = false
				follower.logger.Info("source regained", "source", follower.name, "offset", next)
				follower.listener.Regained()
			}
			offset = next
			pause = follower.settings.RetryMin
			wait.For(ctx, follower.settings.Pause)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrTrimmed) {
			follower.logger.Warn("source trimmed, reading the newest values", "source", follower.name, "offset", offset)
			offset = -1
			continue
		}
		if !lost {
			lost = true
			follower.logger.Warn("source lost", "source", follower.name, "offset", offset, "error", err)
			follower.listener.Lost()
		}
		wait.For(ctx, pause)
		pause = min(2*pause, follower.settings.RetryMax)
	}
}

// ask asks for everything when offset is below zero, else for changes, for
// which it waits that long.
func (follower *Follower[T]) ask(ctx context.Context, offset int64, waiting time.Duration) (int64, error) {
	asked := follower.now()
	if offset < 0 {
		bounded, cancel := context.WithTimeout(ctx, follower.settings.Patience)
		defer cancel()
		values, next, err := follower.source.Newest(bounded)
		if err != nil {
			return offset, err
		}
		follower.listener.Replace(values)
		follower.proven.Store(&asked)
		return next, nil
	}
	bounded, cancel := context.WithTimeout(ctx, waiting+follower.settings.Patience)
	defer cancel()
	changes, next, err := follower.source.Since(bounded, offset, waiting)
	if err != nil {
		return offset, err
	}
	if len(changes) > 0 {
		follower.listener.Apply(changes)
	}
	follower.proven.Store(&asked)
	return next, nil
}
