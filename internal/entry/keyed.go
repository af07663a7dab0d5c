package entry

import (
	"context"
	"time"

	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Time for records that no caller waits for.
const (
	finishTime = 2 * time.Minute
	// abandonTime is how long a begin record that was given up is watched
	// for. If it lands later, a keeper settles it as one that may have run.
	abandonTime = 10 * time.Minute
)

// begin asks the log for the right to dispatch a request with a key. Without
// it, it returns the outcome: nothing was run by this request.
func (run *run) begin(ctx context.Context) (request.Outcome, bool) {
	entry := run.entry
	record := run.beginRecord()
	verdict, err := entry.proposer.Propose(ctx, record)
	if err != nil {
		// The record may still land, but only this run could act on it, and
		// it never will.
		entry.abandon(run.request.WithoutBody(), record)
		outcome := run.interrupted(ctx)
		if outcome.Reason == request.ReasonDeadline {
			outcome.Reason = request.ReasonLogUnavailable
		}
		return outcome, false
	}
	entry.logger.Info("key decided", "request_id", run.request.ID, "key", run.request.Key.Value,
		"granted", verdict.Accepted, "reason", verdict.Reason, "version", verdict.Version)
	if verdict.Accepted {
		run.fence = uint64(verdict.Version)
		return request.Outcome{}, true
	}
	return request.NotRun(refusalReason(verdict.Reason), 0), false
}

func (run *run) beginRecord() *wire.Record {
	var expected fold.Version
	run.entry.replica.View(func(state *state.State) {
		if attempt, ok := state.Ledger.Get(run.request.Key); ok {
			expected = attempt.Version
		}
	})
	return &wire.Record{
		Id: "begin/" + run.request.ID,
		Body: &wire.Record_Begin{Begin: &wire.Begin{
			Key:             run.request.Key.Wire(),
			RequestId:       run.request.ID,
			Owner:           run.entry.incarnation,
			ExpectedVersion: uint64(expected),
			TimeMs:          uint64(run.request.Time.Milliseconds()), //nolint:gosec // checked to be positive
			ContentDigest:   run.request.Digest(),
		}},
	}
}

func refusalReason(reason fold.Reason) request.Reason {
	switch reason {
	case fold.ReasonKeyExpired:
		return request.ReasonKeyExpired
	case fold.ReasonContentDiffers:
		return request.ReasonKeyContent
	default:
		return request.ReasonKeyConflict
	}
}

// abandon watches for a begin record that was given up, and releases the key
// should it still be granted.
func (entry *Entry) abandon(given request.Request, begin *wire.Record) {
	entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(entry.life, abandonTime)
		defer cancel()
		for {
			moved := entry.replica.Moved()
			if entry.owns(given) {
				entry.proposeFinish(ctx, given, request.NotRun(request.ReasonLogUnavailable, 0))
				return
			}
			select {
			case <-moved:
			case <-ctx.Done():
				entry.logger.Info("abandoned key not seen", "request_id", given.ID, "record_id", begin.GetId())
				return
			}
		}
	})
}

// owns reports whether the key is granted to that request and not settled.
func (entry *Entry) owns(given request.Request) bool {
	attempt, ok := entry.attemptOf(given.ID)
	return ok && attempt.Running()
}

func (entry *Entry) attemptOf(requestID string) (ledger.Attempt, bool) {
	var attempt ledger.Attempt
	var ok bool
	entry.replica.View(func(state *state.State) {
		attempt, ok = state.Ledger.OfRequest(requestID)
	})
	return attempt, ok
}

// recordFinish puts the outcome of a request with a key on the log, without
// holding back the answer. A request that was granted nothing has nothing to
// record.
func (entry *Entry) recordFinish(ended request.Request, outcome request.Outcome) {
	if !entry.owns(ended) && outcome.Kind == request.KindFailedNotRun {
		return
	}
	entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(entry.life, finishTime)
		defer cancel()
		entry.proposeFinish(ctx, ended, outcome)
	})
}

func (entry *Entry) proposeFinish(ctx context.Context, ended request.Request, outcome request.Outcome) {
	verdict, err := entry.proposer.Propose(ctx, &wire.Record{
		Id: "finish/" + ended.ID,
		Body: &wire.Record_Finish{Finish: &wire.Finish{
			Key:       ended.Key.Wire(),
			RequestId: ended.ID,
			Outcome:   outcome.Wire(),
			Reason:    string(outcome.Reason),
			Server:    outcome.Server,
		}},
	})
	if err != nil || !verdict.Accepted {
		entry.logger.Warn("outcome not recorded", "request_id", ended.ID, "outcome", outcome.Kind,
			"verdict", verdict.Reason, "error", err)
	}
}

// earlier returns the attempt that stands in the way of submitting the key
// again, if there is one.
func (entry *Entry) earlier(key ledger.Key) (ledger.Attempt, bool) {
	var attempt ledger.Attempt
	var ok bool
	entry.replica.View(func(state *state.State) {
		attempt, ok = state.Ledger.Get(key)
	})
	return attempt, ok && !attempt.Released()
}
