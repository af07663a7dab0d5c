package exchange

import "net"

// deciding returns the addresses of the other VMs that decide for all.
func (exchange *Exchange) deciding() []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	var addresses []net.Addr
	for _, vm := range exchange.chosen() {
		if vm != exchange.self.VM {
			addresses = append(addresses, exchange.peers[vm].address)
		}
	}
	return addresses
}

// everyone returns the addresses of all known VMs.
func (exchange *Exchange) everyone() []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	addresses := make([]net.Addr, 0, len(exchange.peers))
	for _, peer := range exchange.peers {
		addresses = append(addresses, peer.address)
	}
	return addresses
}
