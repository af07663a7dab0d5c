package losses

// Cause is why a request was not served in time, or CauseInTime.
type Cause string

// Causes, in the order of tables.
const (
	// CauseInTime: served within the objective.
	CauseInTime Cause = "in time"
	// CauseQueued: late, since it was queued for too long to meet the objective.
	CauseQueued Cause = "late: waited for a place"
	// CauseTooFewServers: late as predicted, since the prefill was split among too few servers.
	CauseTooFewServers Cause = "late: read by too few"
	// CauseSlowPrefill: late, since the prefill took longer than predicted.
	CauseSlowPrefill Cause = "late: read longer"
	// CauseRetried: late, since an attempt failed and the request was retried.
	CauseRetried Cause = "late: sent again"
	// CauseContested: late, since another VM assigned requests to the same servers.
	CauseContested Cause = "late: contested"
	// CauseInterTokenLatency: first event in time, but the inter-token latency exceeded its objective.
	CauseInterTokenLatency Cause = "late: pause"
	// CauseSlowServer: a complete but late response of a service that is not a model engine.
	CauseSlowServer Cause = "late: server slow"
	// CauseNoCapacity: rejected after it was queued.
	CauseNoCapacity Cause = "refused: no place"
	// CauseOverShare: rejected, since its organisation used up its share of the servers.
	CauseOverShare Cause = "refused: over its share"
	// CauseRetryBudget: rejected, since the retry budget was exhausted.
	CauseRetryBudget Cause = "refused: retry budget"
	// CauseNoConfiguration: rejected, since the VM had no configuration or a stale one.
	CauseNoConfiguration Cause = "refused: store away"
	// CauseVMStopping: rejected or truncated, since the VM was stopping.
	CauseVMStopping Cause = "cut: VM stops"
	// CauseVMKilled: the log has no end of the request, so its VM was killed.
	CauseVMKilled Cause = "cut: VM killed"
	// CauseCallerGone: the caller disconnected before the response was complete.
	CauseCallerGone Cause = "caller left"
	// CauseDeadlineExceeded: no response before the caller's deadline.
	CauseDeadlineExceeded Cause = "failed: time over"
	// CauseServerFailed: failed by a server.
	CauseServerFailed Cause = "failed: servers"
	// CauseInvalidRequest: malformed, or not allowed by the configuration.
	CauseInvalidRequest Cause = "rejected"
)

// Causes returns all causes in the order of tables.
func Causes() []Cause {
	return []Cause{
		CauseInTime, CauseQueued, CauseTooFewServers, CauseSlowPrefill, CauseRetried, CauseContested, CauseInterTokenLatency, CauseSlowServer,
		CauseNoCapacity, CauseOverShare, CauseRetryBudget, CauseNoConfiguration, CauseVMStopping, CauseVMKilled, CauseCallerGone, CauseDeadlineExceeded, CauseServerFailed,
		CauseInvalidRequest,
	}
}

// lost reports whether a better system could have served requests with the
// cause in time.
func (cause Cause) lost() bool {
	return cause != CauseInTime && cause != CauseInvalidRequest
}
