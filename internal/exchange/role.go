package exchange

import (
	"cmp"
	"slices"

	"github.com/mastwinch/mastwinch/internal/feed"
	"github.com/mastwinch/mastwinch/internal/rendezvous"
	"github.com/mastwinch/mastwinch/internal/tunnel"
)

var (
	_ feed.Members = (*Exchange)(nil)
	_ tunnel.Peers = (*Exchange)(nil)
)

// readerKey is the rendezvous key that ranks VMs as readers of the store.
const readerKey = "reader"

// Role implements feed.Members. In each data centre with at least minimum known VMs, the live VM with the greatest link
// capacity reads the store for the others; rendezvous hashing breaks ties. VMs for whose address avoid returns true, and
// VMs that the store doesn't respond to, are passed over. MembersUnknown is set until this VM has joined the fleet, and
// while it would be the reader but has never received a datagram from a peer of at least its own capacity.
func (exchange *Exchange) Role(minimum int, avoid func(address string) bool) feed.Role {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if !exchange.joined {
		return feed.Role{MembersUnknown: true}
	}
	candidates := exchange.localPeers()
	if 1+len(candidates) < minimum {
		return feed.Role{}
	}
	reader := exchange.self.VM
	unseen := false
	var storeUnavailable []string
	for _, peer := range candidates {
		unseen = unseen || (peer.lastSeen.IsZero() && peer.Capacity >= exchange.self.Capacity)
		switch {
		case !exchange.live(peer):
		case peer.storeUnavailable && exchange.precedesAsReader(peer.VM, exchange.self.VM):
			storeUnavailable = append(storeUnavailable, peer.VM)
		case !peer.storeUnavailable && !avoid(peer.Address) && exchange.precedesAsReader(peer.VM, reader):
			reader = peer.VM
		}
	}
	if reader != exchange.self.VM {
		return feed.Role{ReaderAddress: exchange.peers[reader].Address}
	}
	role := feed.Role{IsReader: true, MembersUnknown: unseen}
	for _, vm := range storeUnavailable {
		role.UnavailableReaders = append(role.UnavailableReaders, exchange.peers[vm].Address)
	}
	return role
}

// LivePeers implements feed.Members. It returns the addresses of at most limit live VMs, those with the longest uptime
// first, and reports false while this VM has not joined or all of its peers are down.
func (exchange *Exchange) LivePeers(limit int) ([]string, bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	var live []*peer
	for _, peer := range exchange.peers {
		if exchange.live(peer) {
			live = append(live, peer)
		}
	}
	slices.SortFunc(live, func(a, b *peer) int {
		return cmp.Or(a.startedAt.Compare(b.startedAt), cmp.Compare(a.VM, b.VM))
	})
	addresses := make([]string, 0, limit)
	for _, peer := range live[:min(limit, len(live))] {
		addresses = append(addresses, peer.Address)
	}
	return addresses, exchange.joined && (len(live) > 0 || len(exchange.peers) == 0)
}

// TunnelPeers implements tunnel.Peers. Most VMs of a large fleet send this VM no datagrams, so others may be live too.
// The order is random.
func (exchange *Exchange) TunnelPeers() (live, others []tunnel.Peer) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	for _, peer := range exchange.peers {
		if exchange.live(peer) {
			live = append(live, tunnel.Peer{Address: peer.Address, DataCentre: peer.DataCentre})
		} else {
			others = append(others, tunnel.Peer{Address: peer.Address, DataCentre: peer.DataCentre})
		}
	}
	return live, others
}

// precedesAsReader reports whether vm is preferred to other as reader of the store.
func (exchange *Exchange) precedesAsReader(vm, other string) bool {
	return exchange.compareReaders(vm, other) < 0
}

// compareReaders orders VMs by preference as reader of the store: by descending link capacity, then by rendezvous hashing.
func (exchange *Exchange) compareReaders(a, b string) int {
	return cmp.Or(
		cmp.Compare(exchange.capacity(b), exchange.capacity(a)),
		rendezvous.Compare(readerKey, a, b),
	)
}

// localPeers returns the known peers of this data centre in order of preference as reader. Most of them send this VM no
// datagrams, since VMs send reports and heartbeats to coordinators and reader candidates only.
func (exchange *Exchange) localPeers() []*peer {
	exchange.ensureRanking()
	var candidates []*peer
	for _, vm := range exchange.readerRankings[exchange.self.DataCentre] {
		if vm != exchange.self.VM {
			candidates = append(candidates, exchange.peers[vm])
		}
	}
	return candidates
}
