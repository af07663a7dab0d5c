// Package logservice simulates the platform's log service: append-only streams
// of entries with offsets, a rate limit, time-based retention, and switchable
// faults.
package logservice

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Limits of the service: the size of an entry, the entries in a page, and the
// duration of a blocking read.
const (
	maxEntryBytes = 1 << 20
	maxPage       = 512
	maxWait       = 30 * time.Second
)

// Settings configures the service.
type Settings struct {
	// AppendsPerSecond is the rate limit of appends to all streams together.
	AppendsPerSecond float64 `yaml:"appends_per_second" validate:"gt=0"`
	// Retention is the time after which an entry is removed.
	Retention time.Duration `yaml:"retention" validate:"min=100ms"`
	// AppendDelay is the latency of an append.
	AppendDelay time.Duration `yaml:"append_delay" validate:"min=0"`
}

// Faults are failure modes that can be changed at run time.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// LostResponses is the fraction (0 to 1) of appends that take effect but
	// return an error.
	LostResponses float64 `json:"lost_answers"`
	// LateAppends is the fraction (0 to 1) of appends that return an error
	// immediately and take effect after LateByMS milliseconds.
	LateAppends float64 `json:"late_appends"`
	LateByMS    int64   `json:"late_by_ms"`
}

// LogService is a simulated log service. It is safe for concurrent use.
type LogService struct {
	settings Settings
	limiter  *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
}

// stream is an append-only log.
type stream struct {
	// entries are the retained entries. Their offsets are consecutive and start
	// at first.
	entries []entry
	first   uint64
	// entryAdded is closed and replaced when an entry is added.
	entryAdded chan struct{}
}

// entry is the data of one append.
type entry struct {
	data     []byte
	appended time.Time
}

// New returns a service without streams. A stream is created when it is first used.
func New(settings Settings) *LogService {
	burst := max(1, int(settings.AppendsPerSecond/10))
	return &LogService{
		settings: settings,
		limiter:  rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), burst),
		streams:  make(map[string]*stream),
	}
}

// Register adds the service's HTTP routes to router.
func (logservice *LogService) Register(router *mux.Router) {
	router.HandleFunc("/v1/log/{stream}", logservice.handleAppend).Methods(http.MethodPost)
	router.HandleFunc("/v1/log/{stream}", logservice.handleRead).Methods(http.MethodGet)
}

// SetFaults replaces all faults.
func (logservice *LogService) SetFaults(faults Faults) {
	logservice.mu.Lock()
	defer logservice.mu.Unlock()
	logservice.faults = faults
}

// Append adds an entry to the named stream. It returns false if the append
// exceeds the rate limit, is cancelled, or is reported as failed because of a
// fault; in the latter case it may still take effect.
func (logservice *LogService) Append(ctx context.Context, name string, data []byte) bool {
	if !logservice.limiter.Allow() {
		return false
	}
	if !wait.For(ctx, logservice.settings.AppendDelay) {
		return false
	}
	logservice.mu.Lock()
	defer logservice.mu.Unlock()
	faults := logservice.faults
	switch {
	case faults.Outage:
		return false
	case rand.Float64() < faults.LateAppends: //nolint:gosec // not security-relevant
		delay := time.Duration(faults.LateByMS) * time.Millisecond
		time.AfterFunc(delay, func() { logservice.add(name, data) })
		return false
	}
	logservice.addLocked(name, data)
	return rand.Float64() >= faults.LostResponses //nolint:gosec // not security-relevant
}

// Read returns a page of entries from the given offset. If there are none yet,
// it waits for an entry for up to the given time. It returns false during an
// outage.
func (logservice *LogService) Read(ctx context.Context, name string, from uint64, wait time.Duration) (platformclient.Page, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, entryAdded, ok := logservice.page(name, from)
		if !ok || len(page.Entries) > 0 || from < page.First {
			return page, ok
		}
		select {
		case <-entryAdded:
		case <-timeout.C:
			return page, true
		case <-ctx.Done():
			return page, true
		}
	}
}

// page returns the entries available from the given offset, a channel that is
// closed when an entry is added, and false during an outage.
func (logservice *LogService) page(name string, from uint64) (platformclient.Page, <-chan struct{}, bool) {
	logservice.mu.Lock()
	defer logservice.mu.Unlock()
	if logservice.faults.Outage {
		return platformclient.Page{}, nil, false
	}
	stream := logservice.stream(name)
	stream.expire(time.Now().Add(-logservice.settings.Retention))
	page := platformclient.Page{First: stream.first, Next: stream.next()}
	for offset := max(from, stream.first); offset < stream.next() && len(page.Entries) < maxPage; offset++ {
		data := stream.entries[offset-stream.first].data
		page.Entries = append(page.Entries, platformclient.Entry{Offset: offset, Data: data})
	}
	return page, stream.entryAdded, true
}

func (logservice *LogService) add(name string, data []byte) {
	logservice.mu.Lock()
	defer logservice.mu.Unlock()
	logservice.addLocked(name, data)
}

func (logservice *LogService) addLocked(name string, data []byte) {
	stream := logservice.stream(name)
	stream.entries = append(stream.entries, entry{data: data, appended: time.Now()})
	close(stream.entryAdded)
	stream.entryAdded = make(chan struct{})
}

func (logservice *LogService) stream(name string) *stream {
	found, ok := logservice.streams[name]
	if !ok {
		found = &stream{entryAdded: make(chan struct{})}
		logservice.streams[name] = found
	}
	return found
}

// next returns the offset of the next entry to be added.
func (stream *stream) next() uint64 {
	return stream.first + uint64(len(stream.entries))
}

// expire removes entries that were appended before the given time.
func (stream *stream) expire(before time.Time) {
	for len(stream.entries) > 0 && stream.entries[0].appended.Before(before) {
		stream.entries = stream.entries[1:]
		stream.first++
	}
}

func (logservice *LogService) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
	if err != nil {
		http.Error(w, "entry too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !logservice.Append(r.Context(), mux.Vars(r)["stream"], data) {
		http.Error(w, "log unavailable", http.StatusServiceUnavailable)
	}
}

func (logservice *LogService) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: must be an offset", http.StatusBadRequest)
		return
	}
	milliseconds, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	wait := min(time.Duration(milliseconds)*time.Millisecond, maxWait)
	page, ok := logservice.Read(r.Context(), mux.Vars(r)["stream"], from, wait)
	if !ok {
		http.Error(w, "log unavailable", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}
