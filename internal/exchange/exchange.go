// Package exchange shares reports on requests in flight and on backend servers among the VMs of a fleet, in small UDP
// datagrams. It also discovers the VMs, detects which of them are live, and selects the coordinators, which assign
// requests to servers, and the readers, which read the store for their data centre.
//
// A datagram may be lost. Reports on what is in flight are therefore repeated in heartbeats, and a report that is not
// repeated expires.
package exchange

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// maxReportsPerDatagram keeps a datagram within 1,200 bytes, which fit the MTU of any path. An encoded report takes about
// 45 bytes, and maxPartsPerReport parts of a lost prompt as much again.
const (
	maxReportsPerDatagram = 26
	maxPartsPerReport     = 5
)

// maxDatagram is the size of the receive buffer, in bytes. A longer datagram is truncated.
const maxDatagram = 8 << 10

// departedTimeout is the time without a datagram after which a VM counts as permanently gone rather than partitioned.
const departedTimeout = 5 * time.Minute

// Sink handles what other VMs send, and provides this VM's own state for the datagrams.
type Sink interface {
	// HandleReports handles the reports of another VM.
	HandleReports(vm string, reports []pool.Report)
	// OwnReports returns all current reports of this VM, which each heartbeat repeats.
	OwnReports() []pool.Report
	// HandleRequests handles assignment requests that another VM sends to this coordinator.
	HandleRequests(vm string, requests []dispatch.AssignmentRequest)
	// HandleResponses handles assignment responses that a coordinator sends to requests of this VM.
	HandleResponses(vm string, responses []dispatch.AssignmentResponse)
	// Quarantined returns the quarantined requests, which this VM sends to no server, the newest entries first.
	Quarantined() []quarantine.Entry
	// HandleQuarantined handles the quarantine entries of another VM.
	HandleQuarantined(entries []quarantine.Entry)
	// Suspects returns the suspects that this VM lists as coordinator.
	Suspects() []quarantine.Suspect
	// HandleSuspects handles the list of suspects of another VM, which replaces an earlier one.
	HandleSuspects(vm string, suspects []quarantine.Suspect)
	// Begun returns the begun responses to report to the coordinators again.
	Begun() []quarantine.Begun
	// HandleBegun handles begun responses of another VM.
	HandleBegun(begun []quarantine.Begun)
	// StoreUnavailable reports whether the platform's store does not respond to this VM. Datagrams carry it in the field blind.
	StoreUnavailable() bool
}

// peer is what this VM has recorded of another VM.
type peer struct {
	Member

	address net.Addr
	// lastSeen is when its last datagram arrived, or zero.
	lastSeen time.Time
	// lastHello is when this VM last said hello to it because another VM named it, or zero.
	lastHello time.Time
	// startedAt is since when it receives datagrams, by its own report, or zero if it has not reported that.
	startedAt time.Time
	// storeUnavailable reports whether the platform's store did not respond to it, by its last report.
	storeUnavailable bool
	// unresponsive reports whether it failed to respond to a request and has sent no datagram since.
	unresponsive bool
}

// Exchange sends and receives the datagrams of one VM, and tracks its peers. It is safe for concurrent use.
type Exchange struct {
	settings Settings
	self     Member
	registry Registry
	// seeds holds the addresses of the VMs that are contacted first at the start. They may be down or gone.
	seeds  []net.Addr
	epochs *epoch.Watch
	logger *slog.Logger
	now    func() time.Time
	conn   net.PacketConn

	// mu guards the fields below. Callers of unexported methods that use these fields without locking must hold it.
	mu sync.Mutex
	// peers holds the other VMs by name.
	peers map[string]*peer
	// pending holds the reports that are queued for the next batch.
	pending []pool.Report
	// coordinatorRanking holds all VMs, this one included, in order of preference as coordinator. It is nil when the
	// rankings must be rebuilt.
	coordinatorRanking []string
	// dataCentreRankings holds the VMs of each data centre in the same order, data centres in the order of their first VMs.
	// It is built with coordinatorRanking.
	dataCentreRankings [][]string
	// readerRankings holds the VMs of each data centre in order of preference as reader. It is built with
	// coordinatorRanking.
	readerRankings map[string][]string
	// coordinatorSince holds since when each current coordinator is one.
	coordinatorSince map[string]time.Time
	// helloCursor is the position of the round-robin over VMs that are down.
	helloCursor int
	// reportedKnown is the largest number of known VMs that a peer has reported.
	reportedKnown int
	// reportedLive is the largest number of live VMs that a peer has reported recently, and reportedLiveAt the time of that
	// report.
	reportedLive   int
	reportedLiveAt time.Time
	// joined reports whether this VM can find the coordinators: it has read the registry, or a coordinator has responded.
	joined bool
	// joinedSignal is closed when joined becomes true.
	joinedSignal chan struct{}
	// registered reports whether this VM was in the registry when it last read or wrote it.
	registered bool
	// counts caches the results of countSeenWithin by their time window.
	counts map[time.Duration]cachedCount
	// startedAt is since when this VM receives datagrams.
	startedAt time.Time
	// pendingSignal holds an element while reports are pending.
	pendingSignal chan struct{}
}

var _ pool.Publisher = (*Exchange)(nil)

