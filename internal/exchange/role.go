package exchange

import (
	"maps"
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
	if !exchange.listed {
		return feed.Role{Unsettled: true}
	}
	neighbours := exchange.neighbourhood()
	if 1+len(neighbours) < least {
		return feed.Role{}
	}
	most := exchange.self.Capacity
	unheard := false
	addresses := map[string]string{exchange.self.VM: ""}
	for _, peer := range neighbours {
		unheard = unheard || (peer.heard.IsZero() && peer.Capacity >= exchange.self.Capacity)
		if !exchange.live(peer) || peer.blind || peer.Capacity < most || avoid(peer.Address) {
			continue
		}
		if peer.Capacity > most {
			most = peer.Capacity
			clear(addresses)
		}
		addresses[peer.VM] = peer.Address
	}
	names := slices.Collect(maps.Keys(addresses))
	address := addresses[rendezvous.Order(readerOrder, names)[0]]
	return feed.Role{Ask: address, Serves: address == "", Unsettled: address == "" && unheard}
}

// neighbourhood returns the other VMs of this data centre: the live ones or, where some
// VMs decide for all and most others are not heard, all that are known.
func (exchange *Exchange) neighbourhood() []*peer {
	var neighbours []*peer
	for _, peer := range exchange.peers {
		if peer.DataCentre == exchange.self.DataCentre && (exchange.coordinated() || exchange.live(peer)) {
			neighbours = append(neighbours, peer)
		}
	}
	return neighbours
}
