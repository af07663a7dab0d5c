package ledger

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Attempt is the request that was granted a key, and so may be dispatched, with its
// outcome. It is immutable.
type Attempt struct {
	Key       Key
	RequestID string
	// Owner is the run of the entry process (one start of it) that may dispatch the
	// attempt. It never changes.
	Owner string
	// Version changes with each accepted record about the attempt. While
	// Outcome is unspecified it is the fencing token of the dispatch.
	Version statemachine.Version
	// Time is the time limit that the caller set for the request.
	Time time.Duration
	// ContentDigest is a hash of the request. A key is refused for other content.
	ContentDigest uint64
	// Outcome is unspecified while the attempt may still be running.
	Outcome wire.Outcome
	// Reason explains an outcome other than completed.
	Reason string
	// Server is the ID of the backend server that ran the request.
	Server string
}

// Running reports whether the attempt has no outcome yet.
func (attempt Attempt) Running() bool {
	return attempt.Outcome == wire.Outcome_OUTCOME_UNSPECIFIED
}

// Retryable reports whether the key may be granted to another request, because it
// is certain that nothing ran.
func (attempt Attempt) Retryable() bool {
	return attempt.Outcome == wire.Outcome_OUTCOME_FAILED_NOT_RUN
}

// WithOutcome returns a copy of the attempt with the outcome of finish, which was
// accepted as version.
func (attempt Attempt) WithOutcome(finish *wire.Finish, version statemachine.Version) Attempt {
	attempt.Outcome = finish.GetOutcome()
	attempt.Reason = finish.GetReason()
	attempt.Server = finish.GetServer()
	attempt.Version = version
	return attempt
}

// Wire returns the attempt as it is encoded in a checkpoint.
func (attempt Attempt) Wire() *wire.Attempt {
	return &wire.Attempt{
		Key:           attempt.Key.Wire(),
		RequestId:     attempt.RequestID,
		Owner:         attempt.Owner,
		Version:       uint64(attempt.Version),
		TimeMs:        uint64(attempt.Time.Milliseconds()), //nolint:gosec // never negative
		Outcome:       attempt.Outcome,
		Reason:        attempt.Reason,
		Server:        attempt.Server,
		ContentDigest: attempt.ContentDigest,
	}
}

func newAttempt(key Key, record *wire.Attempt) Attempt {
	return Attempt{
		Key:           key,
		RequestID:     record.GetRequestId(),
		Owner:         record.GetOwner(),
		Version:       statemachine.Version(record.GetVersion()),
		Time:          time.Duration(record.GetTimeMs()) * time.Millisecond, //nolint:gosec // bounded by the API
		ContentDigest: record.GetContentDigest(),
		Outcome:       record.GetOutcome(),
		Reason:        record.GetReason(),
		Server:        record.GetServer(),
	}
}
