package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/wait"
)

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
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.Patience)
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
	current, told := exchange.epochs.Current()
	exchange.logger.Info("register read", "members", len(members), "epoch", current, "epoch_told", told)
	exchange.send(exchange.greeted(), nil, true)
}

// wakeTime is for how long a VM that wakes up takes others to be there that it heard just before it was suspended: they
// answer within milliseconds.
const wakeTime = 150 * time.Millisecond

// WokeUp greets the VMs that this one keeps in touch with after a suspension of so long. Until they had time to answer those
// that were there before count as live: else the VM would decide by itself, by what it knew before.
func (exchange *Exchange) WokeUp(slept time.Duration) {
	exchange.mu.Lock()
	now := exchange.now()
	for _, peer := range exchange.peers {
		wasLive := !peer.heard.IsZero() && now.Sub(peer.heard)-slept < exchange.settings.Silence
		if wasLive && !exchange.live(peer) {
			peer.heard = now.Add(wakeTime - exchange.settings.Silence)
		}
	}
	exchange.mu.Unlock()
	exchange.send(exchange.greeted(), nil, true)
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
	if member.Capacity != known.Capacity || member.DataCentre != known.DataCentre {
		exchange.order = nil
	}
	known.Member = member
	known.address = net.UDPAddrFromAddrPort(parsed)
}

// Reenter enters this VM again if the register, which came back older, does not have it any more. VMs look at moments
// of their own, so that the store is not asked by all at once.
func (exchange *Exchange) Reenter(ctx context.Context) {
	pause := rand.N(exchange.settings.Reenter) //nolint:gosec // no secret
	for wait.For(ctx, pause) {
		err := exchange.enterAgain(ctx)
		if err == nil {
			return
		}
		exchange.logger.Warn("register not reached", "error", err)
		pause = exchange.settings.Register
	}
}

// enterAgain lists the VMs, and enters this one if it is not there.
func (exchange *Exchange) enterAgain(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.Patience)
	defer cancel()
	members, err := exchange.register.List(bounded)
	if err != nil {
		return err
	}
	for _, member := range members {
		exchange.know(member)
	}
	self := exchange.self
	self.First = false // is not in the register
	if slices.Contains(members, self) {
		return nil
	}
	exchange.logger.Info("entered again", "members", len(members))
	return exchange.register.Enter(bounded, self)
}
