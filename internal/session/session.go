// Package session implements the set of sessions in the replicated state. Operators
// create and end sessions.
package session

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Session groups requests of one organisation over hours or days.
type Session struct {
	ID           string
	Organisation string
	// Version is the version of the record that created the session.
	Version statemachine.Version
}

// Sessions is an immutable set of sessions. Create it with New or Decode.
type Sessions struct {
	// byID must not be changed after the value has been returned to a caller.
	byID map[string]Session
}

// New returns an empty set.
func New() Sessions {
	return Sessions{byID: map[string]Session{}}
}

// Get returns the session with the given ID, and reports whether it exists.
func (sessions Sessions) Get(id string) (Session, bool) {
	session, ok := sessions.byID[id]
	return session, ok
}

// All returns all sessions, sorted by ID.
func (sessions Sessions) All() []Session {
	return slices.SortedFunc(maps.Values(sessions.byID), func(a, b Session) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// With returns a set to which the session of a create record is added, and the
// verdict on the record. If the record is refused, the set is unchanged: with
// statemachine.ReasonMalformed if the ID or the organisation is empty, and with
// statemachine.ReasonConflict if the ID exists.
func (sessions Sessions) With(version statemachine.Version, create *wire.CreateSession) (Sessions, statemachine.Verdict) {
	if create.GetSessionId() == "" || create.GetOrganisation() == "" {
		return sessions, statemachine.Refuse(statemachine.ReasonMalformed)
	}
	if _, exists := sessions.byID[create.GetSessionId()]; exists {
		return sessions, statemachine.Refuse(statemachine.ReasonConflict)
	}
	byID := maps.Clone(sessions.byID)
	byID[create.GetSessionId()] = Session{
		ID:           create.GetSessionId(),
		Organisation: create.GetOrganisation(),
		Version:      version,
	}
	return Sessions{byID: byID}, statemachine.Accept(version)
}

// Without returns a set from which the session of an end record is removed, and the
// verdict on the record. If the record is refused, the set is unchanged.
func (sessions Sessions) Without(version statemachine.Version, end *wire.EndSession) (Sessions, statemachine.Verdict) {
	created := func(session Session) statemachine.Version { return session.Version }
	byID, verdict := statemachine.Remove(sessions.byID, end.GetSessionId(), created, end.GetExpectedVersion(), version)
	return Sessions{byID: byID}, verdict
}

// Encode appends the sessions to state, sorted by ID, so that equal sets have equal
// encodings.
func (sessions Sessions) Encode(state *wire.State) {
	for _, session := range sessions.All() {
		state.Sessions = append(state.Sessions, &wire.Session{
			Id:           session.ID,
			Organisation: session.Organisation,
			Version:      uint64(session.Version),
		})
	}
}

// Decode returns the sessions that Encode appended to state.
func Decode(state *wire.State) Sessions {
	sessions := New()
	for _, session := range state.GetSessions() {
		sessions.byID[session.GetId()] = Session{
			ID:           session.GetId(),
			Organisation: session.GetOrganisation(),
			Version:      statemachine.Version(session.GetVersion()),
		}
	}
	return sessions
}
