package exchange

import "net"

// coordinatorAddresses returns the addresses of the coordinators without this VM.
func (exchange *Exchange) coordinatorAddresses() []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	var addresses []net.Addr
	for _, vm := range exchange.currentCoordinators() {
		if vm != exchange.self.VM {
			addresses = append(addresses, exchange.peers[vm].address)
		}
	}
	return addresses
}

// allAddresses returns the addresses of all known VMs without this one.
func (exchange *Exchange) allAddresses() []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	addresses := make([]net.Addr, 0, len(exchange.peers))
	for _, peer := range exchange.peers {
		addresses = append(addresses, peer.address)
	}
	return addresses
}
