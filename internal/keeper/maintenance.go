package keeper

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Rendezvous keys that rank the keepers for each kind of maintenance.
const (
	checkpointKey = "checkpoint"
	horizonKey    = "horizon"
)

// horizonStep is the minimum amount by which the horizon is advanced.
const horizonStep = time.Minute

// reasonNoOutcome is the reason recorded for attempts that a keeper fails because
// their owner recorded no outcome in time.
const reasonNoOutcome = "owner gave no outcome in time"

// maintenance is the work that one keeper does on behalf of all: it writes
// checkpoints, advances the horizon, which is the oldest creation time of keys that
// are kept, and fails attempts whose owner recorded no outcome. The keeper that
// rendezvous hashing ranks first acts at once, and each lower rank waits longer.
// Doing the same work twice is harmless.
type maintenance struct {
	vm          string
	settings    Settings
	replica     *replica.Replica
	appender    *appender
	checkpoints platformclient.Log
	// vms returns the names of the live VMs of the system.
	vms     func() []string
	metrics *metrics
	logger  *slog.Logger

	// running is when this keeper first observed each running attempt, by request ID.
	running map[string]time.Time
	// horizonDueSince is when the horizon was first observed to lag by horizonStep or
	// more, or zero if it does not.
	horizonDueSince time.Time
}

// run fails overdue attempts and advances the horizon until ctx is done.
func (maintenance *maintenance) run(ctx context.Context) {
	ticker := time.NewTicker(maintenance.settings.Intervals.Maintenance)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			maintenance.failOverdue(now)
			maintenance.advanceHorizon(now)
		case <-ctx.Done():
			return
		}
	}
}

// backupDelay is how long this keeper waits for keepers of higher rank to do the
// work with that key.
func (maintenance *maintenance) backupDelay(key string) time.Duration {
	rank := rendezvous.Rank(key, maintenance.vm, maintenance.vms())
	return time.Duration(rank) * maintenance.settings.Intervals.Maintenance
}

// failOverdue fails attempts that have run for longer than their timeout plus
// SettleAfter. Their owner may have dispatched them, so they may have run.
func (maintenance *maintenance) failOverdue(now time.Time) {
	var running []ledger.Attempt
	maintenance.replica.View(func(state *state.State) { running = state.Ledger.Running() })
	firstObserved := make(map[string]time.Time, len(running))
	for _, attempt := range running {
		since, ok := maintenance.running[attempt.RequestID]
		if !ok {
			since = now
		}
		firstObserved[attempt.RequestID] = since
		allowed := attempt.Time + maintenance.settings.Keys.SettleAfter
		if now.Sub(since) < allowed+maintenance.backupDelay(attempt.RequestID) {
			continue
		}
		maintenance.fail(attempt)
	}
	maintenance.running = firstObserved
}

// fail proposes a record that ends the attempt as failed.
func (maintenance *maintenance) fail(attempt ledger.Attempt) {
	maintenance.logger.Info("attempt has no outcome in time; recording that it failed", "request_id", attempt.RequestID, "owner", attempt.Owner,
		"reason", reasonNoOutcome)
	err := maintenance.appender.propose(&wire.Record{
		Id: "settle/" + attempt.RequestID,
		Body: &wire.Record_Finish{Finish: &wire.Finish{
			Key:       attempt.Key.Wire(),
			RequestId: attempt.RequestID,
			Outcome:   wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN,
			Reason:    reasonNoOutcome,
		}},
	})
	if err != nil {
		maintenance.logger.Warn("failed to propose the outcome of an overdue attempt", "request_id", attempt.RequestID, "error", err)
		return
	}
	maintenance.metrics.settled.Inc()
}

// advanceHorizon proposes to drop keys older than the window.
func (maintenance *maintenance) advanceHorizon(now time.Time) {
	var horizon uint64
	var keys int
	maintenance.replica.View(func(state *state.State) {
		horizon = state.Ledger.Horizon()
		keys = state.Ledger.Len()
	})
	target := now.Add(-maintenance.settings.Keys.Window).UnixMilli()
	lag := target - int64(horizon)
	if keys == 0 || lag < horizonStep.Milliseconds() {
		maintenance.horizonDueSince = time.Time{}
		return
	}
	if maintenance.horizonDueSince.IsZero() {
		maintenance.horizonDueSince = now
	}
	if now.Sub(maintenance.horizonDueSince) < maintenance.backupDelay(horizonKey) {
		return
	}
	maintenance.horizonDueSince = time.Time{}
	err := maintenance.appender.propose(&wire.Record{
		Id:   "horizon/" + uuid.NewString(),
		Body: &wire.Record_AdvanceHorizon{AdvanceHorizon: &wire.AdvanceHorizon{KeyTimeMs: uint64(target)}},
	})
	if err != nil {
		maintenance.logger.Warn("failed to propose advancing the horizon", "error", err)
	}
}

// runCheckpoints reads the stream of checkpoints, and writes a checkpoint when the
// newest one is too old, until ctx is done.
func (maintenance *maintenance) runCheckpoints(ctx context.Context) {
	reader := newCheckpointReader()
	next := uint64(0)
	newestAt := time.Now()
	for ctx.Err() == nil {
		writeAt := newestAt.Add(maintenance.settings.Log.CheckpointInterval + maintenance.backupDelay(checkpointKey))
		if time.Now().After(writeAt) && maintenance.replica.Next() > 0 {
			maintenance.writeCheckpoint(ctx)
			newestAt = time.Now()
		}
		readCtx, cancel := context.WithTimeout(ctx, maintenance.settings.Intervals.Maintenance)
		page, err := maintenance.checkpoints.Read(readCtx, next)
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
				newestAt = time.Now()
			}
		}
	}
}

// writeCheckpoint appends a checkpoint of the replica's state. It logs errors and
// gives up on the checkpoint if a part cannot be appended.
func (maintenance *maintenance) writeCheckpoint(ctx context.Context) {
	entries, err := splitCheckpoint(maintenance.replica.Encode())
	if err != nil {
		maintenance.logger.Error("failed to encode the checkpoint", "error", err)
		return
	}
	for _, entry := range entries {
		if !maintenance.appendPart(ctx, entry) {
			return
		}
		wait.For(ctx, maintenance.settings.Log.AppendInterval)
	}
	maintenance.metrics.checkpoints.Inc()
	maintenance.logger.Info("checkpoint written", "parts", len(entries), "next_offset", maintenance.replica.Next())
}

// appendPart retries until the log acknowledges the part of a checkpoint or the
// checkpoint interval is over, and reports whether it was acknowledged. Duplicate
// parts are harmless, since readers ignore them.
func (maintenance *maintenance) appendPart(ctx context.Context, entry []byte) bool {
	deadline := time.Now().Add(maintenance.settings.Log.CheckpointInterval)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		appendCtx, cancel := context.WithTimeout(ctx, maintenance.settings.Log.AppendTimeout)
		err := maintenance.checkpoints.Append(appendCtx, entry)
		cancel()
		if err == nil {
			return true
		}
		maintenance.logger.Warn("failed to append a checkpoint part; retrying", "error", err)
		wait.For(ctx, readRetry)
	}
	return false
}
