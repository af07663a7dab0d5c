package coordinator_test

import (
	"fmt"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// faultyConn is a socket that can drop the datagrams that it sends, or hold back received ones
// until its VM resumes.
type faultyConn struct {
	net.PacketConn

	mu sync.Mutex
	// drops reports whether a datagram to an address is dropped. Nil drops none.
	drops func(to string) bool
	// frozen is closed when the VM resumes. It is nil while the VM is running.
	frozen chan struct{}
	// sent and bytes count the datagrams sent, and their bytes.
	sent, bytes int
}

func (faultyconn *faultyConn) WriteTo(data []byte, to net.Addr) (int, error) {
	faultyconn.mu.Lock()
	faultyconn.sent++
	faultyconn.bytes += len(data)
	lost := faultyconn.frozen != nil || (faultyconn.drops != nil && faultyconn.drops(to.String()))
	faultyconn.mu.Unlock()
	if lost {
		return len(data), nil
	}
	count, err := faultyconn.PacketConn.WriteTo(data, to)
	return count, errors.WithStack(err)
}

func (faultyconn *faultyConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	count, from, err := faultyconn.PacketConn.ReadFrom(buffer)
	faultyconn.mu.Lock()
	frozen := faultyconn.frozen
	faultyconn.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return count, from, errors.WithStack(err)
}

// setDrops sets which datagrams are dropped. Nil drops none.
func (faultyconn *faultyConn) setDrops(drops func(to string) bool) {
	faultyconn.mu.Lock()
	defer faultyconn.mu.Unlock()
	faultyconn.drops = drops
}

// disconnect drops all datagrams to the VM, and those from it unless oneWay is set.
func (vm *fleetVM) disconnect(oneWay bool) {
	vm.markDisrupted()
	if !oneWay {
		vm.conn.setDrops(func(string) bool { return true })
	}
	to := vm.address()
	for _, other := range vm.fleet.vms {
		if other != vm {
			other.conn.setDrops(func(address string) bool { return address == to })
		}
	}
}

func (vm *fleetVM) address() string {
	number := 0
	_, _ = fmt.Sscanf(vm.name, "vm-%d", &number)
	return fleetAddress(number)
}

// reconnectAll ends all disconnections.
func (fleet *fleet) reconnectAll() {
	for _, vm := range fleet.vms {
		vm.conn.setDrops(nil)
	}
}

// markDisrupted records that a fault affects the VM.
func (vm *fleetVM) markDisrupted() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.disrupted = true
}

func (vm *fleetVM) setOffline(offline bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.offline = offline
}

// freeze suspends the VM: it sends nothing, and received datagrams stay in its socket.
func (vm *fleetVM) freeze() {
	vm.markDisrupted()
	vm.setOffline(true)
	vm.conn.mu.Lock()
	defer vm.conn.mu.Unlock()
	vm.conn.frozen = make(chan struct{})
}

// resume ends a freeze. It does nothing if the VM is not frozen.
func (vm *fleetVM) resume() {
	vm.setOffline(false)
	vm.conn.mu.Lock()
	defer vm.conn.mu.Unlock()
	if vm.conn.frozen != nil {
		close(vm.conn.frozen)
		vm.conn.frozen = nil
	}
}

// kill stops the VM without notice to the others.
func (vm *fleetVM) kill() {
	vm.markDisrupted()
	vm.setOffline(true)
	vm.stop()
}
