package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/relay"
	"github.com/mastwinch/mastwinch/internal/request"
)

// TokenEvent is the JSON data of a server-sent event that carries one token.
type TokenEvent struct {
	Seq  int    `json:"seq"`
	Text string `json:"text"`
}

// Names of server-sent events.
const (
	EventAdmitted = "admitted"
	EventToken    = "token"
	EventOutcome  = "outcome"
	// EventDuplicate ends a stream whose key was granted to another request. Its
	// data contains the ID of that request.
	EventDuplicate = "duplicate"
)

// respondStream sends the response as server-sent events, starting with the token
// whose sequence number is from. A request that ends before a server accepts it
// gets a JSON response instead.
func (entry *Entry) respondStream(w http.ResponseWriter, r *http.Request, active *activeRequest, from int) {
	detach := active.buffer.Attach(entry.now)
	defer detach()
	if !entry.awaitStart(r, active) {
		entry.respondUnstarted(w, active)
		return
	}
	entry.sendEvents(w, r, active, from)
}

// respondUnstarted writes the response for a request that ended before a server
// accepted it. If its key was granted to another request, the response describes
// that one.
func (entry *Entry) respondUnstarted(w http.ResponseWriter, active *activeRequest) {
	outcome := active.buffer.ViewFrom(0).Outcome
	if outcome == nil {
		return // the caller has disconnected
	}
	if earlier, ok := entry.conflictingAttempt(active, *outcome); ok {
		entry.respondDuplicate(w, active.request, earlier)
		return
	}
	writeOutcome(w, Status{RequestID: active.request.ID}, *outcome)
}

// awaitStart waits until a server has accepted the request, or for one heartbeat
// interval, so that the caller gets its first event within that time. It reports
// false if the request ended first or the caller disconnected.
func (entry *Entry) awaitStart(r *http.Request, active *activeRequest) bool {
	heartbeat := time.NewTimer(entry.settings.Relay.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		view := active.buffer.ViewFrom(0)
		switch {
		case view.Started || len(view.Tokens) > 0:
			return true
		case view.Outcome != nil:
			return false
		}
		select {
		case <-view.Changed:
		case <-heartbeat.C:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

func (entry *Entry) sendEvents(w http.ResponseWriter, r *http.Request, active *activeRequest, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(HeaderRequestID, active.request.ID)
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	events := &eventWriter{}
	events.event(EventAdmitted, "", Status{RequestID: active.request.ID, Running: true})
	heartbeat := time.NewTicker(entry.settings.Relay.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		view := active.buffer.ViewFrom(from)
		for _, token := range view.Tokens {
			events.token(token)
			from = token.Seq + 1
		}
		if view.Outcome != nil {
			entry.sendOutcome(events, active, *view.Outcome, from)
		}
		_ = controller.SetWriteDeadline(entry.now().Add(entry.settings.Admission.TransferTimeout))
		if !events.flush(w, controller) || view.Outcome != nil {
			return
		}
		select {
		case <-view.Changed:
		case <-heartbeat.C:
			events.heartbeat()
		case <-r.Context().Done():
			return
		}
	}
}

func (entry *Entry) sendOutcome(events *eventWriter, active *activeRequest, outcome request.Outcome, tokens int) {
	if earlier, ok := entry.conflictingAttempt(active, outcome); ok {
		events.event(EventDuplicate, "", Status{RequestID: earlier.RequestID, Running: earlier.Running(), Duplicate: true})
		return
	}
	status := Status{RequestID: active.request.ID, Tokens: tokens}
	events.event(EventOutcome, "", withOutcome(status, outcome))
}

// conflictingAttempt returns the attempt that was granted the key of a request whose own claim
// was refused. It reports false if the claim was not refused for that reason, or
// the other attempt has released the key.
func (entry *Entry) conflictingAttempt(active *activeRequest, outcome request.Outcome) (ledger.Attempt, bool) {
	if outcome.Reason != request.ReasonKeyConflict {
		return ledger.Attempt{}, false
	}
	return entry.grantedAttempt(active.request.Key)
}

// eventWriter buffers server-sent events until the next flush.
type eventWriter struct {
	pending bytes.Buffer
}

func (eventwriter *eventWriter) token(token relay.Token) {
	eventwriter.event(EventToken, token.Position().String(), TokenEvent{Seq: token.Seq, Text: token.Text})
}

func (eventwriter *eventWriter) event(name, id string, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		panic(err) // Status and TokenEvent can always be encoded
	}
	if id != "" {
		fmt.Fprintf(&eventwriter.pending, "id: %s\n", id)
	}
	fmt.Fprintf(&eventwriter.pending, "event: %s\ndata: %s\n\n", name, encoded)
}

func (eventwriter *eventWriter) heartbeat() {
	eventwriter.pending.WriteString(": heartbeat\n\n")
}

func (eventwriter *eventWriter) flush(w http.ResponseWriter, controller *http.ResponseController) bool {
	if eventwriter.pending.Len() == 0 {
		return true
	}
	_, err := eventwriter.pending.WriteTo(w)
	return err == nil && controller.Flush() == nil
}

// respondCall waits for the response of a plain service and writes it, unless the
// caller disconnects first.
func (entry *Entry) respondCall(w http.ResponseWriter, r *http.Request, active *activeRequest) {
	detach := active.buffer.Attach(entry.now)
	defer detach()
	for {
		view := active.buffer.ViewFrom(0)
		switch {
		case view.Outcome != nil && !view.Started:
			entry.respondUnstarted(w, active)
			return
		case view.Outcome != nil:
			writeOutcome(w, statusOf(active), *view.Outcome)
			return
		}
		select {
		case <-view.Changed:
		case <-r.Context().Done():
			return
		}
	}
}

// statusOf returns the status of a request that is in the registry of this entry.
func statusOf(active *activeRequest) Status {
	view := active.buffer.ViewFrom(0)
	var text strings.Builder
	for _, token := range view.Tokens {
		text.WriteString(token.Text)
	}
	status := Status{
		RequestID:       active.request.ID,
		Running:         view.Outcome == nil,
		Tokens:          active.buffer.Next(),
		AnswerAvailable: active.buffer.Base == 0,
	}
	if status.AnswerAvailable {
		status.Text = text.String()
	}
	if view.Outcome != nil {
		return withOutcome(status, *view.Outcome)
	}
	return status
}

// statusOfOutcome returns the status of a request of which only the outcome is
// known.
func statusOfOutcome(id string, outcome request.Outcome) Status {
	return withOutcome(Status{RequestID: id}, outcome)
}
