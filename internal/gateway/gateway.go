// Package gateway implements the gateway process of a VM. It admits a caller's request against the
// configuration in force, forwards it to backend servers, relays the response and retries failed
// attempts.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/clock"
	"github.com/mastwinch/mastwinch/internal/coordinator"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/network"
	"github.com/mastwinch/mastwinch/internal/panics"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/retrybudget"
	"github.com/mastwinch/mastwinch/internal/tunnel"
	"github.com/mastwinch/mastwinch/internal/upstream"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Timing and size limits of the process that no settings file changes.
const (
	// maintenanceInterval is the interval between sweeps of idle connections and updates of the
	// retry limits.
	maintenanceInterval = 500 * time.Millisecond
	// drainPollInterval is the interval at which a draining process checks whether all requests
	// have ended.
	drainPollInterval = 50 * time.Millisecond
	// headerTimeout is the longest time to receive the header of a request. It applies before a
	// configuration is in force; the users' configurations set 3 s.
	headerTimeout = 3 * time.Second
	// maxHeaderBytes is the most that is ever read of a request's header, in bytes; the users'
	// configurations set 16 KiB.
	maxHeaderBytes = 64 << 10
	// readyAgeFraction is the fraction of Bounds.Revoke up to which a VM reports ready, measured by
	// the age of its configuration.
	readyAgeFraction = 0.6
)

// Sources are the stores that a gateway follows or writes to.
type Sources struct {
	Configuration follower.Source[catalog.Record]
	Servers       follower.Source[directory.Entry]
	Registry      exchange.Registry
	Quarantine    quarantine.Store
	// Epochs tracks the epoch of the platform's store, which all sources share.
	Epochs *epoch.Watch
}

// Gateway is the gateway process of one VM. Its methods are safe for concurrent use.
type Gateway struct {
	settings Settings
	site     Site
	// bounds are those of the settings file at its last reload.
	bounds atomic.Pointer[Bounds]
	// settingsState is the result of that reload. It is never nil.
	settingsState atomic.Pointer[settingsState]
	codec         Codec
	network       network.Network
	logger        *slog.Logger
	clock         *clock.Clock
	now           func() time.Time

	// started is the time at which the process started.
	started time.Time

	operatorState *operatorState
	configuration *follower.Follower[catalog.Record]
	directory     *follower.Follower[directory.Entry]
	exchange      *exchange.Exchange
	// tails has the recently read part of each source by the source's name, served to other VMs.
	tails         map[string]*follower.Tail
	pool          *pool.Pool
	policy        placement.Policy
	coordinator   *coordinator.Coordinator
	links         *reachability.Monitor
	tunnels       *tunnel.Dialer
	tunnelServer  *tunnel.Server
	upstream      *upstream.Client
	reservations  *reservation.Manager
	metrics       *metrics
	idle          *idleConnections
	retryDetector *retryDetector
	quarantine    *quarantine.Tracker
	endChecks     *endChecks
	epochs        *epoch.Watch

	// inFlight counts requests in flight.
	inFlight atomic.Int64
	// bodyMemory limits the memory for the bodies of requests in flight, and responseMemory the
	// memory for responses that callers have not read yet.
	bodyMemory     memoryLimit
	responseMemory *responseBuffers
	// stopping is true once the process was signalled to stop.
	stopping atomic.Bool
	// refusing is true once a draining process refuses new requests.
	refusing atomic.Bool
	// baseContext is cancelled when requests in flight must be aborted.
	baseContext context.Context //nolint:containedctx // requests outlive the context passed to Run
	cancelBase  context.CancelCauseFunc

	budgetMu sync.Mutex
	// budgets has the retry budget of each service by its name.
	budgets map[string]*retrybudget.Budget
}

// errStopping is the cancellation cause of requests in flight when the process stops.
var errStopping = errors.New("process is stopping")

// errQuarantined is the cancellation cause of a request that was quarantined because servers crash
// while they process it.
var errQuarantined = errors.New("request is quarantined: servers crash while processing it")

