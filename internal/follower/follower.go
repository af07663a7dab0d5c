// Package follower keeps a belief current: it reads the newest values once,
// then their changes, and knows when the question was asked that last proved
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

// ErrOtherKey is returned by decoders for keys that are not their matter.
var ErrOtherKey = errors.New("another key")

// Change is a new value of a key, or none when the key was dropped.
type Change[T any] struct {
	Key string
	// Value is nil when the key was dropped.
	Value *T
	// Bad says that the key has a value that cannot be decoded.
	Bad bool
}

// Source is a log and how its values are decoded.
type Source[T any] struct {
	// Name is for the log lines.
	Name string
	Log  Log
	// Decode returns ErrOtherKey for keys that are not its matter.
	Decode func(key string, value []byte) (T, error)
	// TellBad says that the listener is told of values that cannot be decoded. Otherwise the value before
	// stays.
	TellBad bool
}

// WithLog returns the source with another log.
func (source Source[T]) WithLog(log Log) Source[T] {
	source.Log = log
	return source
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
	// Pause is the least time from one question to the next.
	Pause time.Duration `yaml:"pause" validate:"min=0,max=30s"`
	// Patience is how long an answer, or a part of one, may take beyond Wait.
	Patience time.Duration `yaml:"patience" validate:"min=10ms,max=30s"`
	// RetryMin and RetryMax bound the pause after a failure, which doubles.
	RetryMin time.Duration `yaml:"retry_min" validate:"min=1ms"`
	RetryMax time.Duration `yaml:"retry_max" validate:"min=1ms"`
}

// Follower follows one source.
type Follower[T any] struct {
	source   Source[T]
	listener Listener[T]
	settings Settings
	logger   *slog.Logger
	now      func() time.Time
	tail     *Tail

	// proven is when the question was asked that last proved the belief. It is
	// nil before the first answer, and never goes back.
	proven atomic.Pointer[time.Time]
	// bad counts values that could not be decoded.
	bad atomic.Int64
	// giveUp ends the question or pause under way.
	giveUp atomic.Pointer[context.CancelCauseFunc]
	// first is closed once there is a proof.
	first chan struct{}
}

// New returns a follower of source.
func New[T any](
	source Source[T], listener Listener[T], settings Settings, logger *slog.Logger, now func() time.Time,
) *Follower[T] {
	return &Follower[T]{
		source: source, listener: listener, settings: settings, logger: logger, now: now, tail: NewTail(now),
		first: make(chan struct{}),
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

// Proven returns a channel that is closed once there is a proof. The listener was told before: a proof that came
// first would cover content that is not believed any more.
func (follower *Follower[T]) Proven() <-chan struct{} {
	return follower.first
}

// Bad returns how many values could not be decoded.
func (follower *Follower[T]) Bad() int64 {
	return follower.bad.Load()
}

// Renew gives up the question or pause under way and asks again at once: after a suspension the answer proves little, and the
// time for it would run on as if there had been none, 2.2 s without a proof.
func (follower *Follower[T]) Renew() {
	if giveUp := follower.giveUp.Load(); giveUp != nil {
		(*giveUp)(errRenewed)
	}
}

// Tail returns what was read, for others to read.
func (follower *Follower[T]) Tail() *Tail {
	return follower.tail
}

// errRenewed ends a question that is asked anew.
var errRenewed = errors.New("asked anew")

// Run follows the source until ctx is done.
func (follower *Follower[T]) Run(ctx context.Context) {
	state := progress{offset: Everything, pause: follower.settings.RetryMin}
	for ctx.Err() == nil {
		round, giveUp := context.WithCancelCause(ctx)
		follower.giveUp.Store(&giveUp)
		state = follower.round(round, state)
		state.hurry = errors.Is(context.Cause(round), errRenewed)
		giveUp(nil)
	}
}

// progress is how far a follower is.
type progress struct {
	offset int64
	// pause is how long it waits after the next failure.
	pause time.Duration
	// lost says that the source did not answer the last question.
	lost bool
	// hurry says that a proof is wanted at once.
	hurry bool
}

// round asks once, waits until the next question is due, and returns how far it is then.
func (follower *Follower[T]) round(ctx context.Context, state progress) progress {
	waiting := follower.settings.Wait
	if state.lost || state.hurry {
		waiting = 0 // the answer proves the belief; a change may take long to come
	}
	asked := follower.now()
	next, err := follower.ask(ctx, state.offset, waiting)
	switch {
	case err == nil:
		if state.lost {
			follower.logger.Info("source regained", "source", follower.source.Name, "offset", next)
			follower.listener.Regained()
		}
		wait.For(ctx, follower.settings.Pause-follower.now().Sub(asked))
		return progress{offset: next, pause: follower.settings.RetryMin}
	case ctx.Err() != nil:
		return state
	case errors.Is(err, ErrTrimmed):
		follower.logger.Warn("source trimmed, reading the newest values",
			"source", follower.source.Name, "offset", state.offset)
		state.offset = Everything
		return state
	}
	if !state.lost {
		state.lost = true
		follower.logger.Warn("source lost", "source", follower.source.Name, "offset", state.offset, "error", err)
		follower.listener.Lost()
		follower.tail.Lose()
	}
	wait.For(ctx, state.pause)
	state.pause = min(2*state.pause, follower.settings.RetryMax)
	return state
}

// ask asks for everything or for changes, for which it waits that long.
func (follower *Follower[T]) ask(ctx context.Context, offset int64, waiting time.Duration) (int64, error) {
	asked := follower.now()
	page, err := follower.source.Log.Read(ctx, offset, waiting)
	if err != nil {
		return offset, err //nolint:wrapcheck // the log says what failed
	}
	changes := follower.decode(page.Records)
	switch {
	case page.Whole:
		follower.listener.Replace(changes)
	case len(changes) > 0:
		follower.listener.Apply(changes)
	}
	proven := asked.Add(-page.Age)
	follower.tail.Add(page, proven)
	last := follower.proven.Load()
	if last == nil || proven.After(*last) {
		follower.proven.Store(&proven)
	}
	if last == nil {
		close(follower.first)
	}
	return page.Next, nil
}

// decode decodes records. One that cannot be decoded is logged and counted.
func (follower *Follower[T]) decode(records []Record) []Change[T] {
	changes := make([]Change[T], 0, len(records))
	for _, record := range records {
		change := Change[T]{Key: record.Key}
		if len(record.Value) > 0 {
			value, err := follower.source.Decode(record.Key, record.Value)
			if errors.Is(err, ErrOtherKey) {
				continue
			}
			if err != nil {
				follower.logger.Error("record not understood",
					"source", follower.source.Name, "key", record.Key, "error", err)
				follower.bad.Add(1)
				if !follower.source.TellBad {
					continue
				}
				change.Bad = true
			} else {
				change.Value = &value
			}
		}
		changes = append(changes, change)
	}
	return changes
}
