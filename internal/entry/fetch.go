package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/relay"
	"github.com/mastwinch/mastwinch/internal/request"
)

// Limits on the search for a request that another entry admitted.
const (
	ownerTimeout        = 2 * time.Second
	searchTimeout       = 3 * time.Second
	maxParallelSearches = 32
	copyBufferBytes     = 16 << 10
)

// errStreamNotFound is returned for a request of which no engine holds a stream.
var errStreamNotFound = errors.New("no engine holds a stream of the request")

func (entry *Entry) handleFetch(w http.ResponseWriter, r *http.Request) {
	organisation, ok := entry.callerOrganisation(w, r)
	if !ok {
		return
	}
	id := mux.Vars(r)["id"]
	found, done := entry.findRequest(w, r, organisation.Name, relay.Position{Seq: -1})
	if done {
		return
	}
	if found == nil {
		entry.respondNotFound(w, organisation.Name, id)
		return
	}
	writeJSON(w, http.StatusOK, statusOf(found))
}

func (entry *Entry) handleResume(w http.ResponseWriter, r *http.Request) {
	organisation, ok := entry.callerOrganisation(w, r)
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
	found, done := entry.findRequest(w, r, organisation.Name, last)
	if done {
		return
	}
	if found == nil || found.buffer.Base > last.Seq+1 {
		entry.respondNotFound(w, organisation.Name, id)
		return
	}
	entry.respondStream(w, r, found, last.Seq+1)
}

func (entry *Entry) handleCancel(w http.ResponseWriter, r *http.Request) {
	organisation, ok := entry.callerOrganisation(w, r)
	if !ok {
		return
	}
	found, done := entry.findRequest(w, r, organisation.Name, relay.Position{Seq: -1})
	if done {
		return
	}
	if found == nil {
		entry.respondNotFound(w, organisation.Name, mux.Vars(r)["id"])
		return
	}
	found.cancel(errCancelled)
	for {
		view := found.buffer.ViewFrom(0)
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

// findRequest returns the request named in the path: from the registry of this entry,
// or by adopting its stream from an engine. A request that another entry admitted
// is first forwarded to that entry. findRequest reports true if it has written the
// response itself, and returns nil and false if the request was not found.
func (entry *Entry) findRequest(
	w http.ResponseWriter, r *http.Request, organisation string, last relay.Position,
) (*activeRequest, bool) {
	id := mux.Vars(r)["id"]
	owner, err := request.OwnerOf(id)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "request_id", err.Error())
		return nil, true
	}
	if found := entry.registry.find(id); found != nil {
		if found.request.Organisation != organisation {
			return nil, false // other organisations must not learn that the request exists
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

// forward forwards the HTTP request to the VM that admitted the request and copies
// the response. It reports false, with nothing written, if that VM is not listed,
// does not respond within ownerTimeout or does not hold the request.
func (entry *Entry) forward(w http.ResponseWriter, r *http.Request, owner string) bool {
	vm, ok := entry.fleet.SystemVM(owner)
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	forwarded, err := http.NewRequestWithContext(ctx, r.Method, "http://"+vm.GetAddress()+r.URL.RequestURI(), http.NoBody) //nolint:gosec // the host is from the VM list
	if err != nil {
		return false
	}
	forwarded.Header.Set(HeaderOrganisation, r.Header.Get(HeaderOrganisation))
	forwarded.Header.Set(HeaderForwarded, entry.settings.VM)
	if eventID := r.Header.Get(headerEventID); eventID != "" {
		forwarded.Header.Set(headerEventID, eventID)
	}
	timeout := time.AfterFunc(ownerTimeout, cancel)
	response, err := entry.peers.Do(forwarded) //nolint:gosec // the host is from the VM list
	if err != nil || !timeout.Stop() {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusGone || network.CheckStatus(response) != nil {
		return false // the VM was replaced since it admitted the request, or another program answers in its place
	}
	copyResponse(w, response)
	return true
}

// copyResponse copies the response of another entry. It aborts the connection to the caller if the response is cut off.
func copyResponse(w http.ResponseWriter, response *http.Response) {
	for _, name := range []string{"Content-Type", "Cache-Control", HeaderRequestID, headerRetry} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	chunk := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(chunk)
		if n > 0 {
			_, writeErr := w.Write(chunk[:n])
			if writeErr != nil || controller.Flush() != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // so that the caller sees the answer as incomplete
		}
	}
}

// respondNotFound writes the response for a request that was not found: its state in
// the log if the organisation has a key recorded for it, and otherwise that it may
// have run.
func (entry *Entry) respondNotFound(w http.ResponseWriter, organisation, id string) {
	attempt, ok := entry.attemptOfRequest(id)
	switch {
	case ok && attempt.Key.Organisation == organisation && attempt.Running():
		writeJSON(w, http.StatusOK, Status{RequestID: id, Running: true})
	case ok && attempt.Key.Organisation == organisation:
		outcome := request.OutcomeFromWire(attempt.Outcome, attempt.Reason, attempt.Server)
		writeJSON(w, http.StatusOK, statusOfOutcome(id, outcome))
	default:
		outcome := request.MayHaveRun(request.ReasonOwnerLost)
		writeJSON(w, http.StatusGone, statusOfOutcome(id, outcome))
	}
}

// respondDuplicate writes the response to a submission whose key was submitted
// before. earlier is the attempt that was granted the key.
func (entry *Entry) respondDuplicate(w http.ResponseWriter, submitted request.Request, earlier ledger.Attempt) {
	entry.logger.Info("duplicate submission of a key", "request_id", submitted.ID, "key", submitted.Key.Value,
		"first_request_id", earlier.RequestID, "outcome", earlier.Outcome)
	if earlier.ContentDigest != submitted.Digest() {
		writeOutcome(w, Status{RequestID: submitted.ID}, request.NotRun(request.ReasonKeyContentDiffers, 0))
		return
	}
	w.Header().Set(HeaderRequestID, earlier.RequestID)
	w.Header().Set("Location", "/v1/requests/"+earlier.RequestID)
	status := Status{RequestID: earlier.RequestID, Running: true, Duplicate: true}
	if earlier.Running() {
		writeJSON(w, http.StatusConflict, status)
		return
	}
	if found := entry.registry.find(earlier.RequestID); found != nil {
		status = statusOf(found)
		status.Duplicate = true
	}
	outcome := request.OutcomeFromWire(earlier.Outcome, earlier.Reason, earlier.Server)
	writeJSON(w, http.StatusOK, withOutcome(status, outcome))
}