// New returns a gateway. It receives datagrams from other VMs from this call on, and serves once
// Run is called.
func New(
	settings Settings, site Site, codec Codec, orders reservation.Codec, sources Sources,
	hostNetwork network.Network, clock *clock.Clock, logger *slog.Logger,
) (*Gateway, error) {
	now := clock.Now
	packetConn, err := hostNetwork.ListenPacket(context.Background(), site.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	self := exchange.Member{
		VM: site.VM, Address: site.PeerAddress, DataCentre: site.DataCentre, Capacity: site.Capacity,
		FirstStart: site.FirstStart,
	}
	exchange := exchange.New(settings.Exchange, self, packetConn, site.Seeds, sources.Registry, sources.Epochs, logger, now)
	serverPool := pool.New(settings.Pool, site.VM, exchange, logger, now)
	baseContext, cancelBase := context.WithCancelCause(context.Background())
	gateway := &Gateway{
		settings:      settings,
		site:          site,
		codec:         codec,
		network:       hostNetwork,
		logger:        logger,
		clock:         clock,
		now:           now,
		operatorState: newOperatorState(serverPool, logger),
		started:       now(),
		exchange:      exchange,
		pool:          serverPool,
		policy:        newPolicy(settings),
		idle:          newIdleConnections(now),
		retryDetector: newRetryDetector(now),

		epochs:     sources.Epochs,
		quarantine: quarantine.New(settings.Quarantine, sources.Quarantine, exchange, logger, now),

		bodyMemory:     memoryLimit{maxBytes: site.memoryFraction(settings.Request.BodyMemoryFraction)},
		responseMemory: newResponseBuffers(site.memoryFraction(settings.Request.ResponseMemoryFraction)),
		baseContext:    baseContext,
		cancelBase:     cancelBase,
		budgets:        make(map[string]*retrybudget.Budget),
	}
	gateway.endChecks = newEndChecks(gateway)
	gateway.links = reachability.NewMonitor(settings.Reachability, logger, now)
	gateway.tunnels = tunnel.NewDialer(settings.Tunnel, gateway.links, hostNetwork, exchange, logger, now)
	gateway.upstream = upstream.New(settings.Upstream, hostNetwork, notices{gateway}, gateway.links, gateway.tunnels, now)
	gateway.tunnelServer = tunnel.NewServer(settings.Tunnel, gateway.links, serverPool, gateway.upstream.DialDirect, logger)
	gateway.coordinator = coordinator.New(settings.Coordinator, site.VM, gateway.policy, settings.Shares, gateway.pool, gateway.service,
		&sharedRetries{gateway: gateway, budgets: make(map[string]*sharedBudget)}, exchange, now)
	gateway.reservations = reservation.New(baseContext, settings.Reservation.WithMaxTTL(site.Bounds.HoldMax), orders, gateway.upstream, logger, now)
	gateway.metrics = newMetrics(gateway)
	gateway.bounds.Store(&site.Bounds)
	gateway.settingsState.Store(&settingsState{ignored: site.Ignored})
	gateway.logIgnored(site)
	transport := network.NewTransport(hostNetwork)
	maxDelay := func() time.Duration { return gateway.bounds.Load().Known() }
	feedSettings := settings.Feed
	if site.FirstStart {
		feedSettings.MembersTimeout = feedSettings.FirstMembersTimeout
	}
	// Reads of the store and reads from other VMs are each bounded by a timeout of their own.
	viaPeers := func(name string, direct follower.Log, timeout time.Duration) follower.Log {
		direct = follower.NewBounded(direct, timeout)
		return feed.New(name, direct, exchange, maxDelay, transport, feedSettings, sources.Epochs, logger, now)
	}
	gateway.configuration = follower.New(
		sources.Configuration.WithLog(
			viaPeers(sources.Configuration.Name, sources.Configuration.Log, settings.Configuration.ResponseTimeout)),
		gateway.operatorState, settings.Configuration, sources.Epochs, logger, now)
	gateway.directory = follower.New(
		sources.Servers.WithLog(
			viaPeers(sources.Servers.Name, sources.Servers.Log, settings.Directory.ResponseTimeout)),
		serverList{Pool: gateway.pool, gateway: gateway}, settings.Directory.WithMinSettleTime(entryExpiry(site)), sources.Epochs, logger, now)
	gateway.tails = map[string]*follower.Tail{
		sources.Configuration.Name: gateway.configuration.Tail(),
		sources.Servers.Name:       gateway.directory.Tail(),
	}
	return gateway, nil
}

// expiryHeartbeats is the number of heartbeat intervals after which the entry of a stopped server
// has expired: three missed heartbeats, and one interval for a heartbeat still in transit.
const expiryHeartbeats = 3 + 1

// entryExpiry returns how long the entry of a stopped server may remain in the store.
func entryExpiry(site Site) time.Duration {
	return expiryHeartbeats * site.Heartbeat
}

// service looks up a service in the configuration in force. It reports false while there is none.
func (gateway *Gateway) service(name string) (*catalog.Service, bool) {
	current := gateway.operatorState.current.Load()
	if current == nil {
		return nil, false
	}
	return current.Service(name)
}

// Run serves until ctx is done. It then drains: it returns when all requests have ended or the
// grace period is nearly over.
func (gateway *Gateway) Run(ctx context.Context) error {
	defer gateway.upstream.Close()
	defer gateway.cancelBase(errStopping)
	callerServer := &http.Server{
		Handler:           gateway.handlePanics(http.HandlerFunc(gateway.serve)),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         gateway.idle.connStateChanged,
		ErrorLog:          slog.NewLogLogger(gateway.logger.Handler(), slog.LevelDebug),
	}
	readinessServer := &http.Server{Handler: gateway.handlePanics(gateway.readyHandler()), ReadHeaderTimeout: headerTimeout}
	peerServer := &http.Server{Handler: gateway.handlePanics(gateway.peerHandler()), ReadHeaderTimeout: headerTimeout}
	group, groupCtx := errgroup.WithContext(gateway.baseContext)
	group.Go(func() error { return gateway.listenAndServe(groupCtx, callerServer, gateway.site.Address) })
	group.Go(func() error { return gateway.listenAndServe(groupCtx, readinessServer, gateway.site.ReadyAddress) })
	group.Go(func() error { return gateway.listenAndServe(groupCtx, peerServer, gateway.site.PeerAddress) })
	group.Go(func() error {
		return gateway.exchange.Run(groupCtx, peerSink{
			Pool: gateway.pool, Coordinator: gateway.coordinator, quarantine: gateway.quarantine, tails: gateway.tails,
			isCoordinator: gateway.exchange.Evaluates, now: gateway.now,
		})
	})
	group.Go(func() error { gateway.quarantine.Run(groupCtx, gateway.site.FirstStart); return nil })
	group.Go(func() error { gateway.coordinator.Run(groupCtx); return nil })
	group.Go(func() error { gateway.configuration.Run(groupCtx); return nil })
	group.Go(func() error { gateway.directory.Run(groupCtx); return nil })
	group.Go(func() error { gateway.runMaintenance(groupCtx); return nil })
	group.Go(func() error { gateway.watchEpochs(groupCtx); return nil })
	group.Go(func() error { gateway.probeServers(groupCtx); return nil })
	defer gateway.clock.AfterResume(gateway.handleResume)()
	group.Go(func() error { gateway.clock.Run(groupCtx); return nil })
	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		gateway.drain(callerServer, readinessServer, peerServer)
	})
	gateway.logger.Info("gateway serves", "address", gateway.site.Address,
		"data_centre", gateway.site.DataCentre, "policy", gateway.settings.Policy)
	err := group.Wait()
	if !stop() {
		<-drained
	}
	gateway.logger.Info("gateway stopped", "running", gateway.inFlight.Load(), "error", err)
	return err
}

