package exchange

import (
	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
)

var _ feed.Reader = (*Exchange)(nil)

// readerOrder names the order of VMs that read the store for others.
const readerOrder = "reader"

// Reader implements feed.Reader: in each data centre the live VM with the
// greatest capacity reads the store, among equal ones the first by rendezvous.
// A VM that does not know the others yet reads it itself.
func (exchange *Exchange) Reader(avoid func(address string) bool) (string, bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if !exchange.listed {
		return "", false
	}
	most := exchange.self.Capacity
	addresses := map[string]string{exchange.self.VM: ""}
	for _, peer := range exchange.peers {
		if peer.DataCentre != exchange.self.DataCentre || !exchange.live(peer) || avoid(peer.Address) {
			continue
		}
		if peer.Capacity > most {
			most = peer.Capacity
			clear(addresses)
		}
		if peer.Capacity == most {
			addresses[peer.VM] = peer.Address
		}
	}
	if exchange.self.Capacity < most {
		delete(addresses, exchange.self.VM)
	}
	names := make([]string, 0, len(addresses))
	for name := range addresses {
		names = append(names, name)
	}
	first := rendezvous.Order(readerOrder, names)[0]
	return addresses[first], first != exchange.self.VM
}
