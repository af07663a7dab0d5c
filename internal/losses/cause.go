package losses

// Cause says why a request was not served in time, or that it was.
type Cause string

// Causes, in the order in which tables show them.
const (
	// CauseNone: served in time.
	CauseNone Cause = "in time"
	// CauseWaited: late, since it waited for a place until it could not be in time.
	CauseWaited Cause = "late: waited for a place"
	// CauseNarrow: late as predicted, since too few servers read it.
	CauseNarrow Cause = "late: read by too few"
	// CauseRead: late, since it was read for longer than predicted.
	CauseRead Cause = "late: read longer"
	// CauseAgain: late, since an attempt failed and it was sent again.
	CauseAgain Cause = "late: sent again"
	// CauseContested: late, since another VM took its servers.
	CauseContested Cause = "late: contested"
	// CausePause: in time at first, with a pause that was too long.
	CausePause Cause = "late: pause"
	// CauseSlow: a whole answer of a plain service that came late.
	CauseSlow Cause = "late: server slow"
	// CauseHeld: refused after it waited for a place.
	CauseHeld Cause = "refused: no place"
	// CauseBudget: refused, since the retry budget was spent.
	CauseBudget Cause = "refused: retry budget"
	// CauseUnknown: refused, since no configuration was known, or too old a one.
	CauseUnknown Cause = "refused: store away"
	// CauseStopping: refused or cut, since the VM stops.
	CauseStopping Cause = "cut: VM stops"
	// CauseKilled: without an end on the log, so its VM was killed.
	CauseKilled Cause = "cut: VM killed"
	// CauseLeft: its caller left before the answer was whole.
	CauseLeft Cause = "caller left"
	// CauseTime: without an answer when its time was over.
	CauseTime Cause = "failed: time over"
	// CauseServer: failed by servers.
	CauseServer Cause = "failed: servers"
	// CauseRejected: not allowed by the configuration, or not proper.
	CauseRejected Cause = "rejected"
)

// Causes returns all causes in the order in which tables show them.
func Causes() []Cause {
	return []Cause{
		CauseNone, CauseWaited, CauseNarrow, CauseRead, CauseAgain, CauseContested, CausePause, CauseSlow,
		CauseHeld, CauseBudget, CauseUnknown, CauseStopping, CauseKilled, CauseLeft, CauseTime, CauseServer,
		CauseRejected,
	}
}

// lost reports whether requests of the cause would have been served in time by
// a system that does better.
func (cause Cause) lost() bool {
	return cause != CauseNone && cause != CauseRejected
}
