// Package service stands in for a plain service, such as one that prints fee
// receipts. It counts what it really ran.
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

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// Faults that can be switched while the service runs.
type Faults struct {
	// LoseAnswers makes calls take effect and then drop the connection.
	LoseAnswers bool `json:"lose_answers"`
}

// Service is the stand-in for one plain service.
type Service struct {
	id            string
	checksFencing bool
	duration      time.Duration
	executions    *execution.Log

	mu      sync.Mutex
	faults  Faults
	leaving bool
	// fences has the highest token seen for a key.
	fences map[string]uint64
}

// New returns a service whose calls take duration.
func New(id string, checksFencing bool, duration time.Duration, executions *execution.Log) *Service {
	return &Service{
		id:            id,
		checksFencing: checksFencing,
		duration:      duration,
		executions:    executions,
		fences:        make(map[string]uint64),
	}
}

// Handler returns the HTTP interface of the service.
func (service *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/calls", service.handleCall).Methods(http.MethodPost)
	return router
}

// SetFaults replaces the faults.
func (service *Service) SetFaults(faults Faults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.faults = faults
}

// Leave makes the service refuse new calls.
func (service *Service) Leave() {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.leaving = true
}

func (service *Service) handleCall(w http.ResponseWriter, r *http.Request) {
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
	lose := service.faults.LoseAnswers
	service.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// check returns why a call is refused, or nil.
func (service *Service) check(header http.Header) *backend.Refusal {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.leaving {
		return &backend.Refusal{Reason: "leaving", NotRun: true, Leaving: true}
	}
	key := header.Get(backend.HeaderKey)
	if !service.checksFencing || key == "" {
		return nil
	}
	fence, _ := strconv.ParseUint(header.Get(backend.HeaderFence), 10, 64)
	scoped := header.Get(backend.HeaderOrganisation) + "\x00" + key
	if fence < service.fences[scoped] {
		return &backend.Refusal{Reason: "fencing token is old", NotRun: true}
	}
	service.fences[scoped] = fence
	return nil
}
