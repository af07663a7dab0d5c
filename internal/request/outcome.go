package request

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/wire"
)

// Kind is the kind of outcome of a request, as it appears in responses.
type Kind string

// Kinds of outcome. Every admitted request ends with exactly one of them.
const (
	KindCompleted        Kind = "completed"
	KindFailedNotRun     Kind = "failed_not_run"
	KindFailedMayHaveRun Kind = "failed_may_have_run"
)

// Reason is the reason why a request did not complete, as it appears in responses.
type Reason string

// Reasons for which requests fail. ReasonNone stands for no failure.
const (
	ReasonNone              Reason = ""
	ReasonCancelled         Reason = "cancelled"
	ReasonCallerGone        Reason = "caller_gone"
	ReasonCrashesServers    Reason = "crashes_servers"
	ReasonDeadline          Reason = "deadline"
	ReasonEngineFailed      Reason = "backend_server_failed"
	ReasonEngineRefused     Reason = "backend_server_refused"
	ReasonKeyConflict       Reason = "key_in_use"
	ReasonKeyContentDiffers Reason = "key_of_other_content"
	ReasonKeyExpired        Reason = "key_expired"
	ReasonLogUnavailable    Reason = "log_unavailable"
	ReasonNoServer          Reason = "no_backend_server"
	ReasonInsufficientTime  Reason = "stated_time_cannot_be_met"
	ReasonOrganisationLimit Reason = "organisation_limit"
	ReasonOverload          Reason = "overload"
	ReasonOwnerLost         Reason = "owner_lost"
	ReasonRetryBudget       Reason = "retry_budget_spent"
	ReasonStopping          Reason = "vm_stopping"
	ReasonPromptTooLong     Reason = "prompt_too_long"
)

// Outcome is how a request ended.
type Outcome struct {
	Kind   Kind   `json:"outcome"`
	Reason Reason `json:"reason,omitempty"`
	// RetryAfter is the delay before a retry, or zero if a retry is of no use.
	RetryAfter time.Duration `json:"-"`
	// Server is the ID of the backend server that completed the request, or empty.
	Server string `json:"-"`
}

// Completed returns the outcome of a request that the given server completed.
func Completed(server string) Outcome {
	return Outcome{Kind: KindCompleted, Server: server}
}

// NotRun returns the outcome of a failed request that was certainly not run. A zero
// retryAfter means that a retry is of no use.
func NotRun(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Kind: KindFailedNotRun, Reason: reason, RetryAfter: retryAfter}
}

// MayHaveRun returns the outcome of a failed request that may have run, in part or
// completely.
func MayHaveRun(reason Reason) Outcome {
	return Outcome{Kind: KindFailedMayHaveRun, Reason: reason}
}

// Wire returns the kind of the outcome as encoded in log records.
func (outcome Outcome) Wire() wire.Outcome {
	switch outcome.Kind {
	case KindCompleted:
		return wire.Outcome_OUTCOME_COMPLETED
	case KindFailedNotRun:
		return wire.Outcome_OUTCOME_FAILED_NOT_RUN
	default:
		return wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN
	}
}

// OutcomeFromWire returns the outcome that is encoded in a log record. An unknown kind is
// decoded as one that may have run.
func OutcomeFromWire(kind wire.Outcome, reason, server string) Outcome {
	outcome := Outcome{Kind: KindFailedMayHaveRun, Reason: Reason(reason), Server: server}
	switch kind {
	case wire.Outcome_OUTCOME_COMPLETED:
		outcome.Kind = KindCompleted
	case wire.Outcome_OUTCOME_FAILED_NOT_RUN:
		outcome.Kind = KindFailedNotRun
	}
	return outcome
}
