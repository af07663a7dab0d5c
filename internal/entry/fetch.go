package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/relay"
	"github.com/mastwinch/mastwinch/internal/request"
)

// Bounds on looking for a request of another entry.
const (
	ownerTimeout   = 2 * time.Second
	searchTimeout  = 3 * time.Second
	searchParallel = 32
	copyBytes      = 16 << 10
)

// errLost says that a request is held nowhere any more.
var errLost = errors.New("the request is held nowhere any more")

func (entry *Entry) handleFetch(w http.ResponseWriter, r *http.Request) {
	organisation, ok := entry.organisation(w, r)
	if !ok {
		return
	}
	id := mux.Vars(r)["id"]
	found, done := entry.find(w, r, organisation.Name, relay.Position{Seq: -1})
	if done {
		return
	}
	if found == nil {
		entry.answerLost(w, organisation.Name, id)
		return
	}
	writeJSON(w, http.StatusOK, statusOf(found))
}

func (entry *Entry) handleResume(w http.ResponseWriter, r *http.Request) {
	organisation, ok := entry.organisation(w, r)
	if !ok {
		return
	}
	id := mux.Vars(r)["id"]
	last := relay.Position{Seq: -1}
	if eventID := r.Header.Get(headerEventID); eventID != "" {
		parsed, err := relay.ParsePosition(eventID)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, headerEventID, err.Error())
			return
		}
		last = parsed
	}
	found, done := entry.find(w, r, organisation.Name, last)
	if done {
		return
	}
	if found == nil || found.buffer.Base > last.Seq+1 {
		entry.answerLost(w, organisation.Name, id)
		return
	}
	entry.answerStream(w, r, found, last.Seq+1)
}

func (entry *Entry) handleCancel(w http.ResponseWriter, r *http.Request) {
	organisation, ok := entry.organisation(w, r)
	if !ok {
		return
	}
	found, done := entry.find(w, r, organisation.Name, relay.Position{Seq: -1})
	if done {
		return
	}
	if found == nil {
		entry.answerLost(w, organisation.Name, mux.Vars(r)["id"])
		return
	}
	found.cancel(errCancelled)
	for {
		view := found.buffer.From(0)
		if view.Outcome != nil {
			writeJSON(w, http.StatusOK, statusOfOutcome(found.request.ID, *view.Outcome))
			return
		}
		select {
		case <-view.Changed:
		case <-r.Context().Done():
			return
		}
	}
}

// find returns the request that the caller names, wherever it is held: here,
// at the entry that admitted it, or at the engine that generates it. It
// reports true when it has answered the caller itself.
func (entry *Entry) find(
	w http.ResponseWriter, r *http.Request, organisation string, last relay.Position,
) (*active, bool) {
	id := mux.Vars(r)["id"]
	owner, err := request.OwnerOf(id)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "request_id", err.Error())
		return nil, true
	}
	if found := entry.registry.find(id); found != nil {
		if found.request.Organisation != organisation {
			return nil, false // as if it were not there
		}
		return found, false
	}
	if owner != entry.settings.VM && r.Header.Get(HeaderForwarded) == "" && entry.forward(w, r, owner) {
		return nil, true
	}
	found, err := entry.adopt(r.Context(), id, organisation, last)
	if err != nil {
		entry.logger.Info("request not found", "request_id", id, "error", err)
		return nil, false
	}
	return found, false
}

// forward lets the entry that admitted a request answer, and reports whether
// it did.
func (entry *Entry) forward(w http.ResponseWriter, r *http.Request, owner string) bool {
	vm, ok := entry.fleet.SystemVM(owner)
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	asked, err := http.NewRequestWithContext(ctx, r.Method, "http://"+vm.GetAddress()+r.URL.RequestURI(), http.NoBody) //nolint:gosec // the host is from the VM list
	if err != nil {
		return false
	}
	asked.Header.Set(HeaderOrganisation, r.Header.Get(HeaderOrganisation))
	asked.Header.Set(HeaderForwarded, entry.settings.VM)
	if eventID := r.Header.Get(headerEventID); eventID != "" {
		asked.Header.Set(headerEventID, eventID)
	}
	slow := time.AfterFunc(ownerTimeout, cancel)
	response, err := entry.peers.Do(asked) //nolint:gosec // as above
	if err != nil || !slow.Stop() {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusGone {
		return false // the VM is another one than it was
	}
	copyAnswer(w, response)
	return true
}

func copyAnswer(w http.ResponseWriter, response *http.Response) {
	for _, name := range []string{"Content-Type", "Cache-Control", HeaderRequestID, headerRetry} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	chunk := make([]byte, copyBytes)
	for {
		n, err := response.Body.Read(chunk)
		if n > 0 {
			_, writeErr := w.Write(chunk[:n])
			if writeErr != nil || controller.Flush() != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// answerLost answers for a request that is held nowhere: with its recorded
// outcome if there is one, and otherwise with all that can be said.
func (entry *Entry) answerLost(w http.ResponseWriter, organisation, id string) {
	attempt, ok := entry.attemptOf(id)
	switch {
	case ok && attempt.Key.Organisation == organisation && attempt.Running():
		writeJSON(w, http.StatusOK, Status{RequestID: id, Running: true})
	case ok && attempt.Key.Organisation == organisation:
		outcome := request.OutcomeOf(attempt.Outcome, attempt.Reason, attempt.Server)
		writeJSON(w, http.StatusOK, statusOfOutcome(id, outcome))
	default:
		outcome := request.MayHaveRun(request.ReasonOwnerLost)
		writeJSON(w, http.StatusGone, statusOfOutcome(id, outcome))
	}
}

// answerDuplicate answers the submission of a key that was submitted before.
func (entry *Entry) answerDuplicate(w http.ResponseWriter, submitted request.Request, earlier ledger.Attempt) {
	entry.logger.Info("duplicate", "request_id", submitted.ID, "key", submitted.Key.Value,
		"first_request_id", earlier.RequestID, "outcome", earlier.Outcome)
	if earlier.ContentDigest != submitted.Digest() {
		writeOutcome(w, Status{RequestID: submitted.ID}, request.NotRun(request.ReasonKeyContent, 0))
		return
	}
	w.Header().Set(HeaderRequestID, earlier.RequestID)
	w.Header().Set("Location", "/v1/requests/"+earlier.RequestID)
	status := Status{RequestID: earlier.RequestID, Running: true, Duplicate: true}
	if earlier.Running() {
		writeJSON(w, http.StatusConflict, status)
		return
	}
	if held := entry.registry.find(earlier.RequestID); held != nil {
		status = statusOf(held)
		status.Duplicate = true
	}
	outcome := request.OutcomeOf(earlier.Outcome, earlier.Reason, earlier.Server)
	writeJSON(w, http.StatusOK, withOutcome(status, outcome))
}
