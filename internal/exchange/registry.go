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
	FirstStart bool `json:"-"`
}

// Registry lists VMs in the platform's store, for VMs that can't discover the fleet through seeds. It holds a few
// bootstrap VMs, through which the others are found: if every VM registered, the reads and writes of a fleet-wide start
// would exceed what the store can handle within the start-up time.
type Registry interface {
	// Register adds a VM, or replaces its record.
	Register(ctx context.Context, member Member) error
	// List returns all registered VMs, which may be down or gone.
	List(ctx context.Context) ([]Member, error)
}

// join discovers the other VMs through the seeds or, if that fails, through the registry. It retries with backoff until
// it succeeds or ctx is done.
func (exchange *Exchange) join(ctx context.Context) {
	backoff := wait.NewBackoff(exchange.settings.Register, exchange.settings.RegisterMax)
	for !exchange.contactSeeds(ctx) && ctx.Err() == nil {
		err := exchange.joinThroughRegistry(ctx)
		if err == nil {
			wait.For(ctx, exchange.bootstrapRemaining())
			exchange.markJoined()
			return
		}
		exchange.logger.Warn("failed to join through the registry; retrying with backoff", "error", err)
		backoff.Wait(ctx)
	}
}

// joinThroughRegistry contacts the registered VMs, and registers this one if there are few or none of them responds.
func (exchange *Exchange) joinThroughRegistry(ctx context.Context) error {
	if exchange.self.FirstStart {
		// All VMs read the registry now. The random delay lets most of them find VMs that registered before.
		wait.For(ctx, rand.N(exchange.settings.Register)) //nolint:gosec // not security-sensitive
	}
	members, err := exchange.readRegistry(ctx)
	if err != nil {
		return err
	}
	exchange.contactMembers(members)
	if exchange.isRegistered() || (len(members) >= exchange.bootstrapCount() && exchange.awaitLivePeer(ctx)) {
		return nil
	}
	if err := exchange.register(ctx); err != nil {
		return err
	}
	// Other VMs may have registered at the same time.
	members, err = exchange.readRegistry(ctx)
	if err != nil {
		return err
	}
	exchange.contactMembers(members)
	return nil
}

// bootstrapCount returns how many registered VMs are enough for discovery of the whole fleet.
func (exchange *Exchange) bootstrapCount() int {
	return exchange.settings.Coordinators + exchange.settings.HelloCount
}

// readRegistry adds the registered VMs to the peers, and records whether this VM is registered.
func (exchange *Exchange) readRegistry(ctx context.Context) ([]Member, error) {
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.RegistryTimeout)
	defer cancel()
	members, err := exchange.registry.List(bounded)
	if err != nil {
		return nil, errors.Wrap(err, "listing registered VMs")
	}
	for _, member := range members {
		exchange.addPeer(member)
	}
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.registered = slices.Contains(members, exchange.registryEntry())
	return members, nil
}

// register writes this VM into the registry.
func (exchange *Exchange) register(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, exchange.settings.RegistryTimeout)
	defer cancel()
	if err := exchange.registry.Register(bounded, exchange.registryEntry()); err != nil {
		return errors.Wrap(err, "registering this VM")
	}
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.registered = true
	return nil
}

// registryEntry returns this VM as the registry stores it.
func (exchange *Exchange) registryEntry() Member {
	registryEntry := exchange.self
	registryEntry.FirstStart = false
	return registryEntry
}

func (exchange *Exchange) isRegistered() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.registered
}

// awaitLivePeer waits for a datagram of a peer, which may be starting too, and reports whether one arrived in time.
func (exchange *Exchange) awaitLivePeer(ctx context.Context) bool {
	deadline := exchange.now().Add(wait.Jittered(peerResponseTimeout))
	for exchange.now().Before(deadline) {
		if exchange.hasLivePeer() {
			return true
		}
		if !wait.For(ctx, livePeerPollInterval) {
			return false
		}
	}
	return false
}

// livePeerPollInterval is the time between checks whether a peer has responded.
const livePeerPollInterval = 10 * time.Millisecond

func (exchange *Exchange) hasLivePeer() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.liveCount() > 1
}

// contactMembers says hello to this VM's helloTargets after members were read from the registry, and marks this VM as
// joined if BootstrapTime is over.
func (exchange *Exchange) contactMembers(members []Member) {
	current, known := exchange.epochs.Current()
	exchange.logger.Info("read the registry", "members", len(members), "epoch", current, "epoch_told", known)
	if exchange.bootstrapRemaining() <= 0 {
		exchange.markJoined()
	}
	exchange.send(exchange.helloTargets(), nil, true)
}

