// Package exchange tells the VMs of the system of each other's requests at
// backend servers, in small datagrams. A datagram may be lost: what is under
// way is told again at intervals, and what is not told again is forgotten.
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

// maxSendings bounds a datagram: a sending takes about 45 bytes, and 1,200
// bytes fit any path.
const maxSendings = 26

// maxDatagram is the largest datagram that is read.
const maxDatagram = 8 << 10

// shareTime is after how long a VM that is not heard is taken to be gone for good rather than cut off.
const shareTime = 5 * time.Minute

// Sink takes what other VMs tell.
type Sink interface {
	Told(vm string, reports []pool.Report)
	Own() []pool.Report
	// Asked takes requests of another VM that want servers.
	Asked(vm string, asks []dispatch.Ask)
	// Answered takes what another VM decided for requests of this one.
	Answered(vm string, answers []dispatch.Answer)
	// Quarantined returns the requests that this VM keeps from servers, the last ones first.
	Quarantined() []quarantine.Entry
	// ToldQuarantined takes those of another VM.
	ToldQuarantined(entries []quarantine.Entry)
	// Blind reports whether the platform's store does not answer this VM.
	Blind() bool
}

// peer is another VM.
type peer struct {
	Member

	address net.Addr
	// heard is when its last datagram came, or zero.
	heard time.Time
	// greeted is when it was last greeted since another VM named it, or zero.
	greeted time.Time
	// started is since when it takes datagrams, as far as it told.
	started time.Time
	// blind says that the platform's store did not answer it.
	blind bool
	// doubted says that it did not answer and was not heard since.
	doubted bool
}

// Exchange is this VM's part in the exchange.
type Exchange struct {
	settings Settings
	self     Member
	register Register
	// seeds has addresses of VMs to ask at the start, which may be away or gone.
	seeds  []net.Addr
	epochs *epoch.Watch
	logger *slog.Logger
	now    func() time.Time
	conn   net.PacketConn

	mu sync.Mutex
	// peers has the other VMs by name.
	peers map[string]*peer
	// pending has what is to be told.
	pending []pool.Report
	// order has the VMs in the order in which they are asked to decide, this one among
	// them, or is nil when it is to be made anew.
	order []string
	// groups has those of each data centre in that order, data centres in the order of
	// their first VMs. It is made with order.
	groups [][]string
	// byReader has the VMs of each data centre in the order in which they read the store for the others there. It is made
	// with order.
	byReader map[string][]string
	// chosenSince has since when each of the VMs that decide does.
	chosenSince map[string]time.Time
	// turn counts those that were away and greeted.
	turn int
	// knownElsewhere is the most VMs that another one said it knew.
	knownElsewhere int
	// heardElsewhere is the most VMs that another one said it heard, and heardElsewhereAt when that was said last.
	heardElsewhere   int
	heardElsewhereAt time.Time
	// met says that this VM knows whom to ask: the register was read, or a VM that decides for others answered.
	met bool
	// metNow is closed then.
	metNow chan struct{}
	// entered says that this VM is in the register, as far as it knows.
	entered bool
	// counts has how many VMs were heard within times, as it was a moment ago.
	counts map[time.Duration]heardCount
	// started is since when this VM takes datagrams.
	started time.Time
	// wake has an element when there is something to tell.
	wake chan struct{}
}

var _ pool.Publisher = (*Exchange)(nil)

// New returns an exchange that takes datagrams on conn, the address of self. The VMs at the addresses of seeds, which may
// be away or gone, are asked first who else is there, and the register where none of them answers.
func New(
	settings Settings, self Member, conn net.PacketConn, seeds []string, register Register,
	epochs *epoch.Watch, logger *slog.Logger, now func() time.Time,
) *Exchange {
	return &Exchange{
		settings: settings,
		self:     self,
		register: register,
		seeds:    addressesOf(seeds, self, logger),
		epochs:   epochs,
		logger:   logger,
		now:      now,
		conn:     conn,
		peers:    make(map[string]*peer),
		started:  now(),

		chosenSince: make(map[string]time.Time),
		metNow:      make(chan struct{}),
		counts:      make(map[time.Duration]heardCount),

		wake: make(chan struct{}, 1),
	}
}