// New returns an exchange that sends and receives datagrams on conn, which must be bound to the address of self. It
// discovers the fleet through the VMs at the addresses of seeds, which may be down or gone, and through the registry if
// none of them responds.
func New(
	settings Settings, self Member, conn net.PacketConn, seeds []string, registry Registry,
	epochs *epoch.Watch, logger *slog.Logger, now func() time.Time,
) *Exchange {
	return &Exchange{
		settings:  settings,
		self:      self,
		registry:  registry,
		seeds:     parseSeeds(seeds, self, logger),
		epochs:    epochs,
		logger:    logger,
		now:       now,
		conn:      conn,
		peers:     make(map[string]*peer),
		startedAt: now(),

		coordinatorSince: make(map[string]time.Time),
		joinedSignal:     make(chan struct{}),
		counts:           make(map[time.Duration]cachedCount),

		pendingSignal: make(chan struct{}, 1),
	}
}

// Publish implements pool.Publisher. It queues a report for the next batch to the coordinators and never blocks.
func (exchange *Exchange) Publish(report pool.Report) {
	exchange.mu.Lock()
	exchange.pending = append(exchange.pending, report)
	exchange.mu.Unlock()
	select {
	case exchange.pendingSignal <- struct{}{}:
	default:
	}
}

// Members returns the number of live VMs, this one included, which share the limits. It reports false until this VM has
// joined the fleet.
func (exchange *Exchange) Members() (int, bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.liveCount(), exchange.joined
}

func (exchange *Exchange) liveCount() int {
	return exchange.countSeenWithin(exchange.settings.PeerTimeout)
}

// Share implements pool.Publisher. It returns the part of the fleet's limits that this VM's partition may use. A partition
// with a majority of the VMs may use all of them, and a smaller one a part proportional to its size, so that all
// partitions together stay within one and a half times the limits. VMs without a datagram for departedTimeout don't count.
func (exchange *Exchange) Share() float64 {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	live := exchange.liveCount()
	total := exchange.countSeenWithin(departedTimeout)
	if exchange.now().Sub(exchange.reportedLiveAt) < departedTimeout {
		total = max(total, exchange.reportedLive)
	}
	if 2*live > total {
		return 1
	}
	return float64(live) / float64(total)
}

// cachedCount is a number of VMs, and when it was counted.
type cachedCount struct {
	count     int
	countedAt time.Time
}

// countCacheTTL is how long a cached count is used. The counts are part of heartbeat responses, of which there may be
// thousands a second.
const countCacheTTL = 20 * time.Millisecond

// countSeenWithin returns how many VMs sent a datagram within the window, this one included.
func (exchange *Exchange) countSeenWithin(window time.Duration) int {
	now := exchange.now()
	if cached, found := exchange.counts[window]; found && now.Sub(cached.countedAt) < countCacheTTL {
		return cached.count
	}
	oldest := now.Add(-window)
	count := 1
	for _, peer := range exchange.peers {
		if peer.lastSeen.After(oldest) {
			count++
		}
	}
	exchange.counts[window] = cachedCount{count: count, countedAt: now}
	return count
}

// KnownCount returns the number of VMs ever known, this one included. It is the maximum of this VM's count and those that
// peers have reported.
func (exchange *Exchange) KnownCount() int {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.knownCount()
}

func (exchange *Exchange) knownCount() int {
	return max(exchange.reportedKnown, 1+len(exchange.peers))
}

// live reports whether a datagram of the peer arrived within PeerTimeout.
func (exchange *Exchange) live(peer *peer) bool {
	return !peer.lastSeen.IsZero() && exchange.now().Sub(peer.lastSeen) < exchange.settings.PeerTimeout
}

// Run sends and receives datagrams until ctx is done, and closes the connection then. It returns an error if the
// connection is closed before.
func (exchange *Exchange) Run(ctx context.Context, sink Sink) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = exchange.conn.Close() }) // unblocks receive
	defer stop()
	group.Go(func() error { return exchange.receive(ctx, sink) })
	group.Go(func() error {
		exchange.sendChanges(ctx)
		return nil
	})
	group.Go(func() error {
		exchange.sendHeartbeats(ctx, sink)
		return nil
	})
	group.Go(func() error {
		exchange.join(ctx)
		exchange.maintainRegistration(ctx)
		return nil
	})
	group.Go(func() error {
		exchange.refreshIntroductions(ctx)
		return nil
	})
	err := group.Wait()
	_ = exchange.conn.Close() // also where the close above is under way: the address is free once Run has returned
	return err
}

// sendChanges sends pending reports to the coordinators, after waiting BatchDelay for more of them.
func (exchange *Exchange) sendChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-exchange.pendingSignal:
		}
		wait.For(ctx, exchange.settings.BatchDelay)
		exchange.mu.Lock()
		reports := exchange.pending
		exchange.pending = nil
		exchange.mu.Unlock()
		exchange.send(exchange.coordinatorAddresses(), reports, false)
	}
}

// sendHeartbeats sends a heartbeat with all of this VM's reports once per HeartbeatInterval.
func (exchange *Exchange) sendHeartbeats(ctx context.Context, sink Sink) {
	for wait.For(ctx, exchange.settings.HeartbeatInterval) {
		exchange.sendState(exchange.heartbeatTargets(), sink.OwnReports(), sink.Quarantined())
		exchange.sendBegun(exchange.coordinatorAddresses(), sink.Begun())
	}
}
