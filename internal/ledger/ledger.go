package ledger

import (
	"cmp"
	"slices"

	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Ledger holds the attempts of all keys in the covered window. It is used by
// one goroutine at a time.
type Ledger struct {
	// attempts has no key whose time is before horizon.
	attempts map[Key]Attempt
	// byRequest has the key of each attempt.
	byRequest map[string]Key
	// horizon never decreases; it is in milliseconds since 1970.
	horizon uint64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		attempts:  make(map[Key]Attempt),
		byRequest: make(map[string]Key),
	}
}

// Get returns the attempt of key.
func (ledger *Ledger) Get(key Key) (Attempt, bool) {
	attempt, ok := ledger.attempts[key]
	return attempt, ok
}

// OfRequest returns the attempt that the request with that ID made.
func (ledger *Ledger) OfRequest(requestID string) (Attempt, bool) {
	key, ok := ledger.byRequest[requestID]
	if !ok {
		return Attempt{}, false
	}
	return ledger.Get(key)
}

// Horizon returns the oldest key time that is covered, in milliseconds since
// 1970.
func (ledger *Ledger) Horizon() uint64 {
	return ledger.horizon
}

// Len returns the number of keys held.
func (ledger *Ledger) Len() int {
	return len(ledger.attempts)
}

// Running returns the attempts without an outcome, in no order.
func (ledger *Ledger) Running() []Attempt {
	var running []Attempt
	for _, attempt := range ledger.attempts {
		if attempt.Running() {
			running = append(running, attempt)
		}
	}
	return running
}

// Begin grants the key to the request of begin, or refuses it.
func (ledger *Ledger) Begin(version fold.Version, begin *wire.Begin) fold.Verdict {
	key, err := NewKey(begin.GetKey().GetOrganisation(), begin.GetKey().GetValue())
	if err != nil {
		return fold.Refuse(fold.ReasonMalformed)
	}
	if key.Time < ledger.horizon {
		return fold.Refuse(fold.ReasonKeyExpired)
	}
	current, exists := ledger.attempts[key]
	switch {
	case exists && current.RequestID == begin.GetRequestId() && current.Running():
		return fold.Accept(current.Version) // a repeat
	case exists && current.ContentDigest != begin.GetContentDigest():
		return fold.Refuse(fold.ReasonContentDiffers)
	case exists && !current.Released():
		return fold.Refuse(fold.ReasonConflict)
	case uint64(current.Version) != begin.GetExpectedVersion():
		return fold.Refuse(fold.ReasonConflict)
	}
	delete(ledger.byRequest, current.RequestID)
	ledger.put(newAttempt(key, &wire.Attempt{
		RequestId:     begin.GetRequestId(),
		Owner:         begin.GetOwner(),
		Version:       uint64(version),
		TimeMs:        begin.GetTimeMs(),
		ContentDigest: begin.GetContentDigest(),
	}))
	return fold.Accept(version)
}

// Finish settles the attempt of finish. A settled attempt stays as it is, but
// for one that may have run and later proves to have completed.
func (ledger *Ledger) Finish(version fold.Version, finish *wire.Finish) fold.Verdict {
	key, err := NewKey(finish.GetKey().GetOrganisation(), finish.GetKey().GetValue())
	if err != nil || finish.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED {
		return fold.Refuse(fold.ReasonMalformed)
	}
	current, exists := ledger.attempts[key]
	if !exists || current.RequestID != finish.GetRequestId() {
		return fold.Refuse(fold.ReasonNotFound)
	}
	if !current.Running() && !provesCompletion(current, finish) {
		return fold.Refuse(fold.ReasonStale)
	}
	ledger.put(current.WithOutcome(finish, version))
	return fold.Accept(version)
}

func (ledger *Ledger) put(attempt Attempt) {
	ledger.attempts[attempt.Key] = attempt
	ledger.byRequest[attempt.RequestID] = attempt.Key
}

func provesCompletion(current Attempt, finish *wire.Finish) bool {
	return current.Outcome == wire.Outcome_OUTCOME_FAILED_MAY_HAVE_RUN &&
		finish.GetOutcome() == wire.Outcome_OUTCOME_COMPLETED
}

// AdvanceHorizon drops the keys made before the time of advance.
func (ledger *Ledger) AdvanceHorizon(version fold.Version, advance *wire.AdvanceHorizon) fold.Verdict {
	if advance.GetKeyTimeMs() <= ledger.horizon {
		return fold.Refuse(fold.ReasonStale)
	}
	ledger.horizon = advance.GetKeyTimeMs()
	for key, attempt := range ledger.attempts {
		if key.Time < ledger.horizon {
			delete(ledger.attempts, key)
			delete(ledger.byRequest, attempt.RequestID)
		}
	}
	return fold.Accept(version)
}

// Encode writes the ledger into state, in a fixed order.
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

// Decode returns the ledger that Encode wrote into state.
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
