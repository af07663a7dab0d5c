package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mastwinch/mastwinch/internal/configuration"
	"github.com/mastwinch/mastwinch/internal/panics"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/state"
)

// Headers of the HTTP API for callers.
const (
	HeaderOrganisation = "Mastwinch-Organisation"
	HeaderRequestID    = "Mastwinch-Request-Id"
	// HeaderForwarded is set on a request that one entry forwards to another. Such
	// a request is not forwarded again.
	HeaderForwarded = "Mastwinch-Forwarded"
	headerEventID   = "Last-Event-ID"
	headerRetry     = "Retry-After"
)

// Problem is the body of a response to an invalid request.
type Problem struct {
	Error  string               `json:"error"`
	Fields []request.FieldError `json:"fields,omitempty"`
}

// Status is the body of a response about one request.
type Status struct {
	RequestID string `json:"request_id"`
	// Running reports that the request has no outcome yet.
	Running bool           `json:"running"`
	Outcome request.Kind   `json:"outcome,omitempty"`
	Reason  request.Reason `json:"reason,omitempty"`
	// RetryAfterMS is the delay in milliseconds before a retry, or zero if a retry
	// is of no use.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	Tokens       int   `json:"tokens"`
	// Text is the response text so far, if AnswerAvailable.
	Text string `json:"text,omitempty"`
	// AnswerAvailable reports that the entry stores the response from its first
	// token.
	AnswerAvailable bool `json:"answer_available"`
	// Duplicate reports that the key was submitted before. The status then
	// describes the request that was granted the key.
	Duplicate bool `json:"duplicate,omitempty"`
}

// Handler returns the HTTP API: requests of callers, the admin API, health checks
// and metrics.
func (entry *Entry) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(entry.handlePanics)
	router.HandleFunc("/v1/requests", entry.handleSubmit).Methods(http.MethodPost)
	router.HandleFunc("/v1/requests/{id}", entry.handleFetch).Methods(http.MethodGet)
	router.HandleFunc("/v1/requests/{id}", entry.handleCancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/requests/{id}/stream", entry.handleResume).Methods(http.MethodGet)
	router.HandleFunc("/v1/services/{service}", entry.handleCall).Methods(http.MethodPost)
	router.HandleFunc("/v1/admin/organisations", entry.handleListOrganisations).Methods(http.MethodGet)
	router.HandleFunc("/v1/admin/organisations/{name}", entry.handlePutOrganisation).Methods(http.MethodPut)
	router.HandleFunc("/v1/admin/organisations/{name}", entry.handleRemoveOrganisation).Methods(http.MethodDelete)
	router.HandleFunc("/v1/admin/evacuations", entry.handleListEvacuations).Methods(http.MethodGet)
	router.HandleFunc("/v1/admin/evacuations/{name}", entry.handlePlanEvacuation).Methods(http.MethodGet)
	router.HandleFunc("/v1/admin/evacuations/{name}", entry.handleBeginEvacuation).Methods(http.MethodPut)
	router.HandleFunc("/v1/admin/evacuations/{name}", entry.handleEndEvacuation).Methods(http.MethodDelete)
	router.HandleFunc("/v1/admin/sessions", entry.handleListSessions).Methods(http.MethodGet)
	router.HandleFunc("/v1/admin/sessions/{id}", entry.handleCreateSession).Methods(http.MethodPut)
	router.HandleFunc("/v1/admin/sessions/{id}", entry.handleEndSession).Methods(http.MethodDelete)
	router.HandleFunc("/v1/admin/status", entry.handleStatus).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	router.HandleFunc("/readyz", entry.handleReady)
	router.Handle("/metrics", promhttp.HandlerFor(entry.prometheus, promhttp.HandlerOpts{}))
	return router
}

// handlePanics returns a handler that handles the panics of next. Nothing is known then of where the request has run.
func (entry *Entry) handlePanics(next http.Handler) http.Handler {
	return panics.Handling{
		RequestID: func(r *http.Request) string { return mux.Vars(r)["id"] },
		Respond: func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusBadGateway, Problem{Error: "internal error"})
		},
		Count: entry.metrics.panics.Inc, Logger: entry.logger,
	}.Handler(next)
}

func (entry *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case entry.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !entry.proposer.Ready():
		http.Error(w, "no state yet", http.StatusServiceUnavailable)
	case len(entry.fleet.Engines()) == 0:
		http.Error(w, "no backend servers known yet", http.StatusServiceUnavailable)
	}
}

func (entry *Entry) handleSubmit(w http.ResponseWriter, r *http.Request) {
	organisation, ok := entry.callerOrganisation(w, r)
	if !ok {
		return
	}
	var submission request.Submission
	if !entry.readBody(w, r, &submission) {
		return
	}
	submitted, problems := request.New(entry.settings.VM, organisation.Name, submission, entry.settings.Limits, entry.now())
	problems = append(problems, entry.checkSession(submitted)...)
	entry.submit(w, r, organisation, submitted, problems)
}

func (entry *Entry) handleCall(w http.ResponseWriter, r *http.Request) {
	organisation, ok := entry.callerOrganisation(w, r)
	if !ok {
		return
	}
	var call request.Call
	if !entry.readBody(w, r, &call) {
		return
	}
	submitted, problems := request.NewCall(
		entry.settings.VM, organisation.Name, mux.Vars(r)["service"], call, entry.settings.Limits, entry.now())
	entry.submit(w, r, organisation, submitted, problems)
}

