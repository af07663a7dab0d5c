// Package service simulates a plain service, a backend server that isn't a model
// engine, such as one that prints fee receipts. It returns the body of each call
// and records the calls that it executed.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
)

// maxBodyBytes is the maximum size of a call's body.
const maxBodyBytes = 1 << 20

// Faults are failure modes that can be changed at run time.
type Faults struct {
	// LoseResponses makes the service execute calls and then close the
	// connection without a response.
	LoseResponses bool `json:"lose_answers"`
}

// Service is a simulated plain service. It is safe for concurrent use.
type Service struct {
	id            string
	checksFencing bool
	duration      time.Duration
	executions    *execution.Log

	mu       sync.Mutex
	faults   Faults
	draining bool
	// fences has the highest fencing token seen for each organisation and key.
	fences map[string]uint64
}

// New returns a service whose calls take the given duration. Executed calls are
// added to executions. With checksFencing, calls whose fencing token is older
// than an earlier one for the same key are refused.
func New(id string, checksFencing bool, duration time.Duration, executions *execution.Log) *Service {
	return &Service{
		id:            id,
		checksFencing: checksFencing,
		duration:      duration,
		executions:    executions,
		fences:        make(map[string]uint64),
	}
}

// Handler returns the service's HTTP handler.
func (service *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/calls", service.handleCall).Methods(http.MethodPost)
	return router
}

// SetFaults replaces all faults.
func (service *Service) SetFaults(faults Faults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.faults = faults
}

// Drain makes the service refuse new calls; calls in flight finish.
func (service *Service) Drain() {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.draining = true
}

func (service *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	if refusal := service.check(r.Header); refusal != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(refusal)
		return
	}
	service.executions.Add(execution.Execution{
		Attempt:      r.Header.Get(backend.HeaderAttempt),
		Request:      r.Header.Get(backend.HeaderRequest),
		Organisation: r.Header.Get(backend.HeaderOrganisation),
		Key:          r.Header.Get(backend.HeaderKey),
		Server:       service.id,
	})
	time.Sleep(service.duration)
	service.mu.Lock()
	loseResponse := service.faults.LoseResponses
	service.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// check returns the reason why a call is refused, or nil if it is accepted.
func (service *Service) check(header http.Header) *backend.Refusal {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.draining {
		return &backend.Refusal{Reason: "leaving", NotRun: true, Draining: true}
	}
	key := header.Get(backend.HeaderKey)
	if !service.checksFencing || key == "" {
		return nil
	}
	token, _ := strconv.ParseUint(header.Get(backend.HeaderFence), 10, 64)
	scopedKey := header.Get(backend.HeaderOrganisation) + "\x00" + key
	if token < service.fences[scopedKey] {
		return &backend.Refusal{Reason: "fencing token is old", NotRun: true}
	}
	service.fences[scopedKey] = token
	return nil
}
