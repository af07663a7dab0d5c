// Package follower keeps a local copy of the values of a log up to date: it
// reads the latest values once and then their changes, and records when the
// copy was last confirmed to be current.
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

// Follower follows one source. All methods but Run may be called concurrently.
type Follower[T any] struct {
	source   Source[T]
	listener Listener[T]
	settings Settings
	logger   *slog.Logger
	now      func() time.Time
	epochs   *epoch.Watch
	tail     *Tail
	contents *contents[T]

	// confirmedAt is the start of the last read that confirmed the values as
	// current. It is nil before the first confirmation, and never decreases.
	confirmedAt atomic.Pointer[time.Time]
	// invalid counts the values that could not be decoded.
	invalid atomic.Int64
	// cancelRound ends the current read, or the wait before the next one.
	cancelRound atomic.Pointer[context.CancelCauseFunc]
	// confirmed is closed on the first confirmation.
	confirmed chan struct{}
}

// New returns a follower of source that passes changes to listener. It reads nothing before Run.
func New[T any](
	source Source[T], listener Listener[T], settings Settings, epochs *epoch.Watch, logger *slog.Logger,
	now func() time.Time,
) *Follower[T] {
	return &Follower[T]{
		source: source, listener: listener, settings: settings, epochs: epochs, logger: logger, now: now,
		tail: NewTail(now), contents: newContents(source.Newer), confirmed: make(chan struct{}),
	}
}

// Age returns the time since the values were last confirmed to be current. It
// reports false before the first confirmation.
func (follower *Follower[T]) Age() (time.Duration, bool) {
	confirmedAt := follower.confirmedAt.Load()
	if confirmedAt == nil {
		return 0, false
	}
	return follower.now().Sub(*confirmedAt), true
}

// Confirmed returns a channel that is closed on the first confirmation. The listener has received the values before:
// otherwise the confirmation would cover values that the listener does not have yet.
func (follower *Follower[T]) Confirmed() <-chan struct{} {
	return follower.confirmed
}

// InvalidCount returns how many values could not be decoded so far.
func (follower *Follower[T]) InvalidCount() int64 {
	return follower.invalid.Load()
}

// Refresh ends the current read, or the wait before the next one, and reads again at once. It must be called after a
// suspension of the machine: a response to the earlier read confirms only old values, and timers did not run during the
// suspension.
func (follower *Follower[T]) Refresh() {
	if cancelRound := follower.cancelRound.Load(); cancelRound != nil {
		(*cancelRound)(errRefreshed)
	}
}

// Tail returns the tail from which peers can read the values and their changes.
func (follower *Follower[T]) Tail() *Tail {
	return follower.tail
}

// errRefreshed is the cause with which Refresh cancels a round.
var errRefreshed = errors.New("read restarted by Refresh")

// Run follows the source until ctx is done. It must be called once.
func (follower *Follower[T]) Run(ctx context.Context) {
	current := progress{backoff: follower.settings.RetryMin}
	for ctx.Err() == nil {
		round, cancelRound := context.WithCancelCause(ctx)
		follower.cancelRound.Store(&cancelRound)
		current = follower.round(round, current)
		current.immediate = errors.Is(context.Cause(round), errRefreshed)
		cancelRound(nil)
	}
}

// progress is the state of a follower between two reads.
type progress struct {
	position Position
	// backoff is the delay after the next failure.
	backoff time.Duration
	// lost says that the last read from the source failed.
	lost bool
	// immediate says that the next read must not wait for a change, since a confirmation is needed at once.
	immediate bool
	// unsettled says that the last page was unsettled, so that all values are to be read again once the source has
	// settled.
	unsettled bool
}

// round reads once, waits until the next read may start, and returns the new progress.
func (follower *Follower[T]) round(ctx context.Context, current progress) progress {
	waiting := follower.settings.Wait
	if current.lost || current.immediate {
		waiting = 0 // a response without changes confirms the values; waiting for a change would delay it
	}
	if current.unsettled {
		current, waiting = follower.planUnsettledRead(current, waiting)
	}
	startedAt := follower.now()
	next, unsettled, err := follower.read(ctx, current.position, waiting)
	switch {
	case err == nil:
		if current.lost {
			follower.logger.Info("source is responding again", "source", follower.source.Name, "position", next)
			follower.listener.Regained()
		}
		wait.For(ctx, follower.settings.MinInterval-follower.now().Sub(startedAt))
		return progress{position: next, backoff: follower.settings.RetryMin, unsettled: unsettled}
	case ctx.Err() != nil:
		return current
	case errors.Is(err, ErrTrimmed) && current.position != (Position{}):
		follower.logger.Warn("source no longer has the requested changes; reading all values",
			"source", follower.source.Name, "position", current.position)
		current.position = Position{}
		return current
	}
	if !current.lost {
		current.lost = true
		follower.logger.Warn("source is not responding", "source", follower.source.Name, "position", current.position, "error", err)
		follower.listener.Lost()
		follower.tail.MarkLost()
	}
	wait.For(ctx, current.backoff)
	current.backoff = min(2*current.backoff, follower.settings.RetryMax)
	return current
}

