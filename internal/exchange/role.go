package exchange

import (
	"cmp"
	"slices"

	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
)

var _ feed.Members = (*Exchange)(nil)

// readerOrder names the order of VMs that read the store for others.
const readerOrder = "reader"

// Role implements feed.Members: in each data centre with at least so many live VMs
// the one with the greatest capacity reads the store, among equal ones the first
// by rendezvous. A VM that does not know the others yet reads it itself.
func (exchange *Exchange) Role(least int, avoid func(address string) bool) feed.Role {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if !exchange.met {
		return feed.Role{Unsettled: true}
	}
	neighbours := exchange.neighbourhood()
	if 1+len(neighbours) < least {
		return feed.Role{}
	}
	best := exchange.self.VM
	unheard := false
	var blind []string
	for _, peer := range neighbours {
		unheard = unheard || (peer.heard.IsZero() && peer.Capacity >= exchange.self.Capacity)
		switch {
		case !exchange.live(peer):
		case peer.blind && exchange.readsBefore(peer.VM, exchange.self.VM):
			blind = append(blind, peer.VM)
		case !peer.blind && !avoid(peer.Address) && exchange.readsBefore(peer.VM, best):
			best = peer.VM
		}
	}
	if best != exchange.self.VM {
		return feed.Role{Ask: exchange.peers[best].Address}
	}
	role := feed.Role{Serves: true, Unsettled: unheard}
	for _, vm := range blind {
		role.Before = append(role.Before, exchange.peers[vm].Address)
	}
	return role
}

// Others implements feed.Members.
func (exchange *Exchange) Others(most int) ([]string, bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	var live []*peer
	for _, peer := range exchange.peers {
		if exchange.live(peer) {
			live = append(live, peer)
		}
	}
	slices.SortFunc(live, func(a, b *peer) int {
		return cmp.Or(a.started.Compare(b.started), cmp.Compare(a.VM, b.VM))
	})
	addresses := make([]string, 0, most)
	for _, peer := range live[:min(most, len(live))] {
		addresses = append(addresses, peer.Address)
	}
	return addresses, exchange.met && (len(live) > 0 || len(exchange.peers) == 0)
}

// readsBefore reports whether a VM reads the store for others rather than another one.
func (exchange *Exchange) readsBefore(vm, other string) bool {
	return exchange.compareReaders(vm, other) < 0
}

// compareReaders orders VMs by who reads the store: the greatest capacity first, then by
// rendezvous.
func (exchange *Exchange) compareReaders(a, b string) int {
	return cmp.Or(
		cmp.Compare(exchange.capacity(b), exchange.capacity(a)),
		rendezvous.Compare(readerOrder, a, b),
	)
}

// neighbourhood returns the other VMs of this data centre that are known, in the order in which they read the store. Most of
// them are not heard, since VMs tell those that decide.
func (exchange *Exchange) neighbourhood() []*peer {
	exchange.arrange()
	var neighbours []*peer
	for _, vm := range exchange.byReader[exchange.self.DataCentre] {
		if vm != exchange.self.VM {
			neighbours = append(neighbours, exchange.peers[vm])
		}
	}
	return neighbours
}
