package exchange

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// receive reads and handles datagrams until ctx is done. It returns an error if the connection is closed before.
func (exchange *Exchange) receive(ctx context.Context, sink Sink) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := exchange.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // Run closed the connection because ctx is done
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "reading datagrams")
		}
		if err != nil {
			exchange.logger.Debug("failed to read a datagram", "error", err)
			continue
		}
		update := &wire.LoadUpdate{}
		if err := proto.Unmarshal(buffer[:count], update); err != nil || update.GetVm() == "" {
			exchange.logger.Warn("ignoring a malformed datagram", "bytes", count, "error", err)
			continue
		}
		exchange.handle(update, sink)
	}
}

// handle processes one datagram. It ignores datagrams of this VM itself.
func (exchange *Exchange) handle(update *wire.LoadUpdate, sink Sink) {
	if update.GetVm() == exchange.self.VM {
		return
	}
	exchange.addNamedPeers(update)
	address, returned, found := exchange.recordContact(update)
	if !found {
		return
	}
	if returned {
		exchange.logger.Debug("VM is live", "peer", update.GetVm(), "address", update.GetAddress())
	}
	exchange.epochs.Hint(epoch.Number(update.GetEpoch()))
	exchange.reply(update, address, returned, sink)
	exchange.joinIfIntroduced(update)
	exchange.sayHello(update.GetPeers())
	exchange.sayHello(exchange.inOwnDataCentre(update.GetIntroduced()))
	if len(update.GetSendings()) > 0 {
		sink.HandleReports(update.GetVm(), decodeReports(update.GetSendings()))
	}
	if len(update.GetQuarantined()) > 0 {
		sink.HandleQuarantined(decodeQuarantined(update.GetQuarantined(), exchange.now()))
	}
	if update.GetSuspects() != nil {
		sink.HandleSuspects(update.GetVm(), decodeSuspects(update.GetSuspects()))
	}
	if len(update.GetBegun()) > 0 {
		sink.HandleBegun(decodeBegun(update.GetBegun(), exchange.now()))
	}
	if len(update.GetAsks()) > 0 {
		sink.HandleRequests(update.GetVm(), decodeAssignmentRequests(update.GetAsks()))
	}
	if len(update.GetVerdicts()) > 0 {
		sink.HandleResponses(update.GetVm(), decodeAssignmentResponses(update.GetVerdicts()))
	}
}

// addNamedPeers adds the sender and the VMs that a datagram names to the peers, where they are new or have a new address.
func (exchange *Exchange) addNamedPeers(update *wire.LoadUpdate) {
	if update.GetHello() || !exchange.isKnown(update) {
		exchange.addPeer(memberOf(update))
	}
	for _, peer := range slices.Concat(update.GetPeers(), update.GetIntroduced()) {
		if !exchange.isKnown(peer) {
			exchange.addPeer(memberOf(peer))
		}
	}
}

// sayHello says hello at once to coordinators and reader candidates that another VM named and that are down here. If
// they only took their turn in the round-robin over all VMs that are down, VMs that start together while many registered
// VMs are gone would need seconds to agree on the coordinators.
func (exchange *Exchange) sayHello(named []*wire.Peer) {
	exchange.mu.Lock()
	now := exchange.now()
	var addresses []net.Addr
	for _, info := range named {
		peer := exchange.peers[info.GetVm()]
		if peer == nil || exchange.live(peer) || now.Sub(peer.lastHello) < exchange.settings.HeartbeatInterval {
			continue
		}
		peer.lastHello = now
		addresses = append(addresses, peer.address)
	}
	exchange.mu.Unlock()
	exchange.send(addresses, nil, true)
}

// peerInfo is the identity of a VM in a datagram, as its sender or among the VMs that it names.
type peerInfo interface {
	GetVm() string
	GetAddress() string
	GetDataCentre() string
	GetCapacity() uint32
}

func memberOf(info peerInfo) Member {
	return Member{
		VM: info.GetVm(), Address: info.GetAddress(),
		DataCentre: info.GetDataCentre(), Capacity: int(info.GetCapacity()),
	}
}

// isKnown reports whether a peer is recorded with this address and, if info has a data centre, with a data centre. Most
// datagrams lack it; a VM whose first datagram lacked it would otherwise stay without a data centre forever.
func (exchange *Exchange) isKnown(info peerInfo) bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	peer := exchange.peers[info.GetVm()]
	return peer != nil && peer.Address == info.GetAddress() &&
		(peer.DataCentre != "" || info.GetDataCentre() == "")
}

// recordContact records that a datagram arrived from its sender. It returns the sender's address, whether the sender was
// down before, and whether it is a known peer.
func (exchange *Exchange) recordContact(update *wire.LoadUpdate) (address net.Addr, returned, found bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	peer := exchange.peers[update.GetVm()]
	if peer == nil {
		return nil, false, false
	}
	returned = !exchange.live(peer)
	peer.lastSeen = exchange.now()
	peer.unresponsive = false
	if uptime := update.GetUpMs(); uptime > 0 {
		peer.startedAt = peer.lastSeen.Add(-time.Duration(uptime) * time.Millisecond)
		peer.storeUnavailable = update.GetBlind()
	}
	exchange.reportedKnown = max(exchange.reportedKnown, int(update.GetKnown()))
	exchange.recordReportedLive(int(update.GetHeard()))
	return peer.address, returned, true
}

// recordReportedLive records how many VMs are live by a peer's report. A smaller number replaces a larger one only when
// the larger one has not been reported for departedTimeout.
func (exchange *Exchange) recordReportedLive(count int) {
	now := exchange.now()
	if count >= exchange.reportedLive || now.Sub(exchange.reportedLiveAt) >= departedTimeout {
		exchange.reportedLive = count
		exchange.reportedLiveAt = now
	}
}

// reply responds to a ping or hello. A coordinator that returned or said hello receives all of this VM's reports at once,
// since it may have restarted without them, even before PeerTimeout detected that it was down.
func (exchange *Exchange) reply(update *wire.LoadUpdate, address net.Addr, returned bool, sink Sink) {
	exchange.mu.Lock()
	isCoordinator := (returned || update.GetHello()) && exchange.isCoordinator(update.GetVm())
	exchange.mu.Unlock()
	if update.GetPing() || update.GetHello() {
		exchange.pong(update, address, sink)
	}
	if isCoordinator {
		exchange.sendState([]net.Addr{address}, sink.OwnReports(), sink.Quarantined())
	}
}