// minUnsettledWait is the smallest limit on the wait of a read while the source is unsettled.
const minUnsettledWait = 100 * time.Millisecond

// planUnsettledRead returns the position and the wait of the next read after an unsettled page: until the source has settled the
// read waits for changes, and then it requests all values.
func (follower *Follower[T]) planUnsettledRead(current progress, waiting time.Duration) (progress, time.Duration) {
	if remaining := follower.settledAt().Sub(follower.now()); remaining > 0 {
		return current, min(waiting, max(remaining, minUnsettledWait))
	}
	current.position = Position{}
	return current, min(waiting, minUnsettledWait)
}

// read reads all values or changes, for which it waits up to waiting. It returns the position of the next read, and
// whether the page was unsettled.
func (follower *Follower[T]) read(ctx context.Context, from Position, waiting time.Duration) (Position, bool, error) {
	startedAt := follower.now()
	page, err := follower.source.Log.Read(ctx, from, waiting)
	if err != nil {
		return from, false, err //nolint:wrapcheck // the log adds the context
	}
	if !page.Whole && page.Epoch != from.Epoch {
		return from, false, errors.Wrap(ErrTrimmed, "page is of another epoch")
	}
	// If a peer marks a page as unsettled, its age is that of a confirmation before the rollback, which remains valid.
	confirms := page.Unsettled || follower.isSettled(startedAt)
	page.Unsettled = page.Unsettled || !confirms
	follower.applyPage(&page)
	follower.confirm(page, startedAt, confirms)
	return page.Position(), page.Unsettled, nil
}

// isSettled reports whether moment is late enough after a rollback of the source that the lost records have been
// written again.
func (follower *Follower[T]) isSettled(moment time.Time) bool {
	return follower.epochs.IncreasedAt().IsZero() || !moment.Before(follower.settledAt())
}

// settledAt returns the end of the time in which the records that the source lost in the last rollback may be written
// again.
func (follower *Follower[T]) settledAt() time.Time {
	return follower.epochs.IncreasedAt().Add(follower.settings.SettleTime)
}

// applyPage merges a page into the values, passes the resulting changes to the listener, and replaces the records of
// the page by them.
func (follower *Follower[T]) applyPage(page *Page) {
	entries := follower.decode(page.Records)
	now := follower.now()
	if page.Whole {
		entries = follower.contents.replace(entries, page.Unsettled, now)
	} else {
		entries = follower.contents.change(entries, now)
	}
	page.Records = make([]Record, 0, len(entries))
	changes := make([]Change[T], 0, len(entries))
	for _, entry := range entries {
		page.Records = append(page.Records, entry.record)
		changes = append(changes, entry.change)
	}
	switch {
	case page.Whole:
		follower.listener.Replace(changes)
	case len(changes) > 0:
		follower.listener.Apply(changes)
	}
}

// confirm adds a page to the tail, and records that it confirms the values if confirms is true and, for a strict source,
// no value is outdated. A page of an unsettled source or with outdated values must not confirm them: a key that was
// removed would be accepted again.
func (follower *Follower[T]) confirm(page Page, startedAt time.Time, confirms bool) {
	last := follower.confirmedAt.Load()
	if !confirms || (follower.source.Strict && len(follower.contents.outdated) > 0) {
		follower.tail.Add(page, time.Time{})
		return
	}
	confirmedAt := startedAt.Add(-page.Age)
	follower.tail.Add(page, confirmedAt)
	if last == nil || confirmedAt.After(*last) {
		follower.confirmedAt.Store(&confirmedAt)
	}
	if last == nil {
		close(follower.confirmed)
	}
}

// decode decodes records. A record that cannot be decoded is logged and counted.
func (follower *Follower[T]) decode(records []Record) []entry[T] {
	entries := make([]entry[T], 0, len(records))
	for _, record := range records {
		change := Change[T]{Key: record.Key}
		if len(record.Value) > 0 {
			value, err := follower.source.Decode(record.Key, record.Value)
			if errors.Is(err, ErrIgnoredKey) {
				continue
			}
			if err != nil {
				follower.logger.Error("could not decode record",
					"source", follower.source.Name, "key", record.Key, "error", err)
				follower.invalid.Add(1)
				if !follower.source.ReportInvalid {
					continue
				}
				change.Invalid = true
			} else {
				change.Value = &value
			}
		}
		entries = append(entries, entry[T]{record: record, change: change})
	}
	return entries
}
