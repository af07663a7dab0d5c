// Package exchange tells the VMs of the system of each other's requests at
// backend servers, in small datagrams. A datagram may be lost: what is under
// way is told again at intervals, and what is not told again is forgotten.
package exchange

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
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
}

// DefaultSettings returns settings for today's six to eight VMs.
func DefaultSettings() Settings {
	return Settings{
		Gather:    time.Millisecond,
		Repeat:    500 * time.Millisecond,
		Silence:   1600 * time.Millisecond,
		Hello:     2 * time.Second,
		Register:  500 * time.Millisecond,
		RelayFrom: 5,
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
}

// peer is another VM.
type peer struct {
	Member

	address net.Addr
	// heard is when its last datagram came, or zero.
	heard time.Time
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
	// listed says that the register was read once.
	listed bool
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
		wake:     make(chan struct{}, 1),
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

// Known returns how many VMs are or were in the register, this one among them.
func (exchange *Exchange) Known() int {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return 1 + len(exchange.peers)
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

func (exchange *Exchange) enterOnce(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.Hello)
	defer cancel()
	if err := exchange.register.Enter(bounded, exchange.self); err != nil {
		return err
	}
	members, err := exchange.register.List(bounded)
	if err != nil {
		return err
	}
	for _, member := range members {
		exchange.know(member)
	}
	exchange.mu.Lock()
	exchange.listed = true
	exchange.mu.Unlock()
	exchange.logger.Info("register read", "members", len(members))
	exchange.send(targets{direct: exchange.everyone()}, nil, true)
	return nil
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
	}
	if member.DataCentre == "" {
		member.DataCentre, member.Capacity = known.DataCentre, known.Capacity
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
		exchange.send(exchange.route(), reports, false)
		if greet {
			exchange.send(targets{direct: exchange.away()}, reports, false)
		}
	}
}

// send sends reports, in as many datagrams as they take.
func (exchange *Exchange) send(targets targets, reports []pool.Report, hello bool) {
	if targets.empty() {
		return
	}
	for first := true; first || len(reports) > 0; first = false {
		count := min(maxSendings, len(reports))
		update := &wire.LoadUpdate{
			Vm: exchange.self.VM, Address: exchange.self.Address, Hello: hello, Sendings: encode(reports[:count]),
		}
		reports = reports[count:]
		if hello {
			update.DataCentre = exchange.self.DataCentre
			update.Capacity = uint32(exchange.self.Capacity) //nolint:gosec // a link's
		}
		exchange.sendTo(targets.direct, update)
		if len(targets.relays) > 0 {
			update.Relay = true
			exchange.sendTo(targets.relays, update)
		}
	}
}

// sendTo sends one datagram to addresses.
func (exchange *Exchange) sendTo(addresses []net.Addr, update *wire.LoadUpdate) {
	data, err := proto.Marshal(update)
	if err != nil {
		exchange.logger.Error("datagram not made", "error", err)
		return
	}
	for _, address := range addresses {
		// A datagram that cannot be sent is as good as lost.
		if _, err := exchange.conn.WriteTo(data, address); err != nil {
			exchange.logger.Debug("datagram not sent", "address", address.String(), "error", err)
		}
	}
}

// receive takes datagrams until ctx is done.
func (exchange *Exchange) receive(ctx context.Context, sink Sink) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := exchange.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // the socket was closed to end this
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "exchange")
		}
		if err != nil {
			exchange.logger.Debug("datagram not read", "error", err)
			continue
		}
		update := &wire.LoadUpdate{}
		if err := proto.Unmarshal(buffer[:count], update); err != nil || update.GetVm() == "" {
			exchange.logger.Warn("datagram not understood", "bytes", count, "error", err)
			continue
		}
		exchange.received(update, sink)
	}
}

func (exchange *Exchange) received(update *wire.LoadUpdate, sink Sink) {
	if update.GetVm() == exchange.self.VM {
		return
	}
	exchange.know(Member{
		VM: update.GetVm(), Address: update.GetAddress(),
		DataCentre: update.GetDataCentre(), Capacity: int(update.GetCapacity()),
	})
	exchange.mu.Lock()
	known := exchange.peers[update.GetVm()]
	if known == nil {
		exchange.mu.Unlock()
		return
	}
	returned := !exchange.live(known)
	known.heard = exchange.now()
	address := known.address
	exchange.mu.Unlock()
	if returned {
		exchange.logger.Info("VM heard", "peer", update.GetVm(), "address", update.GetAddress())
	}
	if returned || update.GetHello() {
		exchange.send(targets{direct: []net.Addr{address}}, sink.Own(), false)
	}
	if update.GetRelay() {
		update.Relay = false
		exchange.sendTo(exchange.neighbours(update.GetVm()), update)
	}
	sink.Told(update.GetVm(), decode(update.GetSendings()))
}
