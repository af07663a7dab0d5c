package exchange

import (
	"net"

	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// send sends reports to addresses, in as many datagrams as they need, and at least one. With hello, the datagrams request
// a response with introductions, and state the data centre and link capacity of this VM.
func (exchange *Exchange) send(addresses []net.Addr, reports []pool.Report, hello bool) {
	if len(addresses) == 0 {
		return
	}
	for _, update := range exchange.updates(reports) {
		update.Hello = hello
		if hello {
			update.DataCentre = exchange.self.DataCentre
			update.Capacity = uint32(exchange.self.Capacity) //nolint:gosec // link capacity in Mbit/s
		}
		exchange.sendTo(addresses, update)
	}
}

// sendTo sends one datagram to each of addresses.
func (exchange *Exchange) sendTo(addresses []net.Addr, update *wire.LoadUpdate) {
	data, err := proto.Marshal(update)
	if err != nil {
		exchange.logger.Error("failed to encode a datagram", "error", err)
		return
	}
	for _, address := range addresses {
		// A datagram that cannot be sent is handled like a lost one: heartbeats make up for it.
		if _, err := exchange.conn.WriteTo(data, address); err != nil {
			exchange.logger.Debug("failed to send a datagram", "address", address.String(), "error", err)
		}
	}
}

// sendState sends a heartbeat: all reports and a selection of the quarantine entries of this VM. The first datagram
// requests a response.
func (exchange *Exchange) sendState(addresses []net.Addr, reports []pool.Report, entries []quarantine.Entry) {
	for index, update := range exchange.updates(reports) {
		update.Ping = index == 0
		if update.GetPing() {
			update.Quarantined = encodeQuarantined(entries, exchange.now())
		}
		exchange.sendTo(addresses, update)
	}
}

// updates returns as many datagrams as reports need, and one without reports if there are none.
func (exchange *Exchange) updates(reports []pool.Report) []*wire.LoadUpdate {
	var updates []*wire.LoadUpdate
	for _, chunk := range chunkReports(reports) {
		update := exchange.update()
		update.Sendings = encodeReports(chunk)
		updates = append(updates, update)
	}
	if len(updates) == 0 {
		updates = append(updates, exchange.update())
	}
	return updates
}

// chunkReports divides reports among datagrams. Each datagram has at least one.
func chunkReports(reports []pool.Report) [][]pool.Report {
	var chunks [][]pool.Report
	first, size := 0, 0
	for index, report := range reports {
		reportSize := 1 + (len(report.Parts)+maxPartsPerReport-1)/maxPartsPerReport
		if size > 0 && size+reportSize > maxReportsPerDatagram {
			chunks = append(chunks, reports[first:index])
			first, size = index, 0
		}
		size += reportSize
	}
	if first < len(reports) {
		chunks = append(chunks, reports[first:])
	}
	return chunks
}

// SendReport sends a report to the VM at an address. It sends nothing if no such VM is known.
func (exchange *Exchange) SendReport(address string, report pool.Report) {
	update := exchange.update()
	update.Sendings = encodeReports([]pool.Report{report})
	exchange.sendTo(exchange.peersAt(address), update)
}

// peersAt returns the addresses of the known VMs at an address, at most one.
func (exchange *Exchange) peersAt(address string) []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	for _, peer := range exchange.peers {
		if peer.Address == address {
			return []net.Addr{peer.address}
		}
	}
	return nil
}

// SendRequest sends an assignment request to another VM, a coordinator. It sends nothing if the VM is unknown.
func (exchange *Exchange) SendRequest(vm string, request dispatch.AssignmentRequest) {
	update := exchange.update()
	update.Asks = []*wire.Ask{encodeAssignmentRequest(request)}
	exchange.sendTo(exchange.addressOf(vm), update)
}

// SendResponse sends the decision on a request to the VM that the request came from. It sends nothing if the VM is unknown.
func (exchange *Exchange) SendResponse(vm string, response dispatch.AssignmentResponse) {
	update := exchange.update()
	update.Verdicts = []*wire.Verdict{encodeAssignmentResponse(response)}
	exchange.sendTo(exchange.addressOf(vm), update)
}

// pong responds to a datagram with the coordinators, the quarantine entries and the suspects. All VMs thus receive these from the
// coordinators within one HeartbeatInterval, and again after a loss. The response to a hello includes introductions.
func (exchange *Exchange) pong(received *wire.LoadUpdate, address net.Addr, sink Sink) {
	update := exchange.update()
	update.UpMs = uint32(exchange.now().Sub(exchange.startedAt).Milliseconds()) //nolint:gosec // weeks at most
	update.Blind = sink.StoreUnavailable()
	update.Quarantined = encodeQuarantined(sink.Quarantined(), exchange.now())
	update.Suspects = encodeSuspects(sink.Suspects())
	update.Peers, update.Known, update.Heard = exchange.announcedCoordinators()
	if received.GetHello() {
		update.Introduced = exchange.introductions(received.GetDataCentre())
	}
	exchange.sendTo([]net.Addr{address}, update)
}

// update returns a datagram with the name, address and store epoch of this VM.
func (exchange *Exchange) update() *wire.LoadUpdate {
	current, _ := exchange.epochs.Current()
	return &wire.LoadUpdate{Vm: exchange.self.VM, Address: exchange.self.Address, Epoch: int64(current)}
}

// addressOf returns the address of a VM, or nil if it is unknown.
func (exchange *Exchange) addressOf(vm string) []net.Addr {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if peer := exchange.peers[vm]; peer != nil {
		return []net.Addr{peer.address}
	}
	return nil
}