// submit admits a request, runs it and writes its response. problems are the
// faults that validation found in it; if there are any, it is not run.
func (entry *Entry) submit(
	w http.ResponseWriter, r *http.Request,
	organisation configuration.Organisation, submitted request.Request, problems []request.FieldError,
) {
	if len(problems) > 0 {
		writeJSON(w, http.StatusBadRequest, Problem{Error: "invalid request", Fields: problems})
		return
	}
	w.Header().Set(HeaderRequestID, submitted.ID)
	if !submitted.Repeatable {
		if earlier, ok := entry.grantedAttempt(submitted.Key); ok {
			entry.respondDuplicate(w, submitted, earlier)
			return
		}
	}
	if entry.refusing.Load() {
		entry.refuse(w, submitted, request.ReasonStopping)
		return
	}
	release, reason := entry.admission.admit(organisation, int64(len(submitted.Body)))
	if reason != request.ReasonNone {
		entry.refuse(w, submitted, reason)
		return
	}
	started := entry.startRequest(submitted, release)
	switch {
	case submitted.Mode == request.ModeDeferred:
		w.Header().Set("Location", "/v1/requests/"+submitted.ID)
		writeJSON(w, http.StatusAccepted, Status{RequestID: submitted.ID, Running: true})
	case submitted.Service:
		entry.respondCall(w, r, started)
	default:
		entry.respondStream(w, r, started, 0)
	}
}

// refuse writes the response to a request that is not admitted.
func (entry *Entry) refuse(w http.ResponseWriter, refused request.Request, reason request.Reason) {
	entry.metrics.refusals.WithLabelValues(string(reason)).Inc()
	entry.logger.Info("request refused at admission", "request_id", refused.ID, "organisation", refused.Organisation, "reason", reason)
	outcome := request.NotRun(reason, entry.settings.Admission.RetryAfter)
	writeOutcome(w, Status{RequestID: refused.ID}, outcome)
}

// callerOrganisation returns the organisation named in the request header. If there is
// no such organisation, it writes an error response and reports false.
func (entry *Entry) callerOrganisation(w http.ResponseWriter, r *http.Request) (configuration.Organisation, bool) {
	name := r.Header.Get(HeaderOrganisation)
	organisation, ok := entry.configuration().Organisation(name)
	if !ok {
		writeProblem(w, http.StatusForbidden, HeaderOrganisation, fmt.Sprintf("organisation %q is not known", name))
	}
	return organisation, ok
}

func (entry *Entry) checkSession(submitted request.Request) []request.FieldError {
	if submitted.Session == "" {
		return nil
	}
	var owner string
	entry.replica.View(func(state *state.State) {
		session, _ := state.Sessions.Get(submitted.Session)
		owner = session.Organisation
	})
	if owner == submitted.Organisation {
		return nil
	}
	return []request.FieldError{{
		Field:   "session",
		Problem: fmt.Sprintf("no session %q of this organisation", submitted.Session),
	}}
}

// readBody decodes the JSON body into value. If that fails, it writes an error
// response and reports false.
func (entry *Entry) readBody(w http.ResponseWriter, r *http.Request, value any) bool {
	// The response writers of an HTTP server support deadlines, those of tests
	// need not; so errors are ignored.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(entry.now().Add(entry.settings.Admission.TransferTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, entry.settings.Limits.MaxBodyBytes))
	if err == nil {
		// After an error the deadline is kept: without it, the server would wait
		// for the rest of the body before it sends the response.
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeProblem(w, http.StatusRequestEntityTooLarge, "(body)",
			fmt.Sprintf("must have at most %d bytes", entry.settings.Limits.MaxBodyBytes))
		return false
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "(body)", "could not be read")
		return false
	}
	err = json.Unmarshal(body, value)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		writeProblem(w, http.StatusBadRequest, wrongType.Field, "must be "+wrongType.Type.String()+", is "+wrongType.Value)
		return false
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "(body)", "must be JSON: "+err.Error())
		return false
	}
	return true
}

// statusCode returns the HTTP status of an outcome, for responses that are not
// streams.
func statusCode(outcome request.Outcome) int {
	switch outcome.Kind {
	case request.KindCompleted:
		return http.StatusOK
	case request.KindFailedMayHaveRun:
		return http.StatusBadGateway
	}
	switch outcome.Reason {
	case request.ReasonKeyConflict, request.ReasonKeyContentDiffers, request.ReasonKeyExpired:
		return http.StatusConflict
	case request.ReasonPromptTooLong:
		return http.StatusRequestEntityTooLarge
	case request.ReasonOrganisationLimit:
		return http.StatusTooManyRequests
	case request.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

func writeOutcome(w http.ResponseWriter, status Status, outcome request.Outcome) {
	setRetryAfter(w.Header(), outcome.RetryAfter)
	writeJSON(w, statusCode(outcome), withOutcome(status, outcome))
}

func withOutcome(status Status, outcome request.Outcome) Status {
	status.Running = false
	status.Outcome = outcome.Kind
	status.Reason = outcome.Reason
	status.RetryAfterMS = outcome.RetryAfter.Milliseconds()
	return status
}

// setRetryAfter sets the Retry-After header, which takes whole seconds; fractions
// are rounded up. It does nothing if after is not positive.
func setRetryAfter(header http.Header, after time.Duration) {
	if after > 0 {
		header.Set(headerRetry, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
}

func writeProblem(w http.ResponseWriter, status int, field, problem string) {
	writeJSON(w, status, Problem{
		Error:  "invalid request",
		Fields: []request.FieldError{{Field: field, Problem: problem}},
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
