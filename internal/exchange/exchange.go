// Package exchange tells the VMs of the system of each other's requests at
// backend servers, in small datagrams. A datagram may be lost: what is under
// way is told again at intervals, and what is not told again is forgotten.
package exchange

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// maxSendings bounds a datagram: a sending takes about 35 bytes, and 1,200
// bytes fit any path.
const maxSendings = 30

// maxDatagram is the largest datagram that is read.
const maxDatagram = 8 << 10

// Settings tune the exchange.
type Settings struct {
	// Gather is how long changes are gathered into one datagram.
	Gather time.Duration `yaml:"gather" validate:"min=0,max=1s"`
	// Repeat is the time between telling of all that is under way.
	Repeat time.Duration `yaml:"repeat" validate:"min=10ms"`
	// Silence is after how long without a datagram a VM counts as away.
	Silence time.Duration `yaml:"silence" validate:"min=10ms"`
	// Hello is the time between datagrams to VMs that are away.
	Hello time.Duration `yaml:"hello" validate:"min=10ms"`
	// Register is the time between tries to enter the register.
	Register time.Duration `yaml:"register" validate:"min=10ms"`
	// RelayFrom is how many live VMs another data centre must have for one of
	// them to pass on there what it is told, so that what goes between data
	// centres does not grow with the VMs. With the two or three of a data centre
	// today a relay would save nothing and could lose something.
	RelayFrom int `yaml:"relay_from" validate:"min=2"`
	// CoordinateFrom is from how many known VMs on some of them decide for all: what
	// each VM tells goes to these only. Told to all it grows with the square of the VMs.
	CoordinateFrom int `yaml:"coordinate_from" validate:"min=2"`
	// Coordinators is how many VMs are told of all that is under way, so that one
	// decides and the others can go on for it.
	Coordinators int `yaml:"coordinators" validate:"min=1"`
	// Warm is for how long a VM must have been told before it decides while another
	// one can: what is under way is told again once in Repeat.
	Warm time.Duration `yaml:"warm" validate:"min=0"`
	// Readers is how many VMs of its own data centre that the store answers a VM keeps
	// in touch with, so that it knows who reads the store there.
	Readers int `yaml:"readers" validate:"min=1"`
	// Greet is the most VMs that are not heard and greeted in each list of those that
	// a VM keeps in touch with.
	Greet int `yaml:"greet" validate:"min=0"`
}

// DefaultSettings returns settings for today's six to eight VMs.
func DefaultSettings() Settings {
	return Settings{
		Gather:         time.Millisecond,
		Repeat:         500 * time.Millisecond,
		Silence:        1600 * time.Millisecond,
		Hello:          2 * time.Second,
		Register:       500 * time.Millisecond,
		RelayFrom:      5,
		CoordinateFrom: 24,
		Coordinators:   3,
		Warm:           1200 * time.Millisecond,
		Readers:        3,
		Greet:          4,
	}
}

// Member is a VM of the system.
type Member struct {
	VM string `json:"vm"`
	// Address is where the VM takes datagrams, and calls of other VMs.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Capacity is that of the VM's link, in Mbit/s.
	Capacity int `json:"capacity"`
	// First says that all VMs start for the first time, so that the register is empty.
	First bool `json:"-"`
}

// Register is where VMs find each other.
type Register interface {
	Enter(ctx context.Context, member Member) error
	List(ctx context.Context) ([]Member, error)
}

// Sink takes what other VMs tell.
type Sink interface {
	Told(vm string, reports []pool.Report)
	Own() []pool.Report
	// Asked takes requests of another VM that want servers.
	Asked(vm string, asks []dispatch.Ask)
	// Answered takes what another VM decided for requests of this one.
	Answered(vm string, answers []dispatch.Answer)
	// Blind reports whether the platform's store does not answer this VM.
	Blind() bool
}

// peer is another VM.
type peer struct {
	Member

	address net.Addr
	// heard is when its last datagram came, or zero.
	heard time.Time
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
	logger   *slog.Logger
	now      func() time.Time
	conn     net.PacketConn

	mu sync.Mutex
	// peers has the other VMs by name.
	peers map[string]*peer
	// pending has what is to be told.
	pending []pool.Report
	// order has the VMs in the order in which they are asked to decide, this one among
	// them, or is nil when it is to be made anew.
	order []string
	// chosenSince has since when each of the VMs that decide does.
	chosenSince map[string]time.Time
	// knownElsewhere is the most VMs that another one said it knew.
	knownElsewhere int
	// listed says that the register was read once.
	listed bool
	// started is since when this VM takes datagrams.
	started time.Time
	// wake has an element when there is something to tell.
	wake chan struct{}
}

