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

// Member is a VM of the fleet, as the registry stores it.
type Member struct {
	VM string `json:"vm"`
	// Address is the host and port where the VM receives datagrams, and calls of other VMs.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Capacity is the capacity of the VM's network link, in Mbit/s.
	Capacity int `json:"capacity"`
	// FirstStart reports whether the whole fleet starts for the first time, so that the registry is empty.
	First bool `json:"-"`
}

// Registry lists VMs in the platform's store, for VMs that can't discover the fleet through seeds. It holds a few
// bootstrap VMs, through which the others are found: if every VM registered, the reads and writes of a fleet-wide start
// would exceed what the store can handle within the start-up time.
type Register interface {
	// Register adds a VM, or replaces its record.
	Enter(ctx context.Context, member Member) error
	// List returns all registered VMs, which may be down or gone.
	List(ctx context.Context) ([]Member, error)
}

// join discovers the other VMs through the seeds or, if that fails, through the registry. It retries with backoff until
// it succeeds or ctx is done.
func (exchange *Exchange) enter(ctx context.Context) {
	backoff := wait.NewBackoff(exchange.settings.Register, exchange.settings.RegisterMax)
	for !exchange.askSeeds(ctx) && ctx.Err() == nil {
		err := exchange.enterOnce(ctx)
		if err == nil {
			wait.For(ctx, exchange.gatheredIn())
			exchange.noteMet()
			return
		}
		exchange.logger.Warn("failed to join through the registry; retrying with backoff", "error", err)
		backoff.Wait(ctx)
	}
}

// joinThroughRegistry contacts the registered VMs, and registers this one if there are few or none of them answers.
func (exchange *Exchange) enterOnce(ctx context.Context) error {
	if exchange.self.First {
		// All VMs read the registry now. The random delay lets most of them find VMs that registered before.
		wait.For(ctx, rand.N(exchange.settings.Register)) //nolint:gosec // not security-sensitive
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
	// Other VMs may have registered at the same time.
	members, err = exchange.list(ctx)
	if err != nil {
		return err
	}
	exchange.meetAll(members)
	return nil
}

// bootstrapCount returns how many registered VMs are enough for discovery of the whole fleet.
func (exchange *Exchange) foundBy() int {
	return exchange.settings.Coordinators + exchange.settings.Greet
}

// readRegistry adds the registered VMs to the peers, and records whether this VM is registered.
func (exchange *Exchange) list(ctx context.Context) ([]Member, error) {
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.Patience)
	defer cancel()
	members, err := exchange.register.List(bounded)
	if err != nil {
		return nil, errors.Wrap(err, "listing registered VMs")
	}
	for _, member := range members {
		exchange.know(member)
	}
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.entered = slices.Contains(members, exchange.record())
	return members, nil
}

// register writes this VM into the registry.
func (exchange *Exchange) enterNow(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.Patience)
	defer cancel()
	if err := exchange.register.Enter(bounded, exchange.record()); err != nil {
		return errors.Wrap(err, "registering this VM")
	}
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.entered = true
	return nil
}

// registryEntry returns this VM as the registry stores it.
func (exchange *Exchange) record() Member {
	registryEntry := exchange.self
	registryEntry.First = false
	return registryEntry
}

func (exchange *Exchange) isEntered() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.entered
}

// awaitLivePeer waits for a datagram of a peer, which may be starting too, and reports whether one arrived in time.
func (exchange *Exchange) isAnswered(ctx context.Context) bool {
	deadline := exchange.now().Add(wait.Drawn(wakeTime))
	for exchange.now().Before(deadline) {
		if exchange.hearsOthers() {
			return true
		}
		if !wait.For(ctx, answerTick) {
			return false
		}
	}
	return false
}

// livePeerPollInterval is the time between checks whether a peer has answered.
const answerTick = 10 * time.Millisecond

func (exchange *Exchange) hearsOthers() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.members() > 1
}