// maintainRegistration registers this VM whenever it is a bootstrap VM that is not registered, and repeats the discovery
// while none of its peers is live.
func (exchange *Exchange) maintainRegistration(ctx context.Context) {
	backoff := wait.NewBackoff(exchange.settings.RegistrationInterval, exchange.settings.RegisterMax)
	for backoff.Wait(ctx) {
		var err error
		switch {
		case exchange.isIsolated():
			exchange.send(exchange.seeds, nil, true)
			_, err = exchange.readRegistry(ctx)
		case exchange.shouldBeRegistered() && !exchange.isRegistered():
			err = exchange.registerIfMissing(ctx)
		default:
			backoff.Reset()
		}
		if err != nil {
			exchange.logger.Warn("failed to check the registration; retrying with backoff", "error", err)
		}
	}
}

// isIsolated reports whether this VM has peers and all of them are down.
func (exchange *Exchange) isIsolated() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return len(exchange.peers) > 0 && exchange.liveCount() == 1
}

// shouldBeRegistered reports whether this VM has joined the fleet and is a bootstrap VM.
func (exchange *Exchange) shouldBeRegistered() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.joined && exchange.isBootstrapVM()
}

// peerResponseTimeout is how long a VM waits for a response of registered VMs before it registers itself, and how long after
// a suspension the peers that were live before it count as live. Live peers respond within milliseconds.
const peerResponseTimeout = 150 * time.Millisecond

// Resumed says hello to the helloTargets after this VM was suspended for the given time. Peers that were live before count as
// live for peerResponseTimeout, so that they have time to respond. Otherwise this VM would become its own coordinator and
// assign requests by outdated reports.
func (exchange *Exchange) Resumed(suspended time.Duration) {
	exchange.mu.Lock()
	now := exchange.now()
	for _, peer := range exchange.peers {
		wasLive := !peer.lastSeen.IsZero() && now.Sub(peer.lastSeen)-suspended < exchange.settings.PeerTimeout
		if wasLive && !exchange.live(peer) {
			peer.lastSeen = now.Add(peerResponseTimeout - exchange.settings.PeerTimeout)
		}
	}
	exchange.mu.Unlock()
	exchange.send(exchange.helloTargets(), nil, true)
}

// addPeer adds a VM to the peers, or updates it. It ignores this VM and VMs with an invalid address.
func (exchange *Exchange) addPeer(member Member) {
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
		exchange.coordinatorRanking = nil
	case !found && exchange.coordinatorRanking != nil:
		exchange.insertRanked(member.VM)
	}
}

// Reregister registers this VM again if the registry, restored from an older copy, has lost it. It does nothing if this
// VM wasn't registered. VMs check at different times, so that their calls don't reach the store all at once.
func (exchange *Exchange) Reregister(ctx context.Context) {
	if !exchange.isRegistered() {
		return
	}
	backoff := wait.NewBackoff(exchange.settings.Register, exchange.settings.RegisterMax)
	for waited := wait.For(ctx, exchange.reregisterDelay()); waited; waited = backoff.Wait(ctx) {
		err := exchange.registerIfMissing(ctx)
		if err == nil {
			return
		}
		exchange.logger.Warn("failed to check the registration after a restore; retrying with backoff", "error", err)
	}
}

// reregisterDelay returns the time until this VM checks whether the registry still lists it. ReregisterSpread is divided
// into one slot for each bootstrap VM, since delays drawn from the whole of it could coincide.
func (exchange *Exchange) reregisterDelay() time.Duration {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	slots := exchange.bootstrapCount()
	slotTime := exchange.settings.ReregisterSpread / time.Duration(slots)
	slot := slices.Index(exchange.ranking(), exchange.self.VM) % slots
	return time.Duration(slot)*slotTime + rand.N(slotTime) //nolint:gosec // not security-sensitive
}

// registerIfMissing reads the registry, and registers this VM if it is not listed.
func (exchange *Exchange) registerIfMissing(ctx context.Context) error {
	members, err := exchange.readRegistry(ctx)
	if err != nil || exchange.isRegistered() {
		return err
	}
	exchange.logger.Info("registering this VM", "members", len(members))
	return exchange.register(ctx)
}
