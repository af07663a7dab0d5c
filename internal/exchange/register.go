package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

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

// Register is where VMs find each other that know no other way. A few of them are in it, through which all are found: if
// each VM were, what all write at a start, and read there, would grow beyond what the store takes in the time for it.
type Register interface {
	Enter(ctx context.Context, member Member) error
	List(ctx context.Context) ([]Member, error)
}

// enter finds the other VMs: through those that the settings name or, where none of them answers, through the register.
func (exchange *Exchange) enter(ctx context.Context) {
	backoff := wait.NewBackoff(exchange.settings.Register, exchange.settings.RegisterMax)
	for !exchange.askSeeds(ctx) && ctx.Err() == nil {
		err := exchange.enterOnce(ctx)
		if err == nil {
			wait.For(ctx, exchange.gatheredIn())
			exchange.noteMet()
			return
		}
		exchange.logger.Warn("register not reached", "error", err)
		backoff.Wait(ctx)
	}
}

// enterOnce lists the VMs, and enters this one if there are few, or none of them answers.
func (exchange *Exchange) enterOnce(ctx context.Context) error {
	if exchange.self.First {
		// All others do so too: most of them find those that came first.
		wait.For(ctx, rand.N(exchange.settings.Register)) //nolint:gosec // no secret
	}
	members, err := exchange.list(ctx)
	if err != nil {
		return err
	}
	exchange.meetAll(members)
	if exchange.isEntered() || (len(members) >= exchange.foundBy() && exchange.isAnswered(ctx)) {
		return nil
	}
	if err := exchange.enterNow(ctx); err != nil {
		return err
	}
	// Others may have entered at the same time.
	members, err = exchange.list(ctx)
	if err != nil {
		return err
	}
	exchange.meetAll(members)
	return nil
}

// foundBy is how many VMs in the register are enough to find all others.
func (exchange *Exchange) foundBy() int {
	return exchange.settings.Coordinators + exchange.settings.Greet
}

// list reads the register, takes in the VMs there, and notes whether this one is among them.
func (exchange *Exchange) list(ctx context.Context) ([]Member, error) {
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.Patience)
	defer cancel()
	members, err := exchange.register.List(bounded)
	if err != nil {
		return nil, errors.Wrap(err, "list of VMs")
	}
	for _, member := range members {
		exchange.know(member)
	}
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.entered = slices.Contains(members, exchange.record())
	return members, nil
}

// enterNow writes this VM into the register.
func (exchange *Exchange) enterNow(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.Patience)
	defer cancel()
	if err := exchange.register.Enter(bounded, exchange.record()); err != nil {
		return errors.Wrap(err, "entry of this VM")
	}
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.entered = true
	return nil
}

// record is this VM as the register has it.
func (exchange *Exchange) record() Member {
	record := exchange.self
	record.First = false
	return record
}

func (exchange *Exchange) isEntered() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.entered
}

// isAnswered reports whether a VM of the register answers, which may be starting too.
func (exchange *Exchange) isAnswered(ctx context.Context) bool {
	until := exchange.now().Add(wait.Drawn(wakeTime))
	for exchange.now().Before(until) {
		if exchange.hearsOthers() {
			return true
		}
		if !wait.For(ctx, answerTick) {
			return false
		}
	}
	return false
}

// answerTick is the time between looks whether a VM has answered.
const answerTick = 10 * time.Millisecond

func (exchange *Exchange) hearsOthers() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.members() > 1
}

// meetAll greets the VMs of the register.
func (exchange *Exchange) meetAll(members []Member) {
	current, told := exchange.epochs.Current()
	exchange.logger.Info("register read", "members", len(members), "epoch", current, "epoch_told", told)
	if exchange.gatheredIn() <= 0 {
		exchange.noteMet()
	}
	exchange.send(exchange.greeted(), nil, true)
}

// stayFound keeps this VM in the register for as long as it is one through which others are found, and looks for the
// others again while it hears none of them.
func (exchange *Exchange) stayFound(ctx context.Context) {
	backoff := wait.NewBackoff(exchange.settings.Enter, exchange.settings.RegisterMax)
	for backoff.Wait(ctx) {
		var err error
		switch {
		case exchange.isLost():
			exchange.send(exchange.seeds, nil, true)
			_, err = exchange.list(ctx)
		case exchange.belongs() && !exchange.isEntered():
			err = exchange.enterAgain(ctx)
		default:
			backoff.Reset()
		}
		if err != nil {
			exchange.logger.Warn("register not reached", "error", err)
		}
	}
}

// isLost reports whether this VM knows others and hears none of them.
func (exchange *Exchange) isLost() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return len(exchange.peers) > 0 && exchange.members() == 1
}

// belongs reports whether this VM is one through which others are found: it is among the first in the order.
func (exchange *Exchange) belongs() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.met && exchange.amongFirst()
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
	known, found := exchange.peers[member.VM]
	if !found {
		known = &peer{}
		exchange.peers[member.VM] = known
	}
	if member.DataCentre == "" {
		member.DataCentre, member.Capacity = known.DataCentre, known.Capacity
	}
	moved := member.Capacity != known.Capacity || member.DataCentre != known.DataCentre
	known.Member = member
	known.address = net.UDPAddrFromAddrPort(parsed)
	switch {
	case found && moved:
		exchange.order = nil
	case !found && exchange.order != nil:
		exchange.rank(member.VM)
	}
}

// Reenter enters this VM again if the register, which came back older, does not have it any more. VMs look at moments
// of their own, so that the store is not asked by all at once.
func (exchange *Exchange) Reenter(ctx context.Context) {
	if !exchange.isEntered() {
		return
	}
	backoff := wait.NewBackoff(exchange.settings.Register, exchange.settings.RegisterMax)
	for again := wait.For(ctx, exchange.reenterIn()); again; again = backoff.Wait(ctx) {
		err := exchange.enterAgain(ctx)
		if err == nil {
			return
		}
		exchange.logger.Warn("register not reached", "error", err)
	}
}

// reenterIn is when this VM looks whether the register still has it. The time is split among those through which all are
// found, since moments drawn from the whole of it may fall together.
func (exchange *Exchange) reenterIn() time.Duration {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	parts := exchange.foundBy()
	part := exchange.settings.Reenter / time.Duration(parts)
	place := slices.Index(exchange.ordered(), exchange.self.VM) % parts
	return time.Duration(place)*part + rand.N(part) //nolint:gosec // no secret
}

// enterAgain lists the VMs, and enters this one if it is not there.
func (exchange *Exchange) enterAgain(ctx context.Context) error {
	members, err := exchange.list(ctx)
	if err != nil || exchange.isEntered() {
		return err
	}
	exchange.logger.Info("entered", "members", len(members))
	return exchange.enterNow(ctx)
}
