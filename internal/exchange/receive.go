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

// receive takes datagrams until ctx is done.
func (exchange *Exchange) receive(ctx context.Context, sink Sink) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := exchange.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // the socket was closed to end this
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "exchange")
		}
		if err != nil {
			exchange.logger.Debug("datagram not read", "error", err)
			continue
		}
		update := &wire.LoadUpdate{}
		if err := proto.Unmarshal(buffer[:count], update); err != nil || update.GetVm() == "" {
			exchange.logger.Warn("datagram not understood", "bytes", count, "error", err)
			continue
		}
		exchange.received(update, sink)
	}
}

// received takes one datagram.
func (exchange *Exchange) received(update *wire.LoadUpdate, sink Sink) {
	if update.GetVm() == exchange.self.VM {
		return
	}
	exchange.meet(update)
	address, returned, known := exchange.hear(update)
	if !known {
		return
	}
	if returned {
		exchange.logger.Debug("VM heard", "peer", update.GetVm(), "address", update.GetAddress())
	}
	exchange.epochs.Hint(epoch.Number(update.GetEpoch()))
	exchange.reply(update, address, returned, sink)
	exchange.noteIntroduced(update)
	exchange.greetNamed(update.GetPeers())
	exchange.greetNamed(exchange.neighbours(update.GetIntroduced()))
	if len(update.GetSendings()) > 0 {
		sink.Told(update.GetVm(), decode(update.GetSendings()))
	}
	if len(update.GetQuarantined()) > 0 {
		sink.ToldQuarantined(decodeQuarantined(update.GetQuarantined(), exchange.now()))
	}
	if len(update.GetAsks()) > 0 {
		sink.Asked(update.GetVm(), decodeAsks(update.GetAsks()))
	}
	if len(update.GetVerdicts()) > 0 {
		sink.Answered(update.GetVm(), decodeAnswers(update.GetVerdicts()))
	}
}

// meet takes in the VMs that a datagram names, where they are new or moved.
func (exchange *Exchange) meet(update *wire.LoadUpdate) {
	if update.GetHello() || !exchange.knows(update) {
		exchange.know(memberOf(update))
	}
	for _, peer := range slices.Concat(update.GetPeers(), update.GetIntroduced()) {
		if !exchange.knows(peer) {
			exchange.know(memberOf(peer))
		}
	}
}

// greetNamed greets VMs that another one says decide, or may read the store for this one, and that were not heard here.
// In turns with all that are away VMs which start together behind many that are gone would agree on who decides only
// after seconds.
func (exchange *Exchange) greetNamed(named []*wire.Peer) {
	exchange.mu.Lock()
	now := exchange.now()
	var addresses []net.Addr
	for _, peer := range named {
		known := exchange.peers[peer.GetVm()]
		if known == nil || exchange.live(known) || now.Sub(known.greeted) < exchange.settings.Repeat {
			continue
		}
		known.greeted = now
		addresses = append(addresses, known.address)
	}
	exchange.mu.Unlock()
	exchange.send(addresses, nil, true)
}

// located is a VM as a datagram names it.
type located interface {
	GetVm() string
	GetAddress() string
	GetDataCentre() string
	GetCapacity() uint32
}

func memberOf(named located) Member {
	return Member{
		VM: named.GetVm(), Address: named.GetAddress(),
		DataCentre: named.GetDataCentre(), Capacity: int(named.GetCapacity()),
	}
}

// knows reports whether a VM is known at its address, with its data centre where that is told. Most datagrams
// do not tell it, and a VM that was first heard by one of these was left out of its data centre's VMs for good.
func (exchange *Exchange) knows(named located) bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	known := exchange.peers[named.GetVm()]
	return known != nil && known.Address == named.GetAddress() &&
		(known.DataCentre != "" || named.GetDataCentre() == "")
}

// hear notes that a VM was heard. It returns its address and whether it was silent
// before.
func (exchange *Exchange) hear(update *wire.LoadUpdate) (address net.Addr, returned, found bool) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	known := exchange.peers[update.GetVm()]
	if known == nil {
		return nil, false, false
	}
	returned = !exchange.live(known)
	known.heard = exchange.now()
	known.doubted = false
	if up := update.GetUpMs(); up > 0 {
		known.started = known.heard.Add(-time.Duration(up) * time.Millisecond)
		known.blind = update.GetBlind()
	}
	exchange.knownElsewhere = max(exchange.knownElsewhere, int(update.GetKnown()))
	exchange.noteHeard(int(update.GetHeard()))
	return known.address, returned, true
}

// noteHeard takes over how many VMs another one hears. Fewer than before count once more were not told of for long.
func (exchange *Exchange) noteHeard(count int) {
	now := exchange.now()
	if count >= exchange.heardElsewhere || now.Sub(exchange.heardElsewhereAt) >= shareTime {
		exchange.heardElsewhere = count
		exchange.heardElsewhereAt = now
	}
}

// reply answers a VM that wants to know whether it is heard, or that returned. One that decides and greets may have
// started again before its silence was noticed: it is told of all at once, since it knows nothing.
func (exchange *Exchange) reply(update *wire.LoadUpdate, address net.Addr, returned bool, sink Sink) {
	exchange.mu.Lock()
	decides := (returned || update.GetHello()) && exchange.decides(update.GetVm())
	exchange.mu.Unlock()
	if update.GetPing() || update.GetHello() {
		exchange.pong(update, address, sink)
	}
	if decides {
		exchange.sendAll([]net.Addr{address}, sink.Own(), sink.Quarantined())
	}
}
