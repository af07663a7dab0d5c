package ledger_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const organisation = "register"

// keyAt returns a key created at that time, in milliseconds since 1970.
func keyAt(milliseconds uint64) *wire.Key {
	id := uuid.Must(uuid.NewV7())
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], milliseconds)
	copy(id[:6], encoded[2:])
	return &wire.Key{Organisation: organisation, Value: id.String()}
}

func begin(key *wire.Key, requestID string, expected statemachine.Version) *wire.Begin {
	return &wire.Begin{
		Key:             key,
		RequestId:       requestID,
		Owner:           "vm1/1",
		ExpectedVersion: uint64(expected),
		ContentDigest:   7,
	}
}

func finish(key *wire.Key, requestID string, outcome wire.Outcome) *wire.Finish {
	return &wire.Finish{Key: key, RequestId: requestID, Outcome: outcome}
}

// A key must be granted to one request at a time, and never again once the request may
// have run, in whichever order late and duplicate records arrive.
func TestLedgerVerdicts(t *testing.T) {
	key := keyAt(1000)
	// A case is a list of records; the one at index i has version i+1.
	type step struct {
		record any
		want   statemachine.Verdict
	}
	cases := map[string][]step{
		"only the first begin is granted": {
			{begin(key, "r1", 0), statemachine.Accept(1)},
			{begin(key, "r2", 0), statemachine.Refuse(statemachine.ReasonConflict)},
		},
		"a duplicate of the granted begin returns the same version": {
			{begin(key, "r1", 0), statemachine.Accept(1)},
			{begin(key, "r1", 0), statemachine.Accept(1)},
		},
		"a late copy of a begin is refused after its request ended": {
			{begin(key, "r1", 0), statemachine.Accept(1)},
			{finish(key, "r1", wire.Outcome_OUTCOME_FAILED_NOT_RUN), statemachine.Accept(2)},
			{begin(key, "r1", 0), statemachine.Refuse(statemachine.ReasonConflict)},
		},
		"a key whose request did not run is granted again at the expected version": {
			{begin(key, "r1", 0), statemachine.Accept(1)},
			{finish(key, "r1", wire.Outcome_OUTCOME_FAILED_NOT_RUN), statemachine.Accept(2)},
			{begin(key, "r2", 1), statemachine.Refuse(statemachine.ReasonConflict)},
			{begin(key, "r2", 2), statemachine.Accept(4)},
		},
		"a key that may have run is never granted again": {
			{begin(key, "r1", 0), statemachine.Accept(1)},
			{finish(key, "r1", wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN), statemachine.Accept(2)},
			{begin(key, "r2", 2), statemachine.Refuse(statemachine.ReasonConflict)},
		},
		"an outcome of may have run can only become completed, which is final": {
			{begin(key, "r1", 0), statemachine.Accept(1)},
			{finish(key, "r1", wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN), statemachine.Accept(2)},
			{finish(key, "r1", wire.Outcome_OUTCOME_FAILED_NOT_RUN), statemachine.Refuse(statemachine.ReasonStale)},
			{finish(key, "r1", wire.Outcome_OUTCOME_COMPLETED), statemachine.Accept(4)},
			{finish(key, "r1", wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN), statemachine.Refuse(statemachine.ReasonStale)},
		},
		"another request cannot finish the attempt": {
			{begin(key, "r1", 0), statemachine.Accept(1)},
			{finish(key, "r2", wire.Outcome_OUTCOME_COMPLETED), statemachine.Refuse(statemachine.ReasonNotFound)},
		},
		"a key older than the horizon is refused after it was dropped": {
			{begin(key, "r1", 0), statemachine.Accept(1)},
			{&wire.AdvanceHorizon{KeyTimeMs: 1001}, statemachine.Accept(2)},
			{begin(key, "r1", 0), statemachine.Refuse(statemachine.ReasonKeyExpired)},
			{&wire.AdvanceHorizon{KeyTimeMs: 1000}, statemachine.Refuse(statemachine.ReasonStale)},
		},
		"a malformed key is refused": {
			{begin(&wire.Key{Value: uuid.NewString()}, "r1", 0), statemachine.Refuse(statemachine.ReasonMalformed)},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			tested := ledger.New()
			for i, step := range steps {
				version := statemachine.Version(i + 1)
				var got statemachine.Verdict
				switch record := step.record.(type) {
				case *wire.Begin:
					got = tested.Begin(version, record)
				case *wire.Finish:
					got = tested.Finish(version, record)
				case *wire.AdvanceHorizon:
					got = tested.AdvanceHorizon(version, record)
				}
				assert.Equal(t, got, step.want, "step %d", i)
			}
		})
	}
}

// Keys that contain no creation time, or one too far in the future, must be rejected:
// they could not be expired by their time.
func TestNewKey(t *testing.T) {
	valid := keyAt(1234567)
	cases := map[string]struct {
		value   string
		problem string
	}{
		"version 7":     {value: valid.GetValue()},
		"version 4":     {value: "5f0c3a3e-5d0a-4b3e-9d2b-1c2d3e4f5a6b", problem: "must be a UUID of version 7, which carries its time, but is version 4"},
		"not a UUID":    {value: "receipt-17", problem: "must be a UUID of version 7"},
		"empty":         {value: "", problem: "must be a UUID of version 7"},
		"too far ahead": {value: keyAt(90_000).GetValue(), problem: "its time is more than 1m0s ahead"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			key, err := ledger.NewKey(organisation, c.value)
			if err == nil && name == "too far ahead" {
				err = key.CheckTime(time.UnixMilli(29_999), time.Minute)
			}
			if c.problem == "" {
				assert.NilError(t, err)
				assert.Equal(t, key.Time, uint64(1234567))
				return
			}
			assert.ErrorContains(t, err, c.problem)
		})
	}
}
