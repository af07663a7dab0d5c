package ledger

import (
	"cmp"
	"slices"

	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Ledger has the attempts of all keys that are not older than the horizon. It must
// not be used concurrently.
type Ledger struct {
	// attempts has the current attempt of each key. No key's time is before horizon.
	attempts map[Key]Attempt
	// byRequest has the key of each attempt, by request ID.
	byRequest map[string]Key
	// horizon is the oldest key time that is kept, in milliseconds since 1970. It
	// never decreases.
	horizon uint64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		attempts:  make(map[Key]Attempt),
		byRequest: make(map[string]Key),
	}
}

// Get returns the current attempt of key, if there is one.
func (ledger *Ledger) Get(key Key) (Attempt, bool) {
	attempt, ok := ledger.attempts[key]
	return attempt, ok
}

// GetByRequest returns the attempt of the request with that ID, if there is one.
func (ledger *Ledger) GetByRequest(requestID string) (Attempt, bool) {
	key, ok := ledger.byRequest[requestID]
	if !ok {
		return Attempt{}, false
	}
	return ledger.Get(key)
}

// Horizon returns the oldest key time that is kept, in milliseconds since 1970.
func (ledger *Ledger) Horizon() uint64 {
	return ledger.horizon
}

// Len returns the number of keys.
func (ledger *Ledger) Len() int {
	return len(ledger.attempts)
}

// Running returns the attempts without an outcome, in no particular order.
func (ledger *Ledger) Running() []Attempt {
	var running []Attempt
	for _, attempt := range ledger.attempts {
		if attempt.Running() {
			running = append(running, attempt)
		}
	}
	return running
}

// Begin grants the key to the request of begin, or refuses it if the key is
// malformed, expired or already granted.
func (ledger *Ledger) Begin(version statemachine.Version, begin *wire.Begin) statemachine.Verdict {
	key, err := NewKey(begin.GetKey().GetOrganisation(), begin.GetKey().GetValue())
	if err != nil {
		return statemachine.Refuse(statemachine.ReasonMalformed)
	}
	if key.Time < ledger.horizon {
		return statemachine.Refuse(statemachine.ReasonKeyExpired)
	}
	current, exists := ledger.attempts[key]
	switch {
	case exists && current.RequestID == begin.GetRequestId() && current.Running():
		return statemachine.Accept(current.Version) // a duplicate of the granted record
	case exists && current.ContentDigest != begin.GetContentDigest():
		return statemachine.Refuse(statemachine.ReasonContentDiffers)
	case exists && !current.Retryable():
		return statemachine.Refuse(statemachine.ReasonConflict)
	case uint64(current.Version) != begin.GetExpectedVersion():
		return statemachine.Refuse(statemachine.ReasonConflict)
	}
	delete(ledger.byRequest, current.RequestID)
	ledger.put(newAttempt(key, &wire.Attempt{
		RequestId:     begin.GetRequestId(),
		Owner:         begin.GetOwner(),
		Version:       uint64(version),
		TimeMs:        begin.GetTimeMs(),
		ContentDigest: begin.GetContentDigest(),
	}))
	return statemachine.Accept(version)
}

// Finish records the outcome of an attempt. An outcome is final, except that
// "failed, may have run" may be replaced once by "completed".
func (ledger *Ledger) Finish(version statemachine.Version, finish *wire.Finish) statemachine.Verdict {
	key, err := NewKey(finish.GetKey().GetOrganisation(), finish.GetKey().GetValue())
	if err != nil || finish.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED {
		return statemachine.Refuse(statemachine.ReasonMalformed)
	}
	current, exists := ledger.attempts[key]
	if !exists || current.RequestID != finish.GetRequestId() {
		return statemachine.Refuse(statemachine.ReasonNotFound)
	}
	if !current.Running() && !confirmsCompletion(current, finish) {
		return statemachine.Refuse(statemachine.ReasonStale)
	}
	ledger.put(current.WithOutcome(finish, version))
	return statemachine.Accept(version)
}

// put sets the current attempt of its key.
func (ledger *Ledger) put(attempt Attempt) {
	ledger.attempts[attempt.Key] = attempt
	ledger.byRequest[attempt.RequestID] = attempt.Key
}

// confirmsCompletion reports whether finish completes an attempt that may have run.
func confirmsCompletion(current Attempt, finish *wire.Finish) bool {
	return current.Outcome == wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN &&
		finish.GetOutcome() == wire.Outcome_OUTCOME_COMPLETED
}

// AdvanceHorizon drops the keys created before the time of advance. It refuses to
// move the horizon back.
func (ledger *Ledger) AdvanceHorizon(version statemachine.Version, advance *wire.AdvanceHorizon) statemachine.Verdict {
	if advance.GetKeyTimeMs() <= ledger.horizon {
		return statemachine.Refuse(statemachine.ReasonStale)
	}
	ledger.horizon = advance.GetKeyTimeMs()
	for key, attempt := range ledger.attempts {
		if key.Time < ledger.horizon {
			delete(ledger.attempts, key)
			delete(ledger.byRequest, attempt.RequestID)
		}
	}
	return statemachine.Accept(version)
}

// Encode writes the ledger into state, sorted by key, so that equal ledgers have
// equal encodings.
func (ledger *Ledger) Encode(state *wire.State) {
	state.HorizonMs = ledger.horizon
	state.Attempts = make([]*wire.Attempt, 0, len(ledger.attempts))
	for _, attempt := range ledger.attempts {
		state.Attempts = append(state.Attempts, attempt.Wire())
	}
	slices.SortFunc(state.GetAttempts(), func(a, b *wire.Attempt) int {
		return cmp.Or(
			cmp.Compare(a.GetKey().GetOrganisation(), b.GetKey().GetOrganisation()),
			cmp.Compare(a.GetKey().GetValue(), b.GetKey().GetValue()),
		)
	})
}

// Decode returns the ledger that Encode wrote into state. It returns a *KeyError if
// a key is malformed.
func Decode(state *wire.State) (*Ledger, error) {
	ledger := New()
	ledger.horizon = state.GetHorizonMs()
	for _, record := range state.GetAttempts() {
		key, err := NewKey(record.GetKey().GetOrganisation(), record.GetKey().GetValue())
		if err != nil {
			return nil, err
		}
		ledger.put(newAttempt(key, record))
	}
	return ledger, nil
}