// contactMembers says hello to the VMs that were just read from the registry.
func (exchange *Exchange) meetAll(members []Member) {
	current, known := exchange.epochs.Current()
	exchange.logger.Info("read the registry", "members", len(members), "epoch", current, "epoch_told", known)
	if exchange.gatheredIn() <= 0 {
		exchange.noteMet()
	}
	exchange.send(exchange.greeted(), nil, true)
}

// maintainRegistration registers this VM whenever it is a bootstrap VM that is not registered, and repeats the discovery
// while none of its peers is live.
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
			exchange.logger.Warn("failed to check the registration; retrying with backoff", "error", err)
		}
	}
}

// isIsolated reports whether this VM has peers and all of them are down.
func (exchange *Exchange) isLost() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return len(exchange.peers) > 0 && exchange.members() == 1
}

// shouldBeRegistered reports whether this VM has joined the fleet and is a bootstrap VM.
func (exchange *Exchange) belongs() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.met && exchange.amongFirst()
}

// peerAnswerTimeout is how long a VM waits for an answer of registered VMs before it registers itself, and how long after
// a suspension the peers that were live before it count as live. Live peers answer within milliseconds.
const wakeTime = 150 * time.Millisecond

// Resumed says hello to the peers after this VM was suspended for the given time. Peers that were live before count as
// live for peerAnswerTimeout, so that they have time to answer. Otherwise this VM would become its own coordinator and
// assign requests by outdated reports.
func (exchange *Exchange) WokeUp(suspended time.Duration) {
	exchange.mu.Lock()
	now := exchange.now()
	for _, peer := range exchange.peers {
		wasLive := !peer.heard.IsZero() && now.Sub(peer.heard)-suspended < exchange.settings.Silence
		if wasLive && !exchange.live(peer) {
			peer.heard = now.Add(wakeTime - exchange.settings.Silence)
		}
	}
	exchange.mu.Unlock()
	exchange.send(exchange.greeted(), nil, true)
}

// addPeer adds a VM to the peers, or updates it. It ignores this VM and VMs with an invalid address.
func (exchange *Exchange) know(member Member) {
	if member.VM == exchange.self.VM {
		return
	}
	parsed, err := netip.ParseAddrPort(member.Address)
	if err != nil {
		exchange.logger.Error("invalid address of a VM; ignoring it", "peer", member.VM, "address", member.Address, "error", err)
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
	rankChanged := member.Capacity != known.Capacity || member.DataCentre != known.DataCentre
	known.Member = member
	known.address = net.UDPAddrFromAddrPort(parsed)
	switch {
	case found && rankChanged:
		exchange.order = nil
	case !found && exchange.order != nil:
		exchange.rank(member.VM)
	}
}

// Reregister registers this VM again if the registry, restored from an older copy, has lost it. It does nothing if this
// VM wasn't registered. VMs check at different times, so that their calls don't reach the store all at once.
func (exchange *Exchange) Reenter(ctx context.Context) {
	if !exchange.isEntered() {
		return
	}
	backoff := wait.NewBackoff(exchange.settings.Register, exchange.settings.RegisterMax)
	for waited := wait.For(ctx, exchange.reenterIn()); waited; waited = backoff.Wait(ctx) {
		err := exchange.enterAgain(ctx)
		if err == nil {
			return
		}
		exchange.logger.Warn("failed to check the registration after a restore; retrying with backoff", "error", err)
	}
}

// reregisterDelay returns the time until this VM checks whether the registry still lists it. ReregisterSpread is divided
// into one slot for each bootstrap VM, since delays drawn from the whole of it could coincide.
func (exchange *Exchange) reenterIn() time.Duration {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	slots := exchange.foundBy()
	slotTime := exchange.settings.Reenter / time.Duration(slots)
	slot := slices.Index(exchange.ordered(), exchange.self.VM) % slots
	return time.Duration(slot)*slotTime + rand.N(slotTime) //nolint:gosec // not security-sensitive
}

// registerIfMissing reads the registry, and registers this VM if it is not listed.
func (exchange *Exchange) enterAgain(ctx context.Context) error {
	members, err := exchange.list(ctx)
	if err != nil || exchange.isEntered() {
		return err
	}
	exchange.logger.Info("registering this VM", "members", len(members))
	return exchange.enterNow(ctx)
}
