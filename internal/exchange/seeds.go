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
const seedsPause = 50 * time.Millisecond

// maxIntroduced is the maximum number of VMs introduced in one datagram. Each takes about 60 bytes.
const maxIntroduced = 18

// parseSeeds returns the addresses of the seeds, which the settings name. It leaves out this VM and invalid addresses.
func addressesOf(seeds []string, self Member, logger *slog.Logger) []net.Addr {
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
func (exchange *Exchange) askSeeds(ctx context.Context) bool {
	if len(exchange.seeds) == 0 {
		return false
	}
	timeout := exchange.settings.Seeds
	if exchange.self.First {
		timeout = exchange.settings.SeedsFirst
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go func() {
		select {
		case <-exchange.metNow:
			cancel()
		case <-bounded.Done():
		}
	}()
	backoff := wait.NewBackoff(seedsPause, exchange.settings.Repeat)
	for bounded.Err() == nil {
		exchange.send(slices.Concat(exchange.seeds, exchange.deciding()), nil, true)
		backoff.Wait(bounded)
	}
	return exchange.isMet()
}

// bootstrapRemaining returns how much of BootstrapTime is left, zero or less when it is over or the fleet doesn't start
// for the first time. Until then a peer's answer names few VMs, and a VM that took these for the whole fleet would read
// the store itself.
func (exchange *Exchange) gatheredIn() time.Duration {
	if !exchange.self.First {
		return 0
	}
	return exchange.started.Add(exchange.settings.Gathering).Sub(exchange.now())
}

func (exchange *Exchange) isMet() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.met
}

// markJoined records that this VM has joined the fleet, so that it can find the coordinators.
func (exchange *Exchange) noteMet() {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if !exchange.met {
		exchange.met = true
		close(exchange.metNow)
	}
}

// joinIfIntroduced marks this VM as joined if the datagram holds the introductions of a coordinator, which names itself
// among the coordinators, and BootstrapTime is over.
func (exchange *Exchange) noteIntroduced(update *wire.LoadUpdate) {
	isSender := func(peer *wire.Peer) bool { return peer.GetVm() == update.GetVm() }
	if len(update.GetIntroduced()) > 0 && slices.ContainsFunc(update.GetPeers(), isSender) && exchange.gatheredIn() <= 0 {
		exchange.noteMet()
	}
}

// introductions returns the VMs that a VM of the given data centre must know, so that all VMs find the same coordinators
// when the current ones fail: the first live VMs of each data centre, and more of its own data centre, which may read the
// store for it.
func (exchange *Exchange) introduced(dataCentre string) []*wire.Peer {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.arrange()
	vms := exchange.firstLive(exchange.byReader[dataCentre], exchange.settings.Readers+exchange.settings.Greet)
	for _, group := range exchange.groups {
		for _, vm := range exchange.firstLive(group, exchange.settings.Introduce) {
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
func (exchange *Exchange) neighbours(peers []*wire.Peer) []*wire.Peer {
	excluded := func(peer *wire.Peer) bool {
		return peer.GetDataCentre() != exchange.self.DataCentre || peer.GetVm() == exchange.self.VM
	}
	return slices.DeleteFunc(slices.Clone(peers), excluded)
}

// refreshIntroductions says hello to one coordinator at intervals, so that it answers with current introductions. The
// intervals are short at first, since other VMs may be starting too.
func (exchange *Exchange) refresh(ctx context.Context) {
	backoff := wait.NewBackoff(exchange.settings.Repeat, 2*exchange.settings.Refresh)
	for backoff.Wait(ctx) {
		coordinatorAddresses := exchange.deciding()
		exchange.send(coordinatorAddresses[:min(1, len(coordinatorAddresses))], nil, true)
	}
}
