package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/backend"
)

// maxPromptBytes is the maximum size of a request body.
const maxPromptBytes = 16 << 20

// Handler returns the engine's HTTP handler.
func (engine *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/streams", engine.handleSubmit).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams", engine.handleList).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{attempt}", engine.handleRead).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{attempt}", engine.handleCancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/reservations/{id}", engine.handleReserve).Methods(http.MethodPut)
	router.HandleFunc("/v1/reservations/{id}", engine.handleRelease).Methods(http.MethodDelete)
	router.HandleFunc("/v1/streams/{attempt}/pause", engine.handlePause(true)).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{attempt}/continue", engine.handlePause(false)).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{attempt}/kv", engine.handleExport).Methods(http.MethodGet)
	router.HandleFunc("/v1/kv", engine.handleImport).Methods(http.MethodPut)
	router.HandleFunc("/v1/cache/events", engine.handleCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", engine.handleCommand).Methods(http.MethodPost)
	router.HandleFunc("/v1/load", engine.handleLoad).Methods(http.MethodGet)
	return router
}

func (engine *Engine) handleSubmit(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
	prompt, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPromptBytes))
	if err != nil {
		refuse(w, &RefusalError{Reason: "prompt could not be read"})
		return
	}
	submission := newSubmission(r.Header, prompt)
	err = engine.Submit(submission)
	if err != nil {
		refuse(w, err)
		return
	}
	engine.relay(w, r, submission.Attempt, submission.From)
}

func newSubmission(header http.Header, prompt []byte) Submission {
	return Submission{
		Attempt:      header.Get(backend.HeaderAttempt),
		Request:      header.Get(backend.HeaderRequest),
		Organisation: header.Get(backend.HeaderOrganisation),
		Owner:        header.Get(backend.HeaderOwner),
		Key:          header.Get(backend.HeaderKey),
		Model:        header.Get(backend.HeaderModel),
		Group:        header.Get(backend.HeaderGroup),
		Prompt:       prompt,
		Priority:     int(parseNumber(header, backend.HeaderPriority)),
		From:         int(parseNumber(header, backend.HeaderFrom)),
		MaxTokens:    int(parseNumber(header, backend.HeaderMaxTokens)),
		TimeLeft:     time.Duration(parseNumber(header, backend.HeaderTimeLeft)) * time.Millisecond,
		Fence:        uint64(parseNumber(header, backend.HeaderFence)), //nolint:gosec // fencing tokens aren't negative
	}
}

func (engine *Engine) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from: must be a token's number", http.StatusBadRequest)
		return
	}
	attempt := mux.Vars(r)["attempt"]
	if _, ok := engine.Info(attempt); !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	engine.relay(w, r, attempt, from)
}

// relay streams the frames of an attempt from the given token as lines of JSON.
func (engine *Engine) relay(w http.ResponseWriter, r *http.Request, attempt string, from int) {
	info, _ := engine.Info(attempt)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set(backend.HeaderOrganisation, info.Organisation)
	w.Header().Set(backend.HeaderRequest, info.Request)
	w.Header().Set(backend.HeaderTimeLeft, strconv.FormatInt(info.TimeLeftMS, 10))
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	encoder := json.NewEncoder(w)
	engine.Read(r.Context(), attempt, from, func(frames []backend.Frame) error {
		for _, frame := range frames {
			err := encoder.Encode(frame)
			if err != nil {
				return errors.WithStack(err)
			}
		}
		return errors.WithStack(controller.Flush())
	})
}

func (engine *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !engine.Cancel(mux.Vars(r)["attempt"]) {
		http.Error(w, "no such stream", http.StatusNotFound)
	}
}

func (engine *Engine) handleList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, engine.List())
}

func (engine *Engine) handleReserve(w http.ResponseWriter, r *http.Request) {
	var reservation backend.Reservation
	err := json.NewDecoder(r.Body).Decode(&reservation)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	ttl := time.Duration(reservation.TTLMS) * time.Millisecond
	err = engine.Reserve(mux.Vars(r)["id"], reservation.Tokens, ttl)
	if err != nil {
		refuse(w, err)
	}
}

func (engine *Engine) handleRelease(_ http.ResponseWriter, r *http.Request) {
	engine.Release(mux.Vars(r)["id"])
}

func (engine *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, engine.Load())
}

func (engine *Engine) handlePause(paused bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !engine.Pause(mux.Vars(r)["attempt"], paused) {
			http.Error(w, "no such stream", http.StatusNotFound)
		}
	}
}

func (engine *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	kv, ok := engine.Export(r.Context(), mux.Vars(r)["attempt"])
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, kv)
}

func (engine *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var kv KV
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&kv)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	engine.Import(r.Context(), kv)
}

func (engine *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: must be an event's number", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, engine.CacheEvents(from))
}

func (engine *Engine) handleCommand(w http.ResponseWriter, r *http.Request) {
	var command Command
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&command)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	err = engine.Apply(command)
	if err != nil {
		refuse(w, err)
	}
}

// refuse writes a response stating that nothing was run.
func refuse(w http.ResponseWriter, err error) {
	refusal := backend.Refusal{Reason: err.Error(), NotRun: true}
	var refusalError *RefusalError
	if errors.As(err, &refusalError) {
		refusal.Draining = refusalError.Draining
	}
	writeJSON(w, http.StatusServiceUnavailable, refusal)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// parseNumber parses a number in a header. It returns zero if the value is invalid.
func parseNumber(header http.Header, name string) int64 {
	value, _ := strconv.ParseInt(header.Get(name), 10, 64)
	return value
}
