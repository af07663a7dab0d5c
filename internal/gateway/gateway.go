// Package gateway serves callers: it takes a request, checks it against the
// configuration in force, sends it to backend servers, relays the answer, and
// answers for the outcome.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"reflect"
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
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/retrybudget"
	"github.com/mastwinch/mastwinch/internal/upstream"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// Times of the process itself.
const (
	// houseTick is the time between looks at connections and limits.
	houseTick = 500 * time.Millisecond
	// drainTick is the time between looks whether all requests have ended.
	drainTick = 50 * time.Millisecond
	// headerTimeout is the longest time for a head before a configuration says
	// otherwise; the users' configurations say 3 s.
	headerTimeout = 3 * time.Second
	// maxHeaderBytes is the most that is ever read of a head; the users'
	// configurations say 16 KiB.
	maxHeaderBytes = 64 << 10
	// freshPart is the part of the bound on revoked keys up to which a VM with
	// that old a belief calls itself ready.
	freshPart = 0.6
)

// Sources are where a gateway learns what it believes.
type Sources struct {
	Configuration follower.Source[catalog.Statement]
	Servers       follower.Source[directory.Entry]
	Register      exchange.Register
	Quarantine    quarantine.Store
	// Epochs hears of the epochs of the store that all of them are in.
	Epochs *epoch.Watch
}

// Gateway is one gateway process.
type Gateway struct {
	settings Settings
	site     Site
	// bounds are those of the settings file as it was read last.
	bounds  atomic.Pointer[Bounds]
	codec   Codec
	network network.Network
	logger  *slog.Logger
	clock   *clock.Clock
	now     func() time.Time

	// started is when the process did.
	started time.Time

	belief        *belief
	configuration *follower.Follower[catalog.Statement]
	directory     *follower.Follower[directory.Entry]
	exchange      *exchange.Exchange
	// tails has what is read, by the names of the sources, for other VMs.
	tails        map[string]*follower.Tail
	pool         *pool.Pool
	policy       placement.Policy
	coordinator  *coordinator.Coordinator
	upstream     *upstream.Client
	reservations *reservation.Book
	metrics      *metrics
	idle         *idleConnections
	returns      *returns
	quarantine   *quarantine.Book
	epochs       *epoch.Watch

	// running counts requests in progress.
	running atomic.Int64
	// bodies has the bodies of requests in progress, and answers what servers sent that callers have not read.
	bodies  memory
	answers *answerRoom
	// stopping says that the process was asked to stop.
	stopping atomic.Bool
	// closing says that new requests are refused, so that the process can end.
	closing atomic.Bool
	// life ends when what is in progress must end.
	life context.Context //nolint:containedctx // requests outlive the call that stops the process
	end  context.CancelCauseFunc

	budgetMu sync.Mutex
	// budgets has the retry budget of each service.
	budgets map[string]*retrybudget.Budget
}

// errStopping ends what is in progress when the process must stop.
var errStopping = errors.New("process stops")

// errHarmful ends a request once it is known that servers crash under it.
var errHarmful = errors.New("servers crash under the request")

