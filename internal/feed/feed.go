// Package feed lets the VMs of a data centre read the platform's store through
// one of them, so that calls to the store do not grow with the number of VMs.
// What a VM reads from another one comes with its age, so that a chain of VMs
// never makes a belief look younger than it is.
package feed

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/follower"
)

// Path of a page, and names in its query.
const (
	path        = "/feed"
	queryLog    = "log"
	queryOffset = "offset"
	queryWait   = "wait_ms"
)

// maxWait bounds what others may ask a VM to wait.
const maxWait = 30 * time.Second

// Settings tune the feed.
type Settings struct {
	// MaxAge is the age from which on what a VM tells is not taken.
	MaxAge time.Duration `yaml:"max_age" validate:"min=10ms"`
	// Avoid is how long a VM is not asked that did not answer.
	Avoid time.Duration `yaml:"avoid" validate:"min=10ms"`
	// Wait is how long a question to another VM waits.
	Wait time.Duration `yaml:"wait" validate:"min=0,max=30s"`
	// Patience is how long an answer may take beyond Wait.
	Patience time.Duration `yaml:"patience" validate:"min=10ms"`
}

// DefaultSettings returns settings that keep beliefs younger than the 5 s after
// which the users' removed keys must not be served.
func DefaultSettings() Settings {
	return Settings{
		MaxAge:   2800 * time.Millisecond,
		Avoid:    3 * time.Second,
		Wait:     1200 * time.Millisecond,
		Patience: 400 * time.Millisecond,
	}
}

// Handler serves the tails of the logs that this VM reads, by name.
func Handler(tails map[string]*follower.Tail, logger *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		tail := tails[query.Get(queryLog)]
		offset, errOffset := strconv.ParseInt(query.Get(queryOffset), 10, 64)
		milliseconds, errWait := strconv.Atoi(query.Get(queryWait))
		if tail == nil || errOffset != nil || errWait != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		wait := min(maxWait, time.Duration(milliseconds)*time.Millisecond)
		page, err := tail.Read(request.Context(), offset, wait)
		if err != nil {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		data, err := proto.Marshal(encode(page))
		if err != nil {
			logger.Error("page not made", "error", err)
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = writer.Write(data) // who is gone needs no answer
	})
	return mux
}

// Reader says who reads the store for this VM.
type Reader interface {
	// Reader returns the address of the VM to ask, or false when this VM is to
	// read the store itself.
	Reader(avoid func(address string) bool) (string, bool)
}

// Log is a log that is read through another VM, or directly when there is none
// or it fails.
type Log struct {
	name     string
	direct   follower.Log
	reader   Reader
	client   *http.Client
	settings Settings
	logger   *slog.Logger
	now      func() time.Time

	mu sync.Mutex
	// avoided has until when VMs are not asked, by address.
	avoided map[string]time.Time
	// asked is who was asked last, empty for the store.
	asked string
}

var _ follower.Log = (*Log)(nil)

// New returns the log of that name, which is read at direct when no other VM
// reads it for this one.
func New(
	name string, direct follower.Log, reader Reader, transport http.RoundTripper, settings Settings,
	logger *slog.Logger, now func() time.Time,
) *Log {
	return &Log{
		name: name, direct: direct, reader: reader, client: &http.Client{Transport: transport},
		settings: settings, logger: logger, now: now, avoided: make(map[string]time.Time),
	}
}

// Read implements follower.Log.
func (log *Log) Read(ctx context.Context, offset int64, wait time.Duration) (follower.Page, error) {
	address, through := log.reader.Reader(log.avoids)
	log.noteAsked(address)
	if through {
		page, err := log.readThrough(ctx, address, offset)
		if err == nil {
			return page, nil
		}
		log.avoid(address, err)
	}
	return log.direct.Read(ctx, offset, wait) //nolint:wrapcheck // the log says what failed
}

// readThrough asks another VM.
func (log *Log) readThrough(ctx context.Context, address string, offset int64) (follower.Page, error) {
	bounded, cancel := context.WithTimeout(ctx, log.settings.Wait+log.settings.Patience)
	defer cancel()
	target := "http://" + address + path + "?" + queryLog + "=" + log.name +
		"&" + queryOffset + "=" + strconv.FormatInt(offset, 10) +
		"&" + queryWait + "=" + strconv.FormatInt(log.settings.Wait.Milliseconds(), 10)
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, target, nil)
	if err != nil {
		return follower.Page{}, errors.Wrap(err, "feed")
	}
	page, err := log.get(request)
	if err != nil {
		return follower.Page{}, err
	}
	if page.Age > log.settings.MaxAge {
		return follower.Page{}, errors.Newf("feed: content is %s old", page.Age)
	}
	return page, nil
}

// avoids reports whether a VM did not answer lately.
func (log *Log) avoids(address string) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.now().Before(log.avoided[address])
}

func (log *Log) avoid(address string, err error) {
	log.logger.Info("feed of another VM not taken", "log", log.name, "address", address, "error", err)
	log.mu.Lock()
	defer log.mu.Unlock()
	log.avoided[address] = log.now().Add(log.settings.Avoid)
}

// noteAsked logs when another VM is asked than before.
func (log *Log) noteAsked(address string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if address == log.asked {
		return
	}
	log.asked = address
	log.logger.Info("log read elsewhere", "log", log.name, "address", address, "directly", address == "")
}
