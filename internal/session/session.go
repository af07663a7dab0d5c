// Package session is the aggregate of long-lived sessions, which operators
// create and end.
package session

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastwinch/mastwinch/internal/fold"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Session carries an organisation's requests over hours or days.
type Session struct {
	ID           string
	Organisation string
	// Version is that of the record which created it.
	Version fold.Version
}

// Sessions is an immutable set of sessions.
type Sessions struct {
	// byID is never changed once the value is shared.
	byID map[string]Session
}

// New returns the empty set.
func New() Sessions {
	return Sessions{byID: map[string]Session{}}
}

// Get returns the session with that ID.
func (sessions Sessions) Get(id string) (Session, bool) {
	session, ok := sessions.byID[id]
	return session, ok
}

// All returns all sessions by ID.
func (sessions Sessions) All() []Session {
	return slices.SortedFunc(maps.Values(sessions.byID), func(a, b Session) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// With returns the set after create, if it is accepted.
func (sessions Sessions) With(version fold.Version, create *wire.CreateSession) (Sessions, fold.Verdict) {
	if create.GetSessionId() == "" || create.GetOrganisation() == "" {
		return sessions, fold.Refuse(fold.ReasonMalformed)
	}
	if _, exists := sessions.byID[create.GetSessionId()]; exists {
		return sessions, fold.Refuse(fold.ReasonConflict)
	}
	byID := maps.Clone(sessions.byID)
	byID[create.GetSessionId()] = Session{
		ID:           create.GetSessionId(),
		Organisation: create.GetOrganisation(),
		Version:      version,
	}
	return Sessions{byID: byID}, fold.Accept(version)
}

// Without returns the set after end, if it is accepted.
func (sessions Sessions) Without(version fold.Version, end *wire.EndSession) (Sessions, fold.Verdict) {
	created := func(session Session) fold.Version { return session.Version }
	byID, verdict := fold.Remove(sessions.byID, end.GetSessionId(), created, end.GetExpectedVersion(), version)
	return Sessions{byID: byID}, verdict
}

// Encode writes the sessions into state, in a fixed order.
func (sessions Sessions) Encode(state *wire.State) {
	for _, session := range sessions.All() {
		state.Sessions = append(state.Sessions, &wire.Session{
			Id:           session.ID,
			Organisation: session.Organisation,
			Version:      uint64(session.Version),
		})
	}
}

// Decode returns the sessions that Encode wrote into state.
func Decode(state *wire.State) Sessions {
	sessions := New()
	for _, session := range state.GetSessions() {
		sessions.byID[session.GetId()] = Session{
			ID:           session.GetId(),
			Organisation: session.GetOrganisation(),
			Version:      fold.Version(session.GetVersion()),
		}
	}
	return sessions
}
