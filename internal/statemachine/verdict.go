// Package statemachine has the types that the parts of the replicated state share: the version
// of a record, and the verdict on it, which says whether the record was accepted when it
// was applied. All VMs apply the records of the log in the same order.
package statemachine

// MaxBatch is the maximum number of records in one log entry.
const MaxBatch = 1024

// Version orders records. It is computed from the offset of the log entry and the
// index in it, and also serves as the fencing token of what the record granted.
// Zero means that there is no record yet.
type Version uint64

// VersionAt returns the version of the record at index in the log entry at offset. Index must be below MaxBatch.
func VersionAt(offset uint64, index int) Version {
	return Version(offset*MaxBatch + uint64(index) + 1) //nolint:gosec // index is not negative and below MaxBatch
}

// Reason is the reason for which a record was refused. The texts are part of the protocol.
type Reason string

// Reasons for which a record is refused.
const (
	ReasonConflict       Reason = "version conflict"
	ReasonContentDiffers Reason = "key stands for other content"
	ReasonKeyExpired     Reason = "key older than the covered window"
	ReasonMalformed      Reason = "malformed record"
	ReasonNotFound       Reason = "not found"
	ReasonStale          Reason = "already settled"
	ReasonUnknownKind    Reason = "unknown kind of record"
)

// Verdict is the outcome of applying one record. It is the same on every VM that
// applies the log.
type Verdict struct {
	// Accepted is also true for a repetition of an accepted record.
	Accepted bool
	// Reason is empty exactly when Accepted is true.
	Reason Reason
	// Version is the version of the accepted record, or zero.
	Version Version
}

// Accept returns the verdict for a record that is accepted with version.
func Accept(version Version) Verdict {
	return Verdict{Accepted: true, Version: version}
}

// Refuse returns the verdict for a record that is refused for reason.
func Refuse(reason Reason) Verdict {
	return Verdict{Reason: reason}
}
