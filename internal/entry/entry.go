// Package entry implements the server that accepts the requests of callers. It
// admits requests, routes them to backend servers, relays the responses and
// reports the outcome of each request.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/keeperclient"
	"github.com/mastwinch/mastwinch/internal/link"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/retrybudget"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/statemachine"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// Limits of the HTTP server and intervals of an entry.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// shutdownTimeout limits the wait for background goroutines, and again the wait
	// for open connections.
	shutdownTimeout = 5 * time.Second
	// maintenanceInterval is the interval of maintenance, and of checks whether a drain
	// is complete.
	maintenanceInterval = 250 * time.Millisecond
)

// Backends is the client for backend servers: engines and plain services.
type Backends interface {
	backend.Engine
	backend.Service
	// HasEnded reports whether the process at an address is known to have ended: its port refuses connections.
	HasEnded(ctx context.Context, address string) bool
}

// Proposer appends records to the replicated log.
type Proposer interface {
	// Propose appends a record and returns the verdict that is read back from the
	// log. It returns keeperclient.ErrUnsettled if ctx ends first; the record may
	// still take effect then.
	Propose(ctx context.Context, record *wire.Record) (statemachine.Verdict, error)
	// Connected reports whether there is a connection to a keeper.
	Connected() bool
	// Ready reports whether the replicated state has been loaded.
	Ready() bool
}

// Entry serves callers and operators over HTTP. Create it with New or NewWith.
type Entry struct {
	settings Settings
	// incarnation is unique to this instance of the process: it changes with each
	// restart.
	incarnation string
	backends    Backends
	replica     *replica.Replica
	fleet       *fleet.Fleet
	proposer    Proposer
	policy      routing.Policy
	admission   *admission
	retries     *retrybudget.Budget
	registry    *registry
	quarantine  *quarantine.Tracker
	metrics     *metrics
	prometheus  *prometheus.Registry
	logger      *slog.Logger
	now         func() time.Time
	peers       *http.Client

	// stopping is set when the entry begins to drain: its readiness check fails,
	// but it still admits requests.
	stopping atomic.Bool
	// refusing is set when the entry refuses all new requests.
	refusing atomic.Bool
	// background counts the goroutines that outlive the HTTP request which started
	// them.
	background sync.WaitGroup
	// baseContext is the parent of the contexts of all requests. It is cancelled when
	// the entry stops.
	baseContext context.Context //nolint:containedctx // requests outlive the calls that make them
	cancelBase  context.CancelFunc
}

// New returns an entry and its client for the keepers, which the caller must run.
func New(settings Settings, backends Backends, logger *slog.Logger) (*Entry, *keeperclient.Client, error) {
	credentials, err := link.NewCredentials(settings.Secret)
	if err != nil {
		return nil, nil, err
	}
	replica := replica.New()
	fleet := fleet.New(settings.Fleet, time.Now)
	client := keeperclient.New(settings.VM, settings.Keepers, credentials,
		link.Options{PlainDatagrams: settings.PlainDatagrams}, replica, fleet, logger)
	return NewWith(settings, backends, replica, fleet, client, logger), client, nil
}

// NewWith returns an entry that uses the given replica, fleet and proposer.
func NewWith(
	settings Settings, backends Backends, replica *replica.Replica, fleet *fleet.Fleet,
	proposer Proposer, logger *slog.Logger,
) *Entry {
	baseContext, cancelBase := context.WithCancel(context.Background())
	registry := newRegistry(settings.Relay.MaxEnded)
	prometheus := prometheus.NewRegistry()
	return &Entry{
		settings:    settings,
		incarnation: settings.VM + "/" + uuid.NewString(),
		backends:    backends,
		replica:     replica,
		fleet:       fleet,
		proposer:    proposer,
		policy:      newPolicy(settings.Routing),
		admission:   newAdmission(settings.Admission),
		retries:     retrybudget.New(retrybudget.Limits{Ratio: settings.Retry.Ratio, Burst: settings.Retry.Burst}, time.Now),
		registry:    registry,
		quarantine:  quarantine.New(settings.Quarantine, quarantine.Standalone{}, quarantine.Standalone{}, logger, time.Now),
		metrics:     newMetrics(prometheus, registry.runningCount, replica.Next),
		prometheus:  prometheus,
		logger:      logger,
		now:         time.Now,
		peers:       &http.Client{},
		baseContext: baseContext,
		cancelBase:  cancelBase,
	}
}

// Run serves callers until ctx is done, and then until the requests in flight
// have ended or the drain time is over. It calls follow in a goroutine of its own,
// with a context that is cancelled when the entry stops.
func (entry *Entry) Run(ctx context.Context, follow func(context.Context)) error {
	defer entry.cancelBase()
	server := &http.Server{
		Addr:              entry.settings.Address,
		Handler:           entry.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	group := &errgroup.Group{}
	group.Go(func() error {
		follow(entry.baseContext)
		return nil
	})
	group.Go(func() error {
		entry.runMaintenance(entry.baseContext)
		return nil
	})
	group.Go(func() error {
		entry.quarantine.Run(entry.baseContext, true)
		return nil
	})
	group.Go(func() error {
		err := server.ListenAndServe()
		entry.cancelBase()
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, "entry HTTP server")
	})
	stop := context.AfterFunc(ctx, func() { entry.drain(server) })
	defer stop()
	entry.logger.Info("entry started", "vm", entry.settings.VM, "address", entry.settings.Address,
		"incarnation", entry.incarnation, "policy", entry.settings.Routing.Policy)
	return group.Wait()
}

// drain fails the readiness check, waits for the load balancer to detect that,
// refuses new requests, and stops the server when all requests have ended or the
// drain time is over.
func (entry *Entry) drain(server *http.Server) {
	entry.stopping.Store(true)
	entry.logger.Info("entry draining", "running", entry.registry.runningCount())
	wait.For(entry.baseContext, entry.settings.Admission.RefuseDelay)
	entry.refusing.Store(true)
	deadline := entry.now().Add(entry.settings.Admission.DrainTimeout)
	for entry.registry.runningCount() > 0 && entry.now().Before(deadline) {
		wait.For(entry.baseContext, maintenanceInterval)
	}
	entry.waitBackground(shutdownTimeout)
	entry.logger.Info("entry shutting down", "running", entry.registry.runningCount())
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(shutdownCtx)
	_ = server.Close()
}

func (entry *Entry) waitBackground(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		entry.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// runMaintenance runs until ctx is done. It periodically cancels requests whose response is
// not read, and removes ended requests after their retention time.
func (entry *Entry) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			entry.maintain(entry.now())
		case <-ctx.Done():
			return
		}
	}
}

func (entry *Entry) maintain(now time.Time) {
	for _, active := range entry.registry.runningRequests() {
		if active.cancellableWhenUnread() && active.buffer.UnreadSince(now.Add(-entry.settings.Relay.DetachGrace)) {
			active.cancel(errCallerGone)
		}
	}
	entry.registry.removeEndedBefore(now.Add(-entry.settings.Relay.EndedRetention))
}

// random returns a random number generator for one routing decision.
func (entry *Entry) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // the numbers protect no secret
}