// Publish implements pool.Publisher. It never blocks.
func (exchange *Exchange) Publish(report pool.Report) {
	exchange.mu.Lock()
	exchange.pending = append(exchange.pending, report)
	exchange.mu.Unlock()
	select {
	case exchange.wake <- struct{}{}:
	default:
	}
}

// Members returns how many VMs share limits: those heard of lately, this one
// among them. It reports false when this VM does not know yet whom to ask.
func (exchange *Exchange) Members() (int, bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.members(), exchange.met
}

func (exchange *Exchange) members() int {
	return exchange.heardWithin(exchange.settings.Silence)
}

// Share implements pool.Publisher. Who hears more than half of all VMs decides for all of them; what less of them use
// counts by their number, so that parts which are cut off from each other stay within one and a half times the whole.
// VMs that nobody heard for shareTime use nothing.
func (exchange *Exchange) Share() float64 {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	live := exchange.members()
	all := exchange.heardWithin(shareTime)
	if exchange.now().Sub(exchange.heardElsewhereAt) < shareTime {
		all = max(all, exchange.heardElsewhere)
	}
	if 2*live > all {
		return 1
	}
	return float64(live) / float64(all)
}

// heardCount is how many VMs were heard, as it was at a moment.
type heardCount struct {
	count int
	at    time.Time
}

// countAge is for how long such a count is used: each of thousands of datagrams a second tells it.
const countAge = 20 * time.Millisecond

// heardWithin returns how many VMs were heard within a time, this one among them.
func (exchange *Exchange) heardWithin(within time.Duration) int {
	now := exchange.now()
	if known, found := exchange.counts[within]; found && now.Sub(known.at) < countAge {
		return known.count
	}
	oldest := now.Add(-within)
	count := 1
	for _, peer := range exchange.peers {
		if peer.heard.After(oldest) {
			count++
		}
	}
	exchange.counts[within] = heardCount{count: count, at: now}
	return count
}

// Known returns how many VMs were ever known, this one among them, as far as any that
// decides for others knows.
func (exchange *Exchange) Known() int {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.known()
}

func (exchange *Exchange) known() int {
	return max(exchange.knownElsewhere, 1+len(exchange.peers))
}

func (exchange *Exchange) live(peer *peer) bool {
	return !peer.heard.IsZero() && exchange.now().Sub(peer.heard) < exchange.settings.Silence
}

// Run takes part in the exchange until ctx is done.
func (exchange *Exchange) Run(ctx context.Context, sink Sink) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = exchange.conn.Close() }) // ends the reader
	defer stop()
	group.Go(func() error { return exchange.receive(ctx, sink) })
	group.Go(func() error {
		exchange.tellChanges(ctx)
		return nil
	})
	group.Go(func() error {
		exchange.tellAll(ctx, sink)
		return nil
	})
	group.Go(func() error {
		exchange.enter(ctx)
		exchange.stayFound(ctx)
		return nil
	})
	group.Go(func() error {
		exchange.refresh(ctx)
		return nil
	})
	return group.Wait()
}

// tellChanges tells the VMs that decide of changes as they come.
func (exchange *Exchange) tellChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-exchange.wake:
		}
		wait.For(ctx, exchange.settings.Gather)
		exchange.mu.Lock()
		reports := exchange.pending
		exchange.pending = nil
		exchange.mu.Unlock()
		exchange.send(exchange.deciding(), reports, false)
	}
}

// tellAll tells of all that is under way at intervals, and greets some VMs that are away.
func (exchange *Exchange) tellAll(ctx context.Context, sink Sink) {
	for wait.For(ctx, exchange.settings.Repeat) {
		exchange.sendAll(exchange.watched(), sink.Own(), sink.Quarantined())
	}
}
