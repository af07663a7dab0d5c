package entry

import (
	"context"
	"time"

	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const (
	// finishTimeout is the timeout for recording the outcome of a request, which no
	// caller waits for.
	finishTimeout = 2 * time.Minute
	// abandonedWatchTime is how long the log is watched for an abandoned begin record. If
	// the record takes effect later, a keeper settles the request as one that may
	// have run.
	abandonedWatchTime = 10 * time.Minute
)

// claimKey proposes a begin record, which grants the right to dispatch a request with
// a key. If the key is not granted, it returns the outcome of the request, which
// was not run, and reports false.
func (forwarder *forwarder) claimKey(ctx context.Context) (request.Outcome, bool) {
	entry := forwarder.entry
	record := forwarder.beginRecord()
	verdict, err := entry.proposer.Propose(ctx, record)
	if err != nil {
		// The record may still take effect. That is safe: only this request could
		// be dispatched for it, and it ends here.
		entry.watchAbandoned(forwarder.request.WithoutBody(), record)
		outcome := forwarder.interruptedOutcome(ctx)
		if outcome.Reason == request.ReasonDeadline {
			outcome.Reason = request.ReasonLogUnavailable
		}
		return outcome, false
	}
	entry.logger.Info("key claim decided", "request_id", forwarder.request.ID, "key", forwarder.request.Key.Value,
		"granted", verdict.Accepted, "reason", verdict.Reason, "version", verdict.Version)
	if verdict.Accepted {
		forwarder.fence = uint64(verdict.Version)
		return request.Outcome{}, true
	}
	return request.NotRun(keyRefusalReason(verdict.Reason), 0), false
}

func (forwarder *forwarder) beginRecord() *wire.Record {
	var expected statemachine.Version
	forwarder.entry.replica.View(func(state *state.State) {
		if attempt, ok := state.Ledger.Get(forwarder.request.Key); ok {
			expected = attempt.Version
		}
	})
	return &wire.Record{
		Id: "begin/" + forwarder.request.ID,
		Body: &wire.Record_Begin{Begin: &wire.Begin{
			Key:             forwarder.request.Key.Wire(),
			RequestId:       forwarder.request.ID,
			Owner:           forwarder.entry.incarnation,
			ExpectedVersion: uint64(expected),
			TimeMs:          uint64(forwarder.request.TimeLimit.Milliseconds()), //nolint:gosec // checked to be positive
			ContentDigest:   forwarder.request.Digest(),
		}},
	}
}

func keyRefusalReason(reason statemachine.Reason) request.Reason {
	switch reason {
	case statemachine.ReasonKeyExpired:
		return request.ReasonKeyExpired
	case statemachine.ReasonContentDiffers:
		return request.ReasonKeyContentDiffers
	default:
		return request.ReasonKeyConflict
	}
}

// watchAbandoned watches the log, in the background, for the begin record of a request
// that has ended, and releases the key if it is granted after all.
func (entry *Entry) watchAbandoned(abandoned request.Request, begin *wire.Record) {
	entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(entry.baseContext, abandonedWatchTime)
		defer cancel()
		for {
			changed := entry.replica.Changed()
			if entry.holdsKey(abandoned) {
				entry.proposeFinish(ctx, abandoned, request.NotRun(request.ReasonLogUnavailable, 0))
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				entry.logger.Info("abandoned begin record has not taken effect; no longer watching for it", "request_id", abandoned.ID, "record_id", begin.GetId())
				return
			}
		}
	})
}

// holdsKey reports whether the key of a request is granted to it and its outcome is
// not recorded yet.
func (entry *Entry) holdsKey(granted request.Request) bool {
	attempt, ok := entry.attemptOfRequest(granted.ID)
	return ok && attempt.Running()
}

func (entry *Entry) attemptOfRequest(requestID string) (ledger.Attempt, bool) {
	var attempt ledger.Attempt
	var ok bool
	entry.replica.View(func(state *state.State) {
		attempt, ok = state.Ledger.GetByRequest(requestID)
	})
	return attempt, ok
}

// recordFinish records the outcome of a request with a key in the log, in the
// background, so that the response is not delayed. A request that was not run and
// was not granted its key has nothing to record.
func (entry *Entry) recordFinish(ended request.Request, outcome request.Outcome) {
	if !entry.holdsKey(ended) && outcome.Kind == request.KindFailedNotRun {
		return
	}
	entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(entry.baseContext, finishTimeout)
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

// grantedAttempt returns the attempt that was granted the key and has not released it, if
// there is one. The key cannot be submitted again then.
func (entry *Entry) grantedAttempt(key ledger.Key) (ledger.Attempt, bool) {
	var attempt ledger.Attempt
	var ok bool
	entry.replica.View(func(state *state.State) {
		attempt, ok = state.Ledger.Get(key)
	})
	return attempt, ok && !attempt.Retryable()
}
