package exchange

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/wait"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// initialHelloBackoff is the backoff after the first hello to the seeds.
const initialHelloBackoff = 50 * time.Millisecond

// maxIntroduced is the maximum number of VMs introduced in one datagram. Each takes about 60 bytes.
const maxIntroduced = 18

// parseSeeds returns the addresses of the seeds, which the settings name. It leaves out this VM and invalid addresses.
func parseSeeds(seeds []string, self Member, logger *slog.Logger) []net.Addr {
	var addresses []net.Addr
	for _, seed := range seeds {
		parsed, err := netip.ParseAddrPort(seed)
		switch {
		case err != nil:
			logger.Error("invalid seed address; ignoring it", "address", seed, "error", err)
		case seed != self.Address:
			addresses = append(addresses, net.UDPAddrFromAddrPort(parsed))
		}
	}
	return addresses
}

// contactSeeds says hello to the seeds until this VM has joined the fleet or the timeout has passed, and reports whether
// it has joined. Discovery through seeds doesn't use the store, so all VMs of a fleet can start at once.
func (exchange *Exchange) contactSeeds(ctx context.Context) bool {
	if len(exchange.seeds) == 0 {
		return false
	}
	timeout := exchange.settings.SeedTimeout
	if exchange.self.FirstStart {
		timeout = exchange.settings.FirstSeedTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go func() {
		select {
		case <-exchange.joinedSignal:
			cancel()
		case <-bounded.Done():
		}
	}()
	backoff := wait.NewBackoff(initialHelloBackoff, exchange.settings.HeartbeatInterval)
	for bounded.Err() == nil {
		exchange.send(slices.Concat(exchange.seeds, exchange.coordinatorAddresses()), nil, true)
		backoff.Wait(bounded)
	}
	return exchange.isJoined()
}

// bootstrapRemaining returns how much of BootstrapTime is left, zero or less when it is over or the fleet doesn't start
// for the first time. Until then a peer's response names few VMs, and a VM that took these for the whole fleet would read
// the store itself.
func (exchange *Exchange) bootstrapRemaining() time.Duration {
	if !exchange.self.FirstStart {
		return 0
	}
	return exchange.startedAt.Add(exchange.settings.BootstrapTime).Sub(exchange.now())
}

func (exchange *Exchange) isJoined() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.joined
}

// markJoined records that this VM has joined the fleet, so that it can find the coordinators.
func (exchange *Exchange) markJoined() {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if !exchange.joined {
		exchange.joined = true
		close(exchange.joinedSignal)
	}
}

// joinIfIntroduced marks this VM as joined if the datagram holds the introductions of a coordinator, which names itself
// among the coordinators, and BootstrapTime is over.
func (exchange *Exchange) joinIfIntroduced(update *wire.LoadUpdate) {
	isSender := func(peer *wire.Peer) bool { return peer.GetVm() == update.GetVm() }
	if len(update.GetIntroduced()) > 0 && slices.ContainsFunc(update.GetPeers(), isSender) && exchange.bootstrapRemaining() <= 0 {
		exchange.markJoined()
	}
}

// introductions returns the VMs that a VM of the given data centre must have as peers, so that all VMs find the same coordinators
// when the current ones fail: the first live VMs of each data centre, and more of its own data centre, which may read the
// store for it.
func (exchange *Exchange) introductions(dataCentre string) []*wire.Peer {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.ensureRanking()
	vms := exchange.firstLive(exchange.readerRankings[dataCentre], exchange.settings.Readers+exchange.settings.HelloCount)
	for _, group := range exchange.dataCentreRankings {
		for _, vm := range exchange.firstLive(group, exchange.settings.IntroducedPerDataCentre) {
			if !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
	}
	return exchange.encodePeers(vms[:min(maxIntroduced, len(vms))])
}

// firstLive returns at most limit live VMs from the start of group.
func (exchange *Exchange) firstLive(group []string, limit int) []string {
	var first []string
	for _, vm := range group {
		if len(first) == limit {
			break
		}
		if exchange.isLive(vm) {
			first = append(first, vm)
		}
	}
	return first
}

// inOwnDataCentre returns those of peers that are in this VM's data centre, without this VM.
func (exchange *Exchange) inOwnDataCentre(peers []*wire.Peer) []*wire.Peer {
	excluded := func(peer *wire.Peer) bool {
		return peer.GetDataCentre() != exchange.self.DataCentre || peer.GetVm() == exchange.self.VM
	}
	return slices.DeleteFunc(slices.Clone(peers), excluded)
}

// refreshIntroductions says hello to one coordinator at intervals, so that it responds with current introductions. The
// intervals are short at first, since other VMs may be starting too.
func (exchange *Exchange) refreshIntroductions(ctx context.Context) {
	backoff := wait.NewBackoff(exchange.settings.HeartbeatInterval, 2*exchange.settings.RefreshInterval)
	for backoff.Wait(ctx) {
		coordinatorAddresses := exchange.coordinatorAddresses()
		exchange.send(coordinatorAddresses[:min(1, len(coordinatorAddresses))], nil, true)
	}
}
