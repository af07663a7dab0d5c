package exchange

import (
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
		return feed.Role{}
	}
	most := exchange.self.Capacity
	count := 1
	addresses := map[string]string{exchange.self.VM: ""}
	for _, peer := range exchange.peers {
		if peer.DataCentre != exchange.self.DataCentre {
			continue
		}
		live := exchange.live(peer)
		if live || exchange.coordinated() {
			count++ // where some VMs decide for all, most others are not heard
		}
		if !live || avoid(peer.Address) || peer.Capacity < most {
			continue
		}
		if peer.Capacity > most {
			most = peer.Capacity
			clear(addresses)
		}
		addresses[peer.VM] = peer.Address
	}
	if count < least {
		return feed.Role{}
	}
	names := make([]string, 0, len(addresses))
	for name := range addresses {
		names = append(names, name)
	}
	address := addresses[rendezvous.Order(readerOrder, names)[0]]
	return feed.Role{Ask: address, Serves: address == ""}
}
