package exchange

import (
	"net"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// send sends reports, in as many datagrams as they take.
func (exchange *Exchange) send(addresses []net.Addr, reports []pool.Report, hello bool) {
	if len(addresses) == 0 {
		return
	}
	for _, update := range exchange.updates(reports) {
		update.Hello = hello
		if hello {
			update.DataCentre = exchange.self.DataCentre
			update.Capacity = uint32(exchange.self.Capacity) //nolint:gosec // a link's
		}
		exchange.sendTo(addresses, update)
	}
}

// sendTo sends one datagram to addresses.
func (exchange *Exchange) sendTo(addresses []net.Addr, update *wire.LoadUpdate) {
	data, err := proto.Marshal(update)
	if err != nil {
		exchange.logger.Error("datagram not made", "error", err)
		return
	}
	for _, address := range addresses {
		// A datagram that cannot be sent is as good as lost.
		if _, err := exchange.conn.WriteTo(data, address); err != nil {
			exchange.logger.Debug("datagram not sent", "address", address.String(), "error", err)
		}
	}
}

// sendAll tells of all that is under way and of what is kept from servers, and asks whether it is
// heard.
func (exchange *Exchange) sendAll(addresses []net.Addr, reports []pool.Report, entries []quarantine.Entry) {
	for number, update := range exchange.updates(reports) {
		update.Ping = number == 0
		if update.GetPing() {
			update.Quarantined = encodeQuarantined(entries, exchange.now())
		}
		exchange.sendTo(addresses, update)
	}
}

// updates returns as many datagrams as reports take, and one where there are none.
func (exchange *Exchange) updates(reports []pool.Report) []*wire.LoadUpdate {
	var updates []*wire.LoadUpdate
	for chunk := range slices.Chunk(reports, maxSendings) {
		update := exchange.update()
		update.Sendings = encode(chunk)
		updates = append(updates, update)
	}
	if len(updates) == 0 {
		updates = append(updates, exchange.update())
	}
	return updates
}

// Ask asks another VM for servers.
func (exchange *Exchange) Ask(vm string, ask dispatch.Ask) {
	update := exchange.update()
	update.Asks = []*wire.Ask{encodeAsk(ask)}
	exchange.sendTo(exchange.addressOf(vm), update)
}

// Answer tells another VM what was decided for its request.
func (exchange *Exchange) Answer(vm string, answer dispatch.Answer) {
	update := exchange.update()
	update.Verdicts = []*wire.Verdict{encodeAnswer(answer)}
	exchange.sendTo(exchange.addressOf(vm), update)
}

// pong tells a VM that it is heard, who decides, and what is kept from servers: so all VMs learn that
// from those that judge within one Repeat, and again after a loss. One that said hello is told too who else is to be known.
func (exchange *Exchange) pong(asked *wire.LoadUpdate, address net.Addr, sink Sink) {
	update := exchange.update()
	update.UpMs = uint32(exchange.now().Sub(exchange.started).Milliseconds()) //nolint:gosec // weeks at most
	update.Blind = sink.Blind()
	update.Quarantined = encodeQuarantined(sink.Quarantined(), exchange.now())
	update.Peers, update.Known, update.Heard = exchange.deciders()
	if asked.GetHello() {
		update.Introduced = exchange.introduced(asked.GetDataCentre())
	}
	exchange.sendTo([]net.Addr{address}, update)
}

// update returns a datagram that says who sends it.
func (exchange *Exchange) update() *wire.LoadUpdate {
	current, _ := exchange.epochs.Current()
	return &wire.LoadUpdate{Vm: exchange.self.VM, Address: exchange.self.Address, Epoch: int64(current)}
}

// addressOf returns the address of a VM, or none.
func (exchange *Exchange) addressOf(vm string) []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if known := exchange.peers[vm]; known != nil {
		return []net.Addr{known.address}
	}
	return nil
}
