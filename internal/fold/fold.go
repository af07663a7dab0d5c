// Package fold holds what all aggregates share that are folded from the log:
// versions and verdicts.
package fold

// MaxBatch is the most records that one log entry may carry.
const MaxBatch = 1024

// Version orders records: it is made from the offset of the log entry and the
// place in it, and is also the fencing token of what the record granted. Zero
// stands for "nothing yet".
type Version uint64

// VersionAt returns the version of the record at index in the entry at offset.
func VersionAt(offset uint64, index int) Version {
	return Version(offset*MaxBatch + uint64(index) + 1) //nolint:gosec // below MaxBatch
}

// Reason says why a record was refused.
type Reason string

// Reasons for refusal.
const (
	ReasonConflict       Reason = "version conflict"
	ReasonContentDiffers Reason = "key stands for other content"
	ReasonKeyExpired     Reason = "key older than the covered window"
	ReasonMalformed      Reason = "malformed record"
	ReasonNotFound       Reason = "not found"
	ReasonStale          Reason = "already settled"
	ReasonUnknownKind    Reason = "unknown kind of record"
)

// Verdict is what the fold decided about one record. Every reader of the log
// reaches the same.
type Verdict struct {
	// Accepted is also true for a repeat of the record that was accepted.
	Accepted bool
	// Reason is empty exactly when Accepted is true.
	Reason Reason
	// Version is that of the accepted record, or zero.
	Version Version
}

// Accept returns the verdict for a record accepted as version.
func Accept(version Version) Verdict {
	return Verdict{Accepted: true, Version: version}
}

// Refuse returns the verdict for a refused record.
func Refuse(reason Reason) Verdict {
	return Verdict{Reason: reason}
}
