// Package memnet is a network within memory, for tests in virtual time. Its
// connections are pipes; addresses can be made dark or refuse.
package memnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
)

// ErrRefused is returned when nobody listens.
var ErrRefused = errors.New("connection refused")

// packetQueue is how many datagrams wait to be read; more are lost.
const packetQueue = 1024

// Network is a network within memory.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	packets   map[string]*packetConn
	// dark has the addresses that say nothing.
	dark map[string]bool
}

var _ network.Network = (*Network)(nil)

// New returns a network with nobody on it.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		packets:   make(map[string]*packetConn),
		dark:      make(map[string]bool),
	}
}

// SetDark makes an address say nothing to new connections and datagrams, or
// ends that.
func (memnet *Network) SetDark(address string, dark bool) {
	memnet.mu.Lock()
	defer memnet.mu.Unlock()
	memnet.dark[address] = dark
}

// Listen implements network.Network.
func (memnet *Network) Listen(_ context.Context, address string) (net.Listener, error) {
	memnet.mu.Lock()
	defer memnet.mu.Unlock()
	if memnet.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	added := &listener{network: memnet, address: addr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	memnet.listeners[address] = added
	return added, nil
}

// Dial implements network.Network.
func (memnet *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	memnet.mu.Lock()
	found, dark := memnet.listeners[address], memnet.dark[address]
	memnet.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, network.DefaultSettings().DialTimeout)
	defer cancel()
	if dark {
		<-bounded.Done()
		return nil, errors.WithStack(bounded.Err())
	}
	if found == nil {
		return nil, errors.WithStack(ErrRefused)
	}
	near, far := net.Pipe()
	select {
	case found.conns <- far:
		return near, nil
	case <-found.closed:
		return nil, errors.WithStack(ErrRefused)
	case <-bounded.Done():
		return nil, errors.WithStack(bounded.Err())
	}
}

// ListenPacket implements network.Network.
func (memnet *Network) ListenPacket(_ context.Context, address string) (net.PacketConn, error) {
	memnet.mu.Lock()
	defer memnet.mu.Unlock()
	if memnet.packets[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	added := &packetConn{
		network: memnet, address: addr(address),
		packets: make(chan packet, packetQueue), closed: make(chan struct{}),
	}
	memnet.packets[address] = added
	return added, nil
}

// addr is an address on the network.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "memory" }

// String implements net.Addr.
func (addr addr) String() string { return string(addr) }

// listener takes connections.
type listener struct {
	network *Network
	address addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (listener *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
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

type packet struct {
	data []byte
	from addr
}

// packetConn takes and sends datagrams.
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

// WriteTo implements net.PacketConn. Datagrams to nobody are lost.
func (packetconn *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	packetconn.network.mu.Lock()
	found := packetconn.network.packets[to.String()]
	dark := packetconn.network.dark[to.String()] || packetconn.network.dark[packetconn.address.String()]
	packetconn.network.mu.Unlock()
	if found == nil || dark {
		return len(data), nil
	}
	select {
	case found.packets <- packet{data: append([]byte(nil), data...), from: packetconn.address}:
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

// SetDeadline implements net.PacketConn. Datagrams here have no deadlines.
func (*packetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn, as SetDeadline does.
func (*packetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn, as SetDeadline does.
func (*packetConn) SetWriteDeadline(time.Time) error { return nil }
