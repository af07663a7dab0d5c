package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/relay"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/wire"
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

// adopt takes over the stream of a request whose entry is gone.
func (entry *Entry) adopt(ctx context.Context, id, organisation string, last relay.Position) (*active, error) {
	searching, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	located, err := entry.locate(searching, id, last)
	if err != nil {
		return nil, err
	}
	// The stream outlives the call that found it.
	ctx, cancelCause := context.WithCancelCause(entry.life)
	stream, base, err := entry.open(ctx, located, last)
	if err != nil {
		cancelCause(nil)
		return nil, err
	}
	if stream.Organisation() != organisation || stream.Request() != id {
		stream.Close()
		cancelCause(nil)
		return nil, errors.Newf("request %s: the stream is another's", id)
	}
	adopted := entry.newAdopted(id, organisation, base, stream.TimeLeft(), cancelCause)
	holder, added := entry.registry.addOnce(adopted)
	if !added {
		stream.Close()
		cancelCause(nil)
		return holder, nil
	}
	entry.metrics.adopted.Inc()
	entry.logger.Info("adopted", "request_id", id, "organisation", organisation, "server", located.server.GetId(),
		"attempt", located.attempt, "from", base)
	entry.background.Go(func() { entry.runAdopted(ctx, adopted, located, stream) })
	return adopted, nil
}

func (entry *Entry) newAdopted(
	id, organisation string, base int, timeLeft time.Duration, cancel context.CancelCauseFunc,
) *active {
	now := entry.now()
	adopted := request.Request{
		ID:           id,
		Organisation: organisation,
		Mode:         request.ModeStream,
		Repeatable:   true,
		Time:         timeLeft,
	}
	if attempt, ok := entry.attemptOf(id); ok {
		adopted.Key = attempt.Key
		adopted.Repeatable = false
	}
	return &active{
		request:  adopted,
		buffer:   relay.NewBuffer(base, now),
		deadline: now.Add(timeLeft),
		cancel:   cancel,
	}
}

// runAdopted relays an adopted stream. It is never sent to another server,
// since its prompt went with the entry that admitted it.
func (entry *Entry) runAdopted(ctx context.Context, adopted *active, located located, stream backend.Stream) {
	defer adopted.cancel(nil)
	timed, stop := context.WithDeadline(ctx, adopted.deadline.Add(-margin(adopted.request.Time)))
	defer stop()
	closeStream := context.AfterFunc(timed, stream.Close)
	defer closeStream()
	run := &run{active: adopted, entry: entry, sending: fleet.NoSending(), mayHaveRun: true}
	result := run.relay(timed, stream, located.source())
	switch result.kind {
	case resultCompleted:
		entry.settle(adopted, request.Completed(result.server))
	case resultInterrupted:
		entry.settle(adopted, run.interrupted(timed))
	default:
		entry.settle(adopted, request.MayHaveRun(result.reason))
	}
}

// located is where a stream was found.
type located struct {
	server  *wire.Server
	attempt int
	id      string
}

func (located located) source() source {
	return source{
		attempt: located.attempt,
		id:      located.id,
		server:  snapshotServer(located.server),
	}
}

// open reads the stream from its start if the engine still has that, and
// otherwise from after the last token that the caller saw.
func (entry *Entry) open(ctx context.Context, located located, last relay.Position) (backend.Stream, int, error) {
	stream, err := entry.backends.Resume(ctx, located.server.GetAddress(), located.id, 0)
	if err == nil {
		return stream, 0, nil
	}
	base := last.Seq + 1
	if base == 0 {
		return nil, 0, err
	}
	stream, err = entry.backends.Resume(ctx, located.server.GetAddress(), located.id, base)
	return stream, base, err
}

// locate finds the engine that holds the newest attempt of a request: by the
// caller's last event, by the log, or by asking all engines.
func (entry *Entry) locate(ctx context.Context, id string, last relay.Position) (located, error) {
	engines := entry.fleet.Engines()
	if last.Seq >= 0 {
		for _, engine := range engines {
			if engine.GetId() == last.Server {
				return located{server: engine, attempt: last.Attempt, id: attemptID(id, last.Attempt)}, nil
			}
		}
	}
	if attempt, ok := entry.attemptOf(id); ok && attempt.Server != "" {
		engines = onlyServer(engines, attempt)
	}
	return entry.search(ctx, id, engines)
}

func onlyServer(engines []*wire.Server, attempt ledger.Attempt) []*wire.Server {
	for _, engine := range engines {
		if engine.GetId() == attempt.Server {
			return []*wire.Server{engine}
		}
	}
	return nil
}

// search asks engines what they hold.
func (entry *Entry) search(ctx context.Context, id string, engines []*wire.Server) (located, error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	best := located{attempt: -1}
	slots := make(chan struct{}, searchParallel)
	for _, engine := range engines {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			infos, err := entry.backends.Streams(ctx, engine.GetAddress())
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, info := range infos {
				if attempt, ok := attemptOfStream(id, info); ok && attempt > best.attempt {
					best = located{server: engine, attempt: attempt, id: info.Attempt}
				}
			}
		})
	}
	all.Wait()
	if best.server == nil {
		return located{}, errLost
	}
	return best, nil
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