// New returns a gateway. It takes datagrams from now on.
func New(
	settings Settings, site Site, codec Codec, orders reservation.Codec, sources Sources,
	system network.Network, clock *clock.Clock, logger *slog.Logger,
) (*Gateway, error) {
	now := clock.Now
	packets, err := system.ListenPacket(context.Background(), site.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	self := exchange.Member{
		VM: site.VM, Address: site.PeerAddress, DataCentre: site.DataCentre, Capacity: site.Capacity,
		First: site.First,
	}
	exchange := exchange.New(settings.Exchange, self, packets, site.Seeds, sources.Register, sources.Epochs, logger, now)
	servers := pool.New(settings.Pool, site.VM, exchange, logger, now)
	life, end := context.WithCancelCause(context.Background())
	gateway := &Gateway{
		settings: settings,
		site:     site,
		codec:    codec,
		network:  system,
		logger:   logger,
		clock:    clock,
		now:      now,
		belief:   newBelief(servers, logger),
		started:  now(),
		exchange: exchange,
		pool:     servers,
		policy:   newPolicy(settings),
		idle:     newIdleConnections(now),
		returns:  newReturns(now),

		epochs:     sources.Epochs,
		quarantine: quarantine.New(settings.Quarantine, sources.Quarantine, exchange, logger, now),

		bodies:  memory{most: site.part(settings.Request.MaxBodyPart)},
		answers: newAnswerRoom(site.part(settings.Request.MaxAnswersPart)),
		life:    life,
		end:     end,
		budgets: make(map[string]*retrybudget.Budget),
	}
	gateway.upstream = upstream.New(settings.Upstream, system, notices{gateway}, now)
	gateway.coordinator = coordinator.New(settings.Coordinator, site.VM, gateway.policy, gateway.pool, gateway.service,
		&commonRetries{gateway: gateway, budgets: make(map[string]*commonBudget)}, exchange, now)
	gateway.reservations = reservation.New(life, settings.Reservation.WithHoldAtMost(site.Bounds.HoldMax), orders, gateway.upstream, logger, now)
	gateway.metrics = newMetrics(gateway)
	gateway.bounds.Store(&site.Bounds)
	transport := network.NewTransport(system)
	bound := func() time.Duration { return gateway.bounds.Load().Known() }
	reading := settings.Feed
	if site.First {
		reading.Meet = reading.MeetFirst
	}
	// A question to the store has a bound of its own, and one to another VM too.
	through := func(name string, direct follower.Log, patience time.Duration) follower.Log {
		direct = follower.NewBounded(direct, patience)
		return feed.New(name, direct, exchange, bound, transport, reading, sources.Epochs, logger, now)
	}
	gateway.configuration = follower.New(
		sources.Configuration.WithLog(
			through(sources.Configuration.Name, sources.Configuration.Log, settings.Configuration.Patience)),
		gateway.belief, settings.Configuration, sources.Epochs, logger, now)
	gateway.directory = follower.New(
		sources.Servers.WithLog(
			through(sources.Servers.Name, sources.Servers.Log, settings.Directory.Patience)),
		gateway.pool, settings.Directory.WithSettleAtLeast(lapseTime(site)), sources.Epochs, logger, now)
	gateway.tails = map[string]*follower.Tail{
		sources.Configuration.Name: gateway.configuration.Tail(),
		sources.Servers.Name:       gateway.directory.Tail(),
	}
	return gateway, nil
}

// lapses is after how many silent heartbeats the entry of a server lapses, and one more for what is under way.
const lapses = 3 + 1

// lapseTime is how long the entry of a server that ended may stand in the store.
func lapseTime(site Site) time.Duration {
	return lapses * site.Heartbeat
}

// service finds a service in the configuration in force.
func (gateway *Gateway) service(name string) (*catalog.Service, bool) {
	current := gateway.belief.current.Load()
	if current == nil {
		return nil, false
	}
	return current.Service(name)
}

// Run serves until ctx is done, and then until what is in progress has ended
// or the grace is nearly over.
func (gateway *Gateway) Run(ctx context.Context) error {
	defer gateway.end(errStopping)
	front := &http.Server{
		Handler:           http.HandlerFunc(gateway.serve),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         gateway.idle.changed,
		ErrorLog:          slog.NewLogLogger(gateway.logger.Handler(), slog.LevelDebug),
	}
	ready := &http.Server{Handler: gateway.readyHandler(), ReadHeaderTimeout: headerTimeout}
	peers := &http.Server{Handler: feed.Handler(gateway.tails, gateway.epochs, gateway.logger), ReadHeaderTimeout: headerTimeout}
	group, working := errgroup.WithContext(gateway.life)
	group.Go(func() error { return gateway.listenAndServe(working, front, gateway.site.Address) })
	group.Go(func() error { return gateway.listenAndServe(working, ready, gateway.site.ReadyAddress) })
	group.Go(func() error { return gateway.listenAndServe(working, peers, gateway.site.PeerAddress) })
	group.Go(func() error {
		return gateway.exchange.Run(working, told{
			Pool: gateway.pool, Coordinator: gateway.coordinator, quarantine: gateway.quarantine, tails: gateway.tails,
			judges: gateway.exchange.Judges, now: gateway.now,
		})
	})
	group.Go(func() error { gateway.quarantine.Run(working, gateway.site.First); return nil })
	group.Go(func() error { gateway.coordinator.Run(working); return nil })
	group.Go(func() error { gateway.configuration.Run(working); return nil })
	group.Go(func() error { gateway.directory.Run(working); return nil })
	group.Go(func() error { gateway.keepHouse(working); return nil })
	group.Go(func() error { gateway.followEpochs(working); return nil })
	defer gateway.clock.AfterWake(gateway.wokeUp)()
	group.Go(func() error { gateway.clock.Run(working); return nil })
	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		gateway.drain(front, ready, peers)
	})
	gateway.logger.Info("gateway serves", "address", gateway.site.Address,
		"data_centre", gateway.site.DataCentre, "policy", gateway.settings.Policy)
	err := group.Wait()
	if !stop() {
		<-drained
	}
	gateway.logger.Info("gateway stopped", "running", gateway.running.Load(), "error", err)
	return err
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

// wokeUp takes all that is kept for old after a suspension. Ages are by then, since they are measured by its
// clock; questions to the store and to other VMs that were under way are asked again.
func (gateway *Gateway) wokeUp(slept time.Duration) {
	gateway.logger.Warn("machine was suspended", "slept", slept)
	gateway.renew()
	gateway.exchange.WokeUp(slept)
}

// keepHouse closes connections that were idle for too long, and brings limits
// up to date.
func (gateway *Gateway) keepHouse(ctx context.Context) {
	for wait.For(ctx, houseTick) {
		gateway.upstream.Sweep()
		if catalog := gateway.belief.current.Load(); catalog != nil {
			gateway.idle.close(catalog.Limits().IdleTimeout)
		}
		gateway.shareBudgets()
	}
}

// Reload takes over the settings file as it is now. Bounds are in force at once;
// what else differs needs a new start.
func (gateway *Gateway) Reload(site Site) {
	bounds := site.Bounds
	gateway.bounds.Store(&bounds)
	gateway.shareBudgets()
	site.Bounds = gateway.site.Bounds
	gateway.logger.Info("settings read again", "bounds", bounds, "needs_restart", !reflect.DeepEqual(site, gateway.site))
}

// retryAfter returns when a refused caller may return.
func (gateway *Gateway) retryAfter() time.Duration {
	return between(gateway.settings.Request.RetryAfterMin, gateway.settings.Request.RetryAfterMax)
}

// storeRetryAfter returns when a caller may return that was refused by a VM
// which knows no configuration yet.
func (gateway *Gateway) storeRetryAfter() time.Duration {
	return between(gateway.settings.Request.StoreRetryMin, gateway.settings.Request.StoreRetryMax)
}

// between draws a time, so that callers do not return together.
func between(least, most time.Duration) time.Duration {
	return least + time.Duration(rand.Float64()*float64(most-least)) //nolint:gosec // no secret
}
