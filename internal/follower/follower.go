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

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Follower follows one source.
type Follower[T any] struct {
	source   Source[T]
	listener Listener[T]
	settings Settings
	logger   *slog.Logger
	now      func() time.Time
	epochs   *epoch.Watch
	tail     *Tail
	base     *base[T]

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
	source Source[T], listener Listener[T], settings Settings, epochs *epoch.Watch, logger *slog.Logger,
	now func() time.Time,
) *Follower[T] {
	return &Follower[T]{
		source: source, listener: listener, settings: settings, epochs: epochs, logger: logger, now: now,
		tail: NewTail(now), base: newBase(source.Newer), first: make(chan struct{}),
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
// time for it would run on as if there had been none.
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
	state := progress{pause: follower.settings.RetryMin}
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
	position Position
	// pause is how long it waits after the next failure.
	pause time.Duration
	// lost says that the source did not answer the last question.
	lost bool
	// hurry says that a proof is wanted at once.
	hurry bool
	// unsettled says that what was read last was, so that all is to be read again once it has settled.
	unsettled bool
}

// round asks once, waits until the next question is due, and returns how far it is then.
func (follower *Follower[T]) round(ctx context.Context, state progress) progress {
	waiting := follower.settings.Wait
	if state.lost || state.hurry {
		waiting = 0 // the answer proves the belief; a change may take long to come
	}
	if state.unsettled {
		state, waiting = follower.settle(state, waiting)
	}
	asked := follower.now()
	next, unsettled, err := follower.ask(ctx, state.position, waiting)
	switch {
	case err == nil:
		if state.lost {
			follower.logger.Info("source regained", "source", follower.source.Name, "position", next)
			follower.listener.Regained()
		}
		wait.For(ctx, follower.settings.Pause-follower.now().Sub(asked))
		return progress{position: next, pause: follower.settings.RetryMin, unsettled: unsettled}
	case ctx.Err() != nil:
		return state
	case errors.Is(err, ErrTrimmed) && state.position != (Position{}):
		follower.logger.Warn("source trimmed, reading the newest values",
			"source", follower.source.Name, "position", state.position)
		state.position = Position{}
		return state
	}
	if !state.lost {
		state.lost = true
		follower.logger.Warn("source lost", "source", follower.source.Name, "position", state.position, "error", err)
		follower.listener.Lost()
		follower.tail.Lose()
	}
	wait.For(ctx, state.pause)
	state.pause = min(2*state.pause, follower.settings.RetryMax)
	return state
}

// settleTick is the least time between questions while the source is unsettled for others.
const settleTick = 100 * time.Millisecond

// settle returns from where the next question goes, and how long it may wait, after an unsettled answer: until the
// source has settled, and then for everything.
func (follower *Follower[T]) settle(state progress, waiting time.Duration) (progress, time.Duration) {
	if left := follower.settlesAt().Sub(follower.now()); left > 0 {
		return state, min(waiting, max(left, settleTick))
	}
	state.position = Position{}
	return state, min(waiting, settleTick)
}

// ask asks for everything or for changes, for which it waits that long. It returns where to go on, and whether the
// answer was unsettled.
func (follower *Follower[T]) ask(ctx context.Context, from Position, waiting time.Duration) (Position, bool, error) {
	asked := follower.now()
	page, err := follower.source.Log.Read(ctx, from, waiting)
	if err != nil {
		return from, false, err //nolint:wrapcheck // the log says what failed
	}
	if !page.Whole && page.Epoch != from.Epoch {
		return from, false, errors.Wrap(ErrTrimmed, "changes of another epoch")
	}
	// The age of a page that another VM calls unsettled is that of a proof from before.
	proves := page.Unsettled || follower.settled(asked)
	page.Unsettled = page.Unsettled || !proves
	follower.takeOver(&page)
	follower.prove(page, asked, proves)
	return page.Position(), page.Unsettled, nil
}

// settled reports whether others had the time to write again, at a moment, what the source lost.
func (follower *Follower[T]) settled(moment time.Time) bool {
	return follower.epochs.Rose().IsZero() || !moment.Before(follower.settlesAt())
}

// settlesAt is until when others may write again what the source lost when the epoch last rose.
func (follower *Follower[T]) settlesAt() time.Time {
	return follower.epochs.Rose().Add(follower.settings.Settle)
}

// takeOver tells the listener what counts of a page, and leaves just that in it.
func (follower *Follower[T]) takeOver(page *Page) {
	read := follower.decode(page.Records)
	now := follower.now()
	if page.Whole {
		read = follower.base.replace(read, page.Unsettled, now)
	} else {
		read = follower.base.change(read, now)
	}
	page.Records = make([]Record, 0, len(read))
	changes := make([]Change[T], 0, len(read))
	for _, held := range read {
		page.Records = append(page.Records, held.record)
		changes = append(changes, held.change)
	}
	switch {
	case page.Whole:
		follower.listener.Replace(changes)
	case len(changes) > 0:
		follower.listener.Apply(changes)
	}
}

// prove notes that a page proves the belief, unless it does not: others may not have written again what the source
// lost, or it has an older value. Otherwise a key that was removed would be accepted again.
func (follower *Follower[T]) prove(page Page, asked time.Time, proves bool) {
	last := follower.proven.Load()
	if !proves || (follower.source.Strict && len(follower.base.behind) > 0) {
		follower.tail.Add(page, time.Time{})
		return
	}
	proven := asked.Add(-page.Age)
	follower.tail.Add(page, proven)
	if last == nil || proven.After(*last) {
		follower.proven.Store(&proven)
	}
	if last == nil {
		close(follower.first)
	}
}

// decode decodes records. One that cannot be decoded is logged and counted.
func (follower *Follower[T]) decode(records []Record) []held[T] {
	read := make([]held[T], 0, len(records))
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
		read = append(read, held[T]{record: record, change: change})
	}
	return read
}
