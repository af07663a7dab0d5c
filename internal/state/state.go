// Package state computes the state that results from applying all records of
// the log in order. It is the same on every VM that has applied the log up to
// the same offset, so the package does no I/O and reads no clock.
package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/configuration"
	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/session"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// State is the result of applying all log entries before Next. It is not safe
// for concurrent use.
type State struct {
	Ledger        *ledger.Ledger
	Configuration configuration.Configuration
	Sessions      session.Sessions
	// Next is the offset of the next entry to apply. It never decreases.
	Next uint64
}

// Result is the verdict on one record.
type Result struct {
	RecordID string
	Verdict  statemachine.Verdict
}

// OrderError is returned if an entry is applied before an earlier one.
type OrderError struct {
	Offset uint64
	Next   uint64
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("state: entry at offset %d is out of order: expected offset %d", e.Offset, e.Next)
}

// New returns the state before the first log entry.
func New() *State {
	return &State{
		Ledger:        ledger.New(),
		Configuration: configuration.New(),
		Sessions:      session.New(),
	}
}

// Apply applies the batch at offset and returns one result for each record. For
// an entry that was applied before it does nothing and returns no results.
func (state *State) Apply(offset uint64, batch *wire.Batch) ([]Result, error) {
	if offset < state.Next {
		return nil, nil
	}
	if offset > state.Next {
		return nil, &OrderError{Offset: offset, Next: state.Next}
	}
	state.Next = offset + 1
	records := batch.GetRecords()
	if len(records) > statemachine.MaxBatch {
		// No keeper writes longer entries. With more records, versions would not be in log order.
		records = records[:statemachine.MaxBatch]
	}
	results := make([]Result, 0, len(records))
	for index, record := range records {
		verdict := state.apply(statemachine.VersionAt(offset, index), record)
		results = append(results, Result{RecordID: record.GetId(), Verdict: verdict})
	}
	return results, nil
}

func (state *State) apply(version statemachine.Version, record *wire.Record) (verdict statemachine.Verdict) {
	switch body := record.GetBody().(type) {
	case *wire.Record_Begin:
		return state.Ledger.Begin(version, body.Begin)
	case *wire.Record_Finish:
		return state.Ledger.Finish(version, body.Finish)
	case *wire.Record_AdvanceHorizon:
		return state.Ledger.AdvanceHorizon(version, body.AdvanceHorizon)
	case *wire.Record_PutOrganisation:
		state.Configuration, verdict = state.Configuration.WithOrganisation(version, body.PutOrganisation)
	case *wire.Record_RemoveOrganisation:
		state.Configuration, verdict = state.Configuration.WithoutOrganisation(version, body.RemoveOrganisation)
	case *wire.Record_BeginEvacuation:
		state.Configuration, verdict = state.Configuration.WithEvacuation(version, body.BeginEvacuation)
	case *wire.Record_EndEvacuation:
		state.Configuration, verdict = state.Configuration.WithoutEvacuation(version, body.EndEvacuation)
	case *wire.Record_CreateSession:
		state.Sessions, verdict = state.Sessions.With(version, body.CreateSession)
	case *wire.Record_EndSession:
		state.Sessions, verdict = state.Sessions.Without(version, body.EndSession)
	default:
		return statemachine.Refuse(statemachine.ReasonUnknownKind)
	}
	return verdict
}

// Encode returns the state in its wire format.
func (state *State) Encode() *wire.State {
	encoded := &wire.State{NextOffset: state.Next}
	state.Ledger.Encode(encoded)
	state.Configuration.Encode(encoded)
	state.Sessions.Encode(encoded)
	return encoded
}

// Decode returns the state from the wire format that Encode returns.
func Decode(encoded *wire.State) (*State, error) {
	decoded, err := ledger.Decode(encoded)
	if err != nil {
		return nil, err
	}
	return &State{
		Ledger:        decoded,
		Configuration: configuration.Decode(encoded),
		Sessions:      session.Decode(encoded),
		Next:          encoded.GetNextOffset(),
	}, nil
}

// DecodeBatch decodes the batch of a log entry. An entry that cannot be decoded
// counts as an empty batch, so that every VM computes the same state.
func DecodeBatch(data []byte) *wire.Batch {
	batch := &wire.Batch{}
	err := proto.Unmarshal(data, batch)
	if err != nil {
		return &wire.Batch{}
	}
	return batch
}