// handlePanics returns a handler that handles the panics of next. Nothing is known then of where the request has run.
func (gateway *Gateway) handlePanics(next http.Handler) http.Handler {
	requestID := func(request *http.Request) string {
		head, _ := gateway.codec.Head(request) // of an invalid header the ID is read too
		return head.ID
	}
	return panics.Handling{
		RequestID: requestID,
		Respond: func(writer http.ResponseWriter, request *http.Request) {
			gateway.writeOutcome(writer, requestID(request), failure(ReasonPanicked, true, 0), "")
		},
		Count: gateway.metrics.panics.Inc, Logger: gateway.logger,
	}.Handler(next)
}

// peerHandler returns the handler for requests of other VMs: for tunnels to servers, and for records of the store.
func (gateway *Gateway) peerHandler() http.Handler {
	records := feed.Handler(gateway.tails, gateway.epochs, gateway.logger)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodConnect {
			gateway.tunnelServer.ServeHTTP(writer, request)
			return
		}
		records.ServeHTTP(writer, request)
	})
}

func (gateway *Gateway) listenAndServe(ctx context.Context, server *http.Server, address string) error {
	listener, err := gateway.network.Listen(ctx, address)
	if err != nil {
		return errors.Wrap(err, "gateway")
	}
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "gateway")
}

// handleResume handles the resume of the machine after a suspension, which makes all stored state
// stale: its age is measured by the gateway's clock and includes the suspension. The state is read
// again, and reads from the store and from other VMs that were in flight are sent again.
func (gateway *Gateway) handleResume(slept time.Duration) {
	gateway.logger.Warn("resumed after machine suspension", "slept", slept)
	gateway.refreshFollowers()
	gateway.exchange.Resumed(slept)
}

// runMaintenance periodically closes connections that were idle for too long, updates the retry
// limits and logs organisations over their shares, until ctx is done.
func (gateway *Gateway) runMaintenance(ctx context.Context) {
	for wait.For(ctx, maintenanceInterval) {
		gateway.upstream.Sweep()
		if catalog := gateway.operatorState.current.Load(); catalog != nil {
			gateway.idle.close(catalog.Limits().IdleTimeout)
		}
		gateway.updateRetryLimits()
		gateway.logOverShares()
	}
}

// retryAfter returns after how long a refused caller may retry.
func (gateway *Gateway) retryAfter() time.Duration {
	return randomBetween(gateway.settings.Request.RetryAfterMin, gateway.settings.Request.RetryAfterMax)
}

// storeRetryAfter returns after how long a caller may retry that was refused because this VM has no
// configuration yet.
func (gateway *Gateway) storeRetryAfter() time.Duration {
	return randomBetween(gateway.settings.Request.StoreRetryMin, gateway.settings.Request.StoreRetryMax)
}

// randomBetween returns a random duration, so that refused callers do not all retry at the same
// time.
func randomBetween(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rand.Float64()*float64(longest-shortest)) //nolint:gosec // not used for security
}
