package losses

// Cause is why a request was not served in time, or CauseInTime.
type Cause string

// Causes, in the order of tables.
const (
	// CauseInTime: served within the objective.
	CauseNone Cause = "in time"
	// CauseQueued: late, since it was queued for too long to meet the objective.
	CauseWaited Cause = "late: waited for a place"
	// CauseTooFewServers: late as predicted, since the prefill was split among too few servers.
	CauseNarrow Cause = "late: read by too few"
	// CauseSlowPrefill: late, since the prefill took longer than predicted.
	CauseRead Cause = "late: read longer"
	// CauseRetried: late, since an attempt failed and the request was retried.
	CauseAgain Cause = "late: sent again"
	// CauseContested: late, since another VM assigned requests to the same servers.
	CauseContested Cause = "late: contested"
	// CauseInterTokenLatency: first event in time, but the inter-token latency exceeded its objective.
	CausePause Cause = "late: pause"
	// CauseSlowServer: a complete but late response of a service that is not a model engine.
	CauseSlow Cause = "late: server slow"
	// CauseNoCapacity: rejected after it was queued.
	CauseHeld Cause = "refused: no place"
	// CauseRetryBudget: rejected, since the retry budget was exhausted.
	CauseBudget Cause = "refused: retry budget"
	// CauseNoConfiguration: rejected, since the VM had no configuration or a stale one.
	CauseUnknown Cause = "refused: store away"
	// CauseVMStopping: rejected or truncated, since the VM was stopping.
	CauseStopping Cause = "cut: VM stops"
	// CauseVMKilled: the log has no end of the request, so its VM was killed.
	CauseKilled Cause = "cut: VM killed"
	// CauseCallerGone: the caller disconnected before the response was complete.
	CauseLeft Cause = "caller left"
	// CauseDeadlineExceeded: no response before the caller's deadline.
	CauseTime Cause = "failed: time over"
	// CauseServerFailed: failed by a server.
	CauseServer Cause = "failed: servers"
	// CauseInvalidRequest: malformed, or not allowed by the configuration.
	CauseRejected Cause = "rejected"
)

// Causes returns all causes in the order of tables.
func Causes() []Cause {
	return []Cause{
		CauseNone, CauseWaited, CauseNarrow, CauseRead, CauseAgain, CauseContested, CausePause, CauseSlow,
		CauseHeld, CauseBudget, CauseUnknown, CauseStopping, CauseKilled, CauseLeft, CauseTime, CauseServer,
		CauseRejected,
	}
}

// lost reports whether a better system could have served requests with the
// cause in time.
func (cause Cause) lost() bool {
	return cause != CauseNone && cause != CauseRejected
}
