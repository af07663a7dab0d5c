package coordinator_test

import (
	"fmt"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// strikableConn is a socket whose datagrams can be lost, or kept until its VM wakes up.
type strikableConn struct {
	net.PacketConn

	mu sync.Mutex
	// loses reports whether a datagram to an address is lost, or is nil for none.
	loses func(to string) bool
	// frozen is closed when the VM wakes up, or nil.
	frozen chan struct{}
	// sent counts the datagrams that it sent, and bytes what they have.
	sent, bytes int
}

func (strikableconn *strikableConn) WriteTo(data []byte, to net.Addr) (int, error) {
	strikableconn.mu.Lock()
	strikableconn.sent++
	strikableconn.bytes += len(data)
	lost := strikableconn.frozen != nil || (strikableconn.loses != nil && strikableconn.loses(to.String()))
	strikableconn.mu.Unlock()
	if lost {
		return len(data), nil
	}
	count, err := strikableconn.PacketConn.WriteTo(data, to)
	return count, errors.WithStack(err)
}

func (strikableconn *strikableConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	count, from, err := strikableconn.PacketConn.ReadFrom(buffer)
	strikableconn.mu.Lock()
	frozen := strikableconn.frozen
	strikableconn.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return count, from, errors.WithStack(err)
}

// setLoses lets datagrams to some addresses be lost.
func (strikableconn *strikableConn) setLoses(loses func(to string) bool) {
	strikableconn.mu.Lock()
	defer strikableconn.mu.Unlock()
	strikableconn.loses = loses
}

// cut lets datagrams between the VM and others be lost, those that it gets or all.
func (vm *fleetVM) cut(oneWay bool) {
	vm.strike()
	if !oneWay {
		vm.conn.setLoses(func(string) bool { return true })
	}
	to := vm.address()
	for _, other := range vm.fleet.vms {
		if other != vm {
			other.conn.setLoses(func(address string) bool { return address == to })
		}
	}
}

func (vm *fleetVM) address() string {
	number := 0
	_, _ = fmt.Sscanf(vm.name, "vm-%d", &number)
	return fleetAddress(number)
}

// heal ends all cuts.
func (fleet *fleet) heal() {
	for _, vm := range fleet.vms {
		vm.conn.setLoses(nil)
	}
}

// strike notes that something befell the VM, which excuses it where rules say so.
func (vm *fleetVM) strike() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.struck = true
}

func (vm *fleetVM) setAway(away bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.away = away
}

// freeze lets the VM stand still: it says nothing, and what it is told lies in its socket.
func (vm *fleetVM) freeze() {
	vm.strike()
	vm.setAway(true)
	vm.conn.mu.Lock()
	defer vm.conn.mu.Unlock()
	vm.conn.frozen = make(chan struct{})
}

// wake ends that.
func (vm *fleetVM) wake() {
	vm.setAway(false)
	vm.conn.mu.Lock()
	defer vm.conn.mu.Unlock()
	if vm.conn.frozen != nil {
		close(vm.conn.frozen)
		vm.conn.frozen = nil
	}
}

// kill ends the VM.
func (vm *fleetVM) kill() {
	vm.strike()
	vm.setAway(true)
	vm.stop()
}
