package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/session"
	"github.com/mastwinch/mastwinch/internal/state"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// adminTimeout limits how long an operator's change waits for the replicated log.
const adminTimeout = 10 * time.Second

// Organisation is the JSON form of an organisation in the admin API.
type Organisation struct {
	Name          string `json:"name"`
	Weight        uint32 `json:"weight"`
	MaxConcurrent uint32 `json:"max_concurrent"`
	Version       uint64 `json:"version"`
}

// Session is the JSON form of a session in the admin API.
type Session struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Version      uint64 `json:"version"`
}

// VMStatus is the body of a response to a status request of the admin API.
type VMStatus struct {
	VM                   string            `json:"vm"`
	Incarnation          string            `json:"incarnation"`
	Stopping             bool              `json:"stopping"`
	KeeperConnected      bool              `json:"keeper_connected"`
	NextOffset           uint64            `json:"next_offset"`
	ConfigurationVersion uint64            `json:"configuration_version"`
	Keys                 int               `json:"keys"`
	Running              int               `json:"running"`
	Listed               []fleet.KindCount `json:"listed"`
}

// Change is the body of a response to a change requested through the admin API.
// Version is set only if the change was accepted, and Reason only if it was not.
type Change struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Version  uint64 `json:"version,omitempty"`
}

func (entry *Entry) handleStatus(w http.ResponseWriter, _ *http.Request) {
	status := VMStatus{
		VM:              entry.settings.VM,
		Incarnation:     entry.incarnation,
		Stopping:        entry.stopping.Load(),
		KeeperConnected: entry.proposer.Connected(),
		Running:         entry.registry.runningCount(),
		Listed:          entry.fleet.Counts(),
	}
	entry.replica.View(func(state *state.State) {
		status.NextOffset = state.Next
		status.ConfigurationVersion = uint64(state.Configuration.Version())
		status.Keys = state.Ledger.Len()
	})
	writeJSON(w, http.StatusOK, status)
}

func (entry *Entry) handleListOrganisations(w http.ResponseWriter, _ *http.Request) {
	organisations := entry.configuration().Organisations()
	list := make([]Organisation, 0, len(organisations))
	for _, organisation := range organisations {
		list = append(list, Organisation{
			Name:          organisation.Name,
			Weight:        organisation.Weight,
			MaxConcurrent: organisation.MaxConcurrent,
			Version:       uint64(organisation.Version),
		})
	}
	writeJSON(w, http.StatusOK, list)
}

func (entry *Entry) handlePutOrganisation(w http.ResponseWriter, r *http.Request) {
	var put Organisation
	if !entry.readBody(w, r, &put) {
		return
	}
	name := mux.Vars(r)["name"]
	switch {
	case len(name) > entry.settings.Limits.MaxNameLength:
		writeProblem(w, http.StatusBadRequest, "name", "is too long")
		return
	case put.Weight == 0:
		writeProblem(w, http.StatusBadRequest, "weight", "must be at least 1")
		return
	case put.MaxConcurrent == 0:
		writeProblem(w, http.StatusBadRequest, "max_concurrent", "must be at least 1")
		return
	}
	entry.proposeChange(w, r, &wire.Record{Body: &wire.Record_PutOrganisation{PutOrganisation: &wire.PutOrganisation{
		Organisation:    &wire.Organisation{Name: name, Weight: put.Weight, MaxConcurrent: put.MaxConcurrent},
		ExpectedVersion: put.Version,
	}}})
}

func (entry *Entry) handleRemoveOrganisation(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	entry.proposeChange(w, r, &wire.Record{Body: &wire.Record_RemoveOrganisation{RemoveOrganisation: &wire.RemoveOrganisation{
		Name:            mux.Vars(r)["name"],
		ExpectedVersion: version,
	}}})
}

func (entry *Entry) handleListSessions(w http.ResponseWriter, _ *http.Request) {
	var sessions []session.Session
	entry.replica.View(func(state *state.State) { sessions = state.Sessions.All() })
	list := make([]Session, 0, len(sessions))
	for _, session := range sessions {
		list = append(list, Session{
			ID:           session.ID,
			Organisation: session.Organisation,
			Version:      uint64(session.Version),
		})
	}
	writeJSON(w, http.StatusOK, list)
}

func (entry *Entry) handleCreateSession(w http.ResponseWriter, r *http.Request) {
	var created Session
	if !entry.readBody(w, r, &created) {
		return
	}
	if _, known := entry.configuration().Organisation(created.Organisation); !known {
		writeProblem(w, http.StatusBadRequest, "organisation", "is not known")
		return
	}
	entry.proposeChange(w, r, &wire.Record{Body: &wire.Record_CreateSession{CreateSession: &wire.CreateSession{
		SessionId:    mux.Vars(r)["id"],
		Organisation: created.Organisation,
	}}})
}

func (entry *Entry) handleEndSession(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	entry.proposeChange(w, r, &wire.Record{Body: &wire.Record_EndSession{EndSession: &wire.EndSession{
		SessionId:       mux.Vars(r)["id"],
		ExpectedVersion: version,
	}}})
}

func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "version", "must be the version that is to be changed")
		return 0, false
	}
	return version, true
}

// proposeChange proposes a record to the log, and responds with the verdict that is
// read back from it.
func (entry *Entry) proposeChange(w http.ResponseWriter, r *http.Request, record *wire.Record) {
	record.Id = "change/" + uuid.NewString()
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	verdict, err := entry.proposer.Propose(ctx, record)
	if err != nil {
		w.Header().Set(headerRetry, "1")
		writeJSON(w, http.StatusServiceUnavailable, Change{
			Reason: "the log gave no answer in time; the change may still be made: look before trying again",
		})
		return
	}
	response := Change{
		Accepted: verdict.Accepted,
		Reason:   string(verdict.Reason),
		Version:  uint64(verdict.Version),
	}
	entry.logger.Info("admin change decided", "record_id", record.GetId(), "accepted", verdict.Accepted, "reason", verdict.Reason)
	writeJSON(w, changeStatusCode(verdict), response)
}

func changeStatusCode(verdict statemachine.Verdict) int {
	switch {
	case verdict.Accepted:
		return http.StatusOK
	case verdict.Reason == statemachine.ReasonNotFound:
		return http.StatusNotFound
	default:
		return http.StatusConflict
	}
}
