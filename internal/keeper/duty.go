package keeper

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Keys by which keepers agree who does what.
const (
	checkpointDuty = "checkpoint"
	horizonDuty    = "horizon"
)

// horizonStep is the least by which the horizon is moved.
const horizonStep = time.Minute

// reasonOwnerSilent is the reason of attempts that a keeper settles.
const reasonOwnerSilent = "owner gave no outcome in time"

// duties is the work that one keeper must do for all: checkpoints, the horizon
// of keys, and attempts whose owner is silent. The first by rendezvous does it
// at once, the others each wait a while longer. Twice is harmless.
type duties struct {
	vm          string
	settings    Settings
	replica     *replica.Replica
	appender    *appender
	checkpoints infra.Log
	// vms returns the names of the live VMs of the system.
	vms     func() []string
	metrics *metrics
	logger  *slog.Logger

	// running has since when this keeper knows an attempt to be running.
	running map[string]time.Time
	// horizonDue is when the horizon was first seen to be due, or zero.
	horizonDue time.Time
}

// run does the duties until ctx is done.
func (duties *duties) run(ctx context.Context) {
	ticker := time.NewTicker(duties.settings.Intervals.Duty)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			duties.settleSilent(now)
			duties.advanceHorizon(now)
		case <-ctx.Done():
			return
		}
	}
}

// delay is how long this keeper leaves the duty with that key to others.
func (duties *duties) delay(key string) time.Duration {
	rank := rendezvous.Rank(key, duties.vm, duties.vms())
	return time.Duration(rank) * duties.settings.Intervals.Duty
}

// settleSilent settles attempts that run for longer than their stated time.
// Their owner may have dispatched them, so they may have run.
func (duties *duties) settleSilent(now time.Time) {
	var running []ledger.Attempt
	duties.replica.View(func(state *state.State) { running = state.Ledger.Running() })
	known := make(map[string]time.Time, len(running))
	for _, attempt := range running {
		since, ok := duties.running[attempt.RequestID]
		if !ok {
			since = now
		}
		known[attempt.RequestID] = since
		allowed := attempt.Time + duties.settings.Keys.SettleAfter
		if now.Sub(since) < allowed+duties.delay(attempt.RequestID) {
			continue
		}
		duties.settle(attempt)
	}
	duties.running = known
}

func (duties *duties) settle(attempt ledger.Attempt) {
	duties.logger.Info("attempt settled", "request_id", attempt.RequestID, "owner", attempt.Owner,
		"reason", reasonOwnerSilent)
	err := duties.appender.propose(&wire.Record{
		Id: "settle/" + attempt.RequestID,
		Body: &wire.Record_Finish{Finish: &wire.Finish{
			Key:       attempt.Key.Wire(),
			RequestId: attempt.RequestID,
			Outcome:   wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN,
			Reason:    reasonOwnerSilent,
		}},
	})
	if err != nil {
		duties.logger.Warn("attempt could not be settled", "request_id", attempt.RequestID, "error", err)
		return
	}
	duties.metrics.settled.Inc()
}

// advanceHorizon drops keys older than the window.
func (duties *duties) advanceHorizon(now time.Time) {
	var horizon uint64
	var keys int
	duties.replica.View(func(state *state.State) {
		horizon = state.Ledger.Horizon()
		keys = state.Ledger.Len()
	})
	wanted := now.Add(-duties.settings.Keys.Window).UnixMilli()
	behind := wanted - int64(horizon)
	if keys == 0 || behind < horizonStep.Milliseconds() {
		duties.horizonDue = time.Time{}
		return
	}
	if duties.horizonDue.IsZero() {
		duties.horizonDue = now
	}
	if now.Sub(duties.horizonDue) < duties.delay(horizonDuty) {
		return
	}
	duties.horizonDue = time.Time{}
	err := duties.appender.propose(&wire.Record{
		Id:   "horizon/" + uuid.NewString(),
		Body: &wire.Record_AdvanceHorizon{AdvanceHorizon: &wire.AdvanceHorizon{KeyTimeMs: uint64(wanted)}},
	})
	if err != nil {
		duties.logger.Warn("horizon could not be moved", "error", err)
	}
}

// runCheckpoints watches the stream of checkpoints, and writes one when the
// newest is too old, until ctx is done.
func (duties *duties) runCheckpoints(ctx context.Context) {
	reader := newCheckpointReader()
	next := uint64(0)
	seen := time.Now()
	for ctx.Err() == nil {
		due := seen.Add(duties.settings.Log.CheckpointInterval + duties.delay(checkpointDuty))
		if time.Now().After(due) && duties.replica.Next() > 0 {
			duties.writeCheckpoint(ctx)
			seen = time.Now()
		}
		reading, cancel := context.WithTimeout(ctx, duties.settings.Intervals.Duty)
		page, err := duties.checkpoints.Read(reading, next)
		cancel()
		if expired, ok := asExpired(err); ok {
			next = expired.First
			continue
		}
		if err != nil {
			wait.For(ctx, readRetry)
			continue
		}
		for _, entry := range page.Entries {
			next = entry.Offset + 1
			if reader.add(entry) {
				seen = time.Now()
			}
		}
	}
}

func (duties *duties) writeCheckpoint(ctx context.Context) {
	entries, err := splitCheckpoint(duties.replica.Encode())
	if err != nil {
		duties.logger.Error("checkpoint could not be made", "error", err)
		return
	}
	for _, entry := range entries {
		if !duties.appendPart(ctx, entry) {
			return
		}
		wait.For(ctx, duties.settings.Log.AppendInterval)
	}
	duties.metrics.checkpoints.Inc()
	duties.logger.Info("checkpoint written", "parts", len(entries), "next_offset", duties.replica.Next())
}

// appendPart appends a part of a checkpoint until an answer says that it is
// there. A part that is there twice does no harm.
func (duties *duties) appendPart(ctx context.Context, entry []byte) bool {
	deadline := time.Now().Add(duties.settings.Log.CheckpointInterval)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		appending, cancel := context.WithTimeout(ctx, duties.settings.Log.AppendTimeout)
		err := duties.checkpoints.Append(appending, entry)
		cancel()
		if err == nil {
			return true
		}
		duties.logger.Warn("part of a checkpoint not appended", "error", err)
		wait.For(ctx, readRetry)
	}
	return false
}
