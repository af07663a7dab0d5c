// Package keeper implements the process that follows the platform's append-only
// log and VM list on behalf of the other processes of its VM. It maintains a
// replica of the state that the log's records describe, appends records in
// batches, writes checkpoints, and polls the load of model engines. Subscribers
// are entry processes, which serve callers, and keepers that start up.
package keeper

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/link"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const (
	headerTimeout = 5 * time.Second
	// heartbeatInterval is the maximum time between two frames to a subscriber.
	heartbeatInterval = 250 * time.Millisecond
)

// Platform has the external services that a keeper uses: those of the platform,
// and the model engines.
type Platform struct {
	Log         platformclient.Log
	Checkpoints platformclient.Log
	VMList      platformclient.VMList
	Engines     backend.Engine
}

// Keeper is a keeper process.
type Keeper struct {
	settings    Settings
	logger      *slog.Logger
	registry    *prometheus.Registry
	metrics     *metrics
	hub         *hub
	follower    *follower
	appender    *appender
	watcher     *watcher
	maintenance *maintenance
	listener    *link.Listener
}

// New returns a keeper that listens for subscribers. Run serves them.
func New(settings Settings, platform Platform, logger *slog.Logger) (*Keeper, error) {
	credentials, err := link.NewCredentials(settings.Secret)
	if err != nil {
		return nil, err
	}
	options := link.Options{PlainDatagrams: settings.PlainDatagrams}
	listener, err := link.Listen(settings.Address, credentials, options)
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	metrics := newMetrics(registry)
	replica := replica.New()
	keeper := &Keeper{
		settings: settings,
		logger:   logger,
		registry: registry,
		metrics:  metrics,
		hub:      newHub(replica),
		listener: listener,
	}
	keeper.appender = newAppender(platform.Log, replica, settings.Log, metrics, logger)
	keeper.watcher = &watcher{
		vmlist:   platform.VMList,
		engines:  platform.Engines,
		hub:      keeper.hub,
		settings: settings.Intervals,
		metrics:  metrics,
		logger:   logger,
	}
	keeper.follower = &follower{
		log:         platform.Log,
		checkpoints: platform.Checkpoints,
		hub:         keeper.hub,
		peers:       keeper.peers,
		credentials: credentials,
		options:     options,
		metrics:     metrics,
		logger:      logger,
	}
	keeper.maintenance = &maintenance{
		vm:          settings.VM,
		settings:    settings,
		replica:     replica,
		appender:    keeper.appender,
		checkpoints: platform.Checkpoints,
		vms:         keeper.vms,
		metrics:     metrics,
		logger:      logger,
	}
	return keeper, nil
}

// Run runs the keeper until ctx is done, or until listening fails, and returns that
// error.
func (keeper *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context){
		keeper.appender.run,
		keeper.maintenance.run,
		keeper.maintenance.runCheckpoints,
		keeper.follower.run,
		keeper.watcher.runFleet,
		keeper.watcher.runLoads,
	} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	group.Go(func() error { return keeper.listener.Serve(ctx, keeper.serve) })
	group.Go(func() error { return keeper.serveHTTP(ctx) })
	keeper.logger.Info("keeper started", "vm", keeper.settings.VM, "address", keeper.listener.Address())
	return group.Wait()
}

// vms returns the names of the system's VMs that do not drain, including this one.
func (keeper *Keeper) vms() []string {
	names := []string{keeper.settings.VM}
	for _, server := range keeper.watcher.servers(platformclient.KindSystem) {
		if server.GetId() != keeper.settings.VM && !server.GetLeaving() {
			names = append(names, server.GetId())
		}
	}
	return names
}

// peers returns the addresses of other keepers: those in the VM list, then the
// configured ones.
func (keeper *Keeper) peers() []string {
	var addresses []string
	for _, server := range keeper.watcher.servers(platformclient.KindSystem) {
		if server.GetId() != keeper.settings.VM && server.GetKeeperAddress() != "" {
			addresses = append(addresses, server.GetKeeperAddress())
		}
	}
	return append(addresses, keeper.settings.Peers...)
}

// serve sends frames to one subscriber until its link ends or it is dropped.
func (keeper *Keeper) serve(_ context.Context, peer *link.Peer) {
	first := &wire.ClientFrame{}
	err := peer.Receive(first)
	if err != nil || first.GetSubscribe() == nil {
		return
	}
	name := first.GetSubscribe().GetNode()
	subscriber := keeper.hub.subscribe(first.GetSubscribe().GetNextOffset())
	defer keeper.hub.unsubscribe(subscriber)
	keeper.metrics.subscribers.Inc()
	defer keeper.metrics.subscribers.Dec()
	keeper.logger.Info("subscriber connected", "node", name, "next_offset", first.GetSubscribe().GetNextOffset())
	go keeper.receive(peer, name)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		frame := &wire.ServerFrame{} // a heartbeat
		open := true
		select {
		case frame, open = <-subscriber.frames:
		case <-heartbeat.C:
		}
		if !open {
			keeper.logger.Warn("subscriber is too slow; closing its link", "node", name)
			return
		}
		heartbeat.Reset(heartbeatInterval)
		err = peer.Send(keeper.withReady(frame))
		if err != nil {
			keeper.logger.Info("subscriber disconnected", "node", name, "error", err)
			return
		}
	}
}

// withReady returns a copy of the frame with the keeper's readiness set. Subscribers
// share the frame itself.
func (keeper *Keeper) withReady(frame *wire.ServerFrame) *wire.ServerFrame {
	return &wire.ServerFrame{Body: frame.GetBody(), Ready: keeper.follower.ready.Load()}
}

// receive queues the proposals of a subscriber until receiving fails, and then closes
// the link.
func (keeper *Keeper) receive(peer *link.Peer, name string) {
	defer peer.Close()
	for {
		frame := &wire.ClientFrame{}
		err := peer.Receive(frame)
		if err != nil {
			return
		}
		if record := frame.GetPropose(); record != nil {
			err = keeper.appender.propose(record)
		}
		if err != nil {
			// The subscriber retries the proposal until its own deadline.
			keeper.logger.Warn("proposal dropped", "node", name, "error", err)
		}
	}
}

// Handler returns the HTTP handler for health checks and metrics.
func (keeper *Keeper) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !keeper.follower.ready.Load() {
			http.Error(w, "no state yet", http.StatusServiceUnavailable)
		}
	})
	router.Handle("/metrics", promhttp.HandlerFor(keeper.registry, promhttp.HandlerOpts{}))
	return router
}

func (keeper *Keeper) serveHTTP(ctx context.Context) error {
	server := &http.Server{
		Addr:              keeper.settings.HTTPAddress,
		Handler:           keeper.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "keeper: serve HTTP")
}
