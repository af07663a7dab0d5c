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

// seedsPause is the time after which VMs that the settings name are first greeted again.
const seedsPause = 50 * time.Millisecond

// maxIntroduced bounds the VMs that one datagram introduces, which take about 60 bytes each.
const maxIntroduced = 18

// addressesOf returns the addresses of the VMs that the settings name, this one left out.
func addressesOf(seeds []string, self Member, logger *slog.Logger) []net.Addr {
	var addresses []net.Addr
	for _, seed := range seeds {
		parsed, err := netip.ParseAddrPort(seed)
		switch {
		case err != nil:
			logger.Error("address of a VM not understood", "address", seed, "error", err)
		case seed != self.Address:
			addresses = append(addresses, net.UDPAddrFromAddrPort(parsed))
		}
	}
	return addresses
}

// askSeeds greets the VMs that the settings name, and reports whether this one then knows whom to ask. They need the
// store for nothing, and all VMs of a system may start at once.
func (exchange *Exchange) askSeeds(ctx context.Context) bool {
	if len(exchange.seeds) == 0 {
		return false
	}
	most := exchange.settings.Seeds
	if exchange.self.First {
		most = exchange.settings.SeedsFirst
	}
	asking, stop := context.WithTimeout(ctx, most)
	defer stop()
	go func() {
		select {
		case <-exchange.metNow:
			stop()
		case <-asking.Done():
		}
	}()
	backoff := wait.NewBackoff(seedsPause, exchange.settings.Repeat)
	for asking.Err() == nil {
		exchange.send(slices.Concat(exchange.seeds, exchange.deciding()), nil, true)
		backoff.Wait(asking)
	}
	return exchange.isMet()
}

// gatheredIn is in how long all VMs that start for the first time together know each other. Before, who is asked names few
// of them, and each that takes them for all would read the store itself.
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

// noteMet notes that this VM knows whom to ask.
func (exchange *Exchange) noteMet() {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if !exchange.met {
		exchange.met = true
		close(exchange.metNow)
	}
}

// noteIntroduced notes that this VM knows whom to ask once one that decides has told it.
func (exchange *Exchange) noteIntroduced(update *wire.LoadUpdate) {
	decides := func(peer *wire.Peer) bool { return peer.GetVm() == update.GetVm() }
	if len(update.GetIntroduced()) > 0 && slices.ContainsFunc(update.GetPeers(), decides) && exchange.gatheredIn() <= 0 {
		exchange.noteMet()
	}
}

// introduced returns the VMs that one of a data centre should know, so that all find the same ones when those that decide
// are lost: the first live ones of each data centre, and more of its own, which may read the store for it.
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

func (exchange *Exchange) firstLive(group []string, most int) []string {
	var first []string
	for _, vm := range group {
		if len(first) == most {
			break
		}
		if exchange.isLive(vm) {
			first = append(first, vm)
		}
	}
	return first
}

// neighbours returns those VMs that are of this one's data centre.
func (exchange *Exchange) neighbours(peers []*wire.Peer) []*wire.Peer {
	others := func(peer *wire.Peer) bool {
		return peer.GetDataCentre() != exchange.self.DataCentre || peer.GetVm() == exchange.self.VM
	}
	return slices.DeleteFunc(slices.Clone(peers), others)
}

// refresh asks one of those that decide at intervals who is to be known, more often at first: others start too.
func (exchange *Exchange) refresh(ctx context.Context) {
	backoff := wait.NewBackoff(exchange.settings.Repeat, 2*exchange.settings.Refresh)
	for backoff.Wait(ctx) {
		deciding := exchange.deciding()
		exchange.send(deciding[:min(1, len(deciding))], nil, true)
	}
}
