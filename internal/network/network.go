// Package network is how a process reaches others. The real network and one
// within a test's memory implement it.
package network

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Network opens connections and takes them.
type Network interface {
	// Listen takes connections at address.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// Dial opens a connection to address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// ListenPacket takes datagrams at address.
	ListenPacket(ctx context.Context, address string) (net.PacketConn, error)
}

// Settings tune connections that this process opens.
type Settings struct {
	// DialTimeout is how long a new connection may take. Data centres are a
	// few milliseconds apart; who takes longer is dark.
	DialTimeout time.Duration `yaml:"dial_timeout" validate:"min=10ms,max=10s"`
	// UserTimeout is how long sent bytes may stay without acknowledgement.
	UserTimeout time.Duration `yaml:"user_timeout" validate:"min=100ms,max=30s"`
}

// DefaultSettings returns settings for data centres of one city.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout: 500 * time.Millisecond,
		UserTimeout: 1200 * time.Millisecond,
	}
}

// Probes of connections on which nothing is sent. The system takes whole
// seconds; two probes notice a dark peer in about two.
const (
	keepAliveTime   = time.Second
	keepAliveProbes = 2
)

// System is the real network.
type System struct {
	dialer net.Dialer
	listen net.ListenConfig
}

var _ Network = System{}

// New returns the real network.
func New(settings Settings) System {
	return System{dialer: net.Dialer{
		Timeout: settings.DialTimeout,
		Control: control(settings.UserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: keepAliveProbes,
		},
	}}
}

// Listen implements Network.
func (system System) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := system.listen.Listen(ctx, "tcp4", address)
	return listener, errors.WithStack(err)
}

// Dial implements Network.
func (system System) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := system.dialer.DialContext(ctx, "tcp4", address)
	return conn, errors.WithStack(err)
}

// ListenPacket implements Network.
func (system System) ListenPacket(ctx context.Context, address string) (net.PacketConn, error) {
	conn, err := system.listen.ListenPacket(ctx, "udp4", address)
	return conn, errors.WithStack(err)
}

// control sets how long sent bytes may stay without acknowledgement, so that a
// dark server is noticed.
func control(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.CombineErrors(err, failed)
	}
}
