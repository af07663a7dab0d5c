// Package network abstracts the network of the operating system, so that tests
// can replace it by one in memory.
package network

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Dialer opens connections. Implementations are safe for concurrent use.
type Dialer interface {
	// Dial opens a connection to address.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Network opens and accepts connections. Implementations are safe for concurrent use.
type Network interface {
	Dialer

	// Listen accepts connections at address.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// ListenPacket receives datagrams at address.
	ListenPacket(ctx context.Context, address string) (net.PacketConn, error)
}

// Settings limit the connections that this process opens.
type Settings struct {
	// DialTimeout is how long opening a connection may take. The round trip between
	// data centres takes a few milliseconds, so a peer that takes longer is unreachable.
	DialTimeout time.Duration `yaml:"dial_timeout" validate:"min=10ms,max=10s"`
	// UserTimeout is how long sent data, or a keep-alive probe, may remain unacknowledged before the connection is closed. It is
	// longer than a sound server is silent now and then.
	UserTimeout time.Duration `yaml:"user_timeout" validate:"min=100ms,max=30s"`
	// SourceAddress is the IPv4 address that connections are opened from, for VMs with several. Empty leaves the choice to the
	// system.
	SourceAddress string `yaml:"source" validate:"omitempty,ipv4"`
}

// DefaultSettings returns settings for VMs in several data centres of one city.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout: 500 * time.Millisecond,
		UserTimeout: 2500 * time.Millisecond,
	}
}

// Keep-alive probes on idle connections. The system accepts whole seconds only. The user timeout decides when they are given
// up, at the next probe after it.
const (
	keepAliveTime   = time.Second
	keepAliveProbes = 2
)

// System is the network of the operating system.
type System struct {
	dialer net.Dialer
	listen net.ListenConfig
}

var _ Network = System{}

// New returns the network of the operating system.
func New(settings Settings) System {
	dialer := net.Dialer{
		Timeout: settings.DialTimeout,
		Control: control(settings.UserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: keepAliveProbes,
		},
	}
	if settings.SourceAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(settings.SourceAddress)}
	}
	return System{dialer: dialer}
}

// Listen implements Network with TCP over IPv4.
func (system System) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := system.listen.Listen(ctx, "tcp4", address)
	return listener, errors.WithStack(err)
}

// Dial implements Network with TCP over IPv4.
func (system System) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := system.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.AssertionFailedf("connection to %s is a %T", address, conn)
	}
	return &dialledConn{Conn: tcp, socket: tcp}, nil
}

// ListenPacket implements Network with UDP over IPv4.
func (system System) ListenPacket(ctx context.Context, address string) (net.PacketConn, error) {
	conn, err := system.listen.ListenPacket(ctx, "udp4", address)
	return conn, errors.WithStack(err)
}

// control returns a function that sets TCP_USER_TIMEOUT on a socket, so that a
// connection to an unreachable server fails.
func control(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.CombineErrors(err, optionErr)
	}
}
