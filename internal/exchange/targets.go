package exchange

import (
	"math/rand/v2"
	"net"
)

// targets is where a datagram goes.
type targets struct {
	// direct has the VMs that get it for themselves.
	direct []net.Addr
	// relays has the VMs that pass it on in their data centres too.
	relays []net.Addr
}

func (targets targets) empty() bool {
	return len(targets.direct) == 0 && len(targets.relays) == 0
}

// route returns how others are told. Where some VMs decide for all, these are. Else all
// live VMs are: those of small data centres and of this one directly, those of each other
// one through one of them. It is another one each time, so that one which is slow or half
// cut off loses little.
func (exchange *Exchange) route() targets {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	var route targets
	if exchange.coordinated() {
		for _, vm := range exchange.chosen() {
			if vm != exchange.self.VM {
				route.direct = append(route.direct, exchange.peers[vm].address)
			}
		}
		return route
	}
	others := make(map[string][]net.Addr)
	for _, peer := range exchange.peers {
		switch {
		case !exchange.live(peer):
		case peer.DataCentre == "" || peer.DataCentre == exchange.self.DataCentre:
			route.direct = append(route.direct, peer.address)
		default:
			others[peer.DataCentre] = append(others[peer.DataCentre], peer.address)
		}
	}
	for _, addresses := range others {
		if len(addresses) < exchange.settings.RelayFrom {
			route.direct = append(route.direct, addresses...)
			continue
		}
		route.relays = append(route.relays, addresses[rand.IntN(len(addresses))]) //nolint:gosec // no secret
	}
	return route
}

// neighbours returns the live VMs of this data centre but one.
func (exchange *Exchange) neighbours(except string) []net.Addr {
	return exchange.addresses(func(peer *peer) bool {
		return exchange.live(peer) && peer.DataCentre == exchange.self.DataCentre && peer.VM != except
	})
}

// away returns the known VMs that were not heard of lately.
func (exchange *Exchange) away() []net.Addr {
	return exchange.addresses(func(peer *peer) bool { return !exchange.live(peer) })
}

// everyone returns all known VMs.
func (exchange *Exchange) everyone() []net.Addr {
	return exchange.addresses(func(*peer) bool { return true })
}

func (exchange *Exchange) addresses(match func(*peer) bool) []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	addresses := make([]net.Addr, 0, len(exchange.peers))
	for _, peer := range exchange.peers {
		if match(peer) {
			addresses = append(addresses, peer.address)
		}
	}
	return addresses
}
