// Package memnet is an in-memory network for tests in virtual time. Its connections are pipes. A test can make addresses
// unreachable, and connections to an address without a listener are refused.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
)

// ErrRefused is returned by Dial when no listener has the address.
var ErrRefused = errors.Wrap(syscall.ECONNREFUSED, "memnet")

// packetQueueLength is how many received datagrams a packet connection queues. Further ones are dropped.
const packetQueueLength = 1024

// Network is an in-memory network. It is safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// listeners and packets are keyed by address.
	listeners map[string]*listener
	packets   map[string]*packetConn
	// unreachable holds the addresses that drop packets.
	unreachable map[string]bool
}

var _ network.Network = (*Network)(nil)

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners:   make(map[string]*listener),
		packets:     make(map[string]*packetConn),
		unreachable: make(map[string]bool),
	}
}

// SetUnreachable makes an address unreachable, or reachable again. Connection attempts to an unreachable address time out,
// and datagrams from and to it are dropped. Existing connections are not affected.
func (memnet *Network) SetUnreachable(address string, unreachable bool) {
	memnet.mu.Lock()
	defer memnet.mu.Unlock()
	memnet.unreachable[address] = unreachable
}

// CloseAccepted closes all connections that the listener at an address has accepted, as the system does for a process that was
// killed.
func (memnet *Network) CloseAccepted(address string) {
	memnet.mu.Lock()
	defer memnet.mu.Unlock()
	if target := memnet.listeners[address]; target != nil {
		for _, conn := range target.accepted {
			_ = conn.Close() // it may be closed already
		}
		target.accepted = nil
	}
}

// Listen implements network.Network. It returns an error if the address has a listener.
func (memnet *Network) Listen(_ context.Context, address string) (net.Listener, error) {
	memnet.mu.Lock()
	defer memnet.mu.Unlock()
	if memnet.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	created := &listener{network: memnet, address: addr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	memnet.listeners[address] = created
	return created, nil
}

// Dial implements network.Network. It returns ErrRefused if the address has no listener, and the error of the context if
// the address is unreachable or the listener doesn't accept within the default dial timeout.
func (memnet *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	memnet.mu.Lock()
	target, unreachable := memnet.listeners[address], memnet.unreachable[address]
	memnet.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, network.DefaultSettings().DialTimeout)
	defer cancel()
	if unreachable {
		<-bounded.Done()
		return nil, errors.WithStack(bounded.Err())
	}
	if target == nil {
		return nil, errors.WithStack(ErrRefused)
	}
	clientConn, serverConn := newConns()
	select {
	case target.conns <- serverConn:
		return clientConn, nil
	case <-target.closed:
		return nil, errors.WithStack(ErrRefused)
	case <-bounded.Done():
		return nil, errors.WithStack(bounded.Err())
	}
}

// ListenPacket implements network.Network. It returns an error if the address has a packet connection.
func (memnet *Network) ListenPacket(_ context.Context, address string) (net.PacketConn, error) {
	memnet.mu.Lock()
	defer memnet.mu.Unlock()
	if memnet.packets[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	created := &packetConn{
		network: memnet, address: addr(address),
		packets: make(chan packet, packetQueueLength), closed: make(chan struct{}),
	}
	memnet.packets[address] = created
	return created, nil
}

// addr is a net.Addr on the network.
type addr string

// Network implements net.Addr. It returns "memory".
func (addr) Network() string { return "memory" }

// String implements net.Addr.
func (addr addr) String() string { return string(addr) }

// listener is a net.Listener on a Network.
type listener struct {
	network *Network
	address addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	// accepted has the connections that were accepted.
	accepted []net.Conn
}

// Accept implements net.Listener.
func (listener *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		listener.network.mu.Lock()
		defer listener.network.mu.Unlock()
		listener.accepted = append(listener.accepted, conn)
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (listener *listener) Close() error {
	listener.once.Do(func() {
		close(listener.closed)
		listener.network.mu.Lock()
		defer listener.network.mu.Unlock()
		delete(listener.network.listeners, string(listener.address))
	})
	return nil
}

// Addr implements net.Listener.
func (listener *listener) Addr() net.Addr { return listener.address }

// packet is a datagram in the queue of its receiver.
type packet struct {
	data []byte
	from addr
}

// packetConn is a net.PacketConn on a Network.
type packetConn struct {
	network *Network
	address addr
	packets chan packet
	closed  chan struct{}
	once    sync.Once
}

// ReadFrom implements net.PacketConn.
func (packetconn *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case packet := <-packetconn.packets:
		return copy(buffer, packet.data), packet.from, nil
	case <-packetconn.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn. Like UDP, it drops a datagram without an error if the destination doesn't exist or its
// queue is full, or if an address is unreachable.
func (packetconn *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	packetconn.network.mu.Lock()
	target := packetconn.network.packets[to.String()]
	unreachable := packetconn.network.unreachable[to.String()] || packetconn.network.unreachable[packetconn.address.String()]
	packetconn.network.mu.Unlock()
	if target == nil || unreachable {
		return len(data), nil
	}
	select {
	case target.packets <- packet{data: append([]byte(nil), data...), from: packetconn.address}:
	default:
	}
	return len(data), nil
}

// Close implements net.PacketConn.
func (packetconn *packetConn) Close() error {
	packetconn.once.Do(func() {
		close(packetconn.closed)
		packetconn.network.mu.Lock()
		defer packetconn.network.mu.Unlock()
		delete(packetconn.network.packets, string(packetconn.address))
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (packetconn *packetConn) LocalAddr() net.Addr { return packetconn.address }

// SetDeadline implements net.PacketConn. It does nothing: deadlines are not supported.
func (*packetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn. Like SetDeadline, it does nothing.
func (*packetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn. Like SetDeadline, it does nothing.
func (*packetConn) SetWriteDeadline(time.Time) error { return nil }