var _ pool.Publisher = (*Exchange)(nil)

// New returns an exchange that takes datagrams on conn, the address of self.
func New(
	settings Settings, self Member, conn net.PacketConn, register Register,
	logger *slog.Logger, now func() time.Time,
) *Exchange {
	return &Exchange{
		settings: settings,
		self:     self,
		register: register,
		logger:   logger,
		now:      now,
		conn:     conn,
		peers:    make(map[string]*peer),
		started:  now(),

		chosenSince: make(map[string]time.Time),

		wake: make(chan struct{}, 1),
	}
}

// Publish implements pool.Publisher. It never blocks.
func (exchange *Exchange) Publish(report pool.Report) {
	exchange.mu.Lock()
	if report.Health != pool.HealthUntold && !exchange.coordinated() {
		exchange.mu.Unlock()
		return // where each VM decides for itself it goes by what it saw itself
	}
	exchange.pending = append(exchange.pending, report)
	exchange.mu.Unlock()
	select {
	case exchange.wake <- struct{}{}:
	default:
	}
}

// Members returns how many VMs share limits: those heard of lately, this one
// among them. It reports false when the register was not read yet.
func (exchange *Exchange) Members() (int, bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	count := 1
	for _, peer := range exchange.peers {
		if exchange.live(peer) {
			count++
		}
	}
	return count, exchange.listed
}

// Known returns how many VMs are or were in the register, this one among them, as far
// as any that decides for others knows.
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
		return nil
	})
	return group.Wait()
}

// enter puts this VM into the register and finds the others there.
func (exchange *Exchange) enter(ctx context.Context) {
	for ctx.Err() == nil {
		err := exchange.enterOnce(ctx)
		if err == nil {
			return
		}
		exchange.logger.Warn("register not reached", "error", err)
		wait.For(ctx, exchange.settings.Register)
	}
}

// enterOnce lists the VMs, and enters this one if it is not there yet. One that starts
// again need not: so it knows the others at once, also when all start again and entering
// would take turns for a second. One that enters lists again, since others may do so at
// the same time.
func (exchange *Exchange) enterOnce(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.Hello)
	defer cancel()
	entered := false
	if !exchange.self.First {
		members, err := exchange.register.List(bounded)
		if err != nil {
			return err
		}
		entered = slices.Contains(members, exchange.self)
		exchange.meetAll(members)
	}
	if entered {
		return nil
	}
	if err := exchange.register.Enter(bounded, exchange.self); err != nil {
		return err
	}
	members, err := exchange.register.List(bounded)
	if err != nil {
		return err
	}
	exchange.meetAll(members)
	return nil
}

// meetAll takes in the VMs of the register, and greets them.
func (exchange *Exchange) meetAll(members []Member) {
	for _, member := range members {
		exchange.know(member)
	}
	exchange.mu.Lock()
	exchange.listed = true
	exchange.mu.Unlock()
	exchange.logger.Info("register read", "members", len(members))
	exchange.send(targets{direct: exchange.greeted()}, nil, true)
}

// know takes a VM into the peers.
func (exchange *Exchange) know(member Member) {
	if member.VM == exchange.self.VM {
		return
	}
	parsed, err := netip.ParseAddrPort(member.Address)
	if err != nil {
		exchange.logger.Error("address of a VM not understood", "peer", member.VM, "address", member.Address, "error", err)
		return
	}
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	known := exchange.peers[member.VM]
	if known == nil {
		known = &peer{}
		exchange.peers[member.VM] = known
		exchange.order = nil
	}
	if member.DataCentre == "" {
		member.DataCentre, member.Capacity = known.DataCentre, known.Capacity
	}
	if member.Capacity != known.Capacity {
		exchange.order = nil
	}
	known.Member = member
	known.address = net.UDPAddrFromAddrPort(parsed)
}

// tellChanges tells live VMs of changes as they come.
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
		exchange.send(exchange.route(), reports, false)
	}
}

// tellAll tells of all that is under way at intervals, and greets VMs that are
// away less often.
func (exchange *Exchange) tellAll(ctx context.Context, sink Sink) {
	greeted := exchange.now()
	for wait.For(ctx, exchange.settings.Repeat) {
		now := exchange.now()
		greet := now.Sub(greeted) >= exchange.settings.Hello
		if greet {
			greeted = now
		}
		reports := sink.Own()
		if watched, coordinated := exchange.watched(); coordinated {
			exchange.sendAll(watched, reports)
			continue
		}
		exchange.send(exchange.route(), reports, false)
		if greet {
			exchange.send(targets{direct: exchange.away()}, reports, false)
		}
	}
}
