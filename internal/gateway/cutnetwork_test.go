package gateway_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/network"
)

// cutMode is what happens to a VM's connections to servers during a cut.
type cutMode string

const (
	// cutResets resets existing connections and refuses new ones.
	cutResets cutMode = "connections are reset"
	// cutSilences delivers nothing on existing and new connections.
	cutSilences cutMode = "connections are silent"
	// cutRefuses refuses new connections. Existing ones work.
	cutRefuses cutMode = "new connections are refused"
	// cutAcceptsAndResets accepts new connections and resets them, and existing ones, at their first bytes.
	cutAcceptsAndResets cutMode = "connections are accepted and reset"
	// cutAcceptsInSilence accepts new connections, and delivers nothing on them and on existing ones.
	cutAcceptsInSilence cutMode = "connections are accepted and silent"
)

// accepts reports whether something between the VM and the servers accepts connections during the cut.
func (mode cutMode) accepts() bool {
	return mode == cutAcceptsAndResets || mode == cutAcceptsInSilence
}

// requests is the number of requests of a test, more where a VM takes longer to see that it is cut off.
func (mode cutMode) requests() int {
	if mode == cutAcceptsInSilence {
		return 150
	}
	return 60
}

var (
	errCutRefused = errors.Wrap(syscall.ECONNREFUSED, "by the cut")
	errCutReset   = errors.New("connection reset by the cut")
)

// refusalTime is the time until a new connection is refused.
const refusalTime = time.Millisecond

// serverPrefix is the prefix of the addresses of servers.
const serverPrefix = "10.0.2."

// cutNetwork is the network of one VM, whose path to a part of the addresses can be cut.
type cutNetwork struct {
	network.Network

	mu sync.Mutex
	// cut is closed when the cut ends, and nil without a cut.
	cut    chan struct{}
	mode   cutMode
	prefix string
	conns  map[*cutConn]bool
}

func newCutNetwork(inner network.Network) *cutNetwork {
	return &cutNetwork{Network: inner, conns: make(map[*cutConn]bool)}
}

// begin starts a cut from the addresses with a prefix.
func (cutnetwork *cutNetwork) begin(mode cutMode, prefix string) {
	cutnetwork.mu.Lock()
	defer cutnetwork.mu.Unlock()
	cutnetwork.cut, cutnetwork.mode, cutnetwork.prefix = make(chan struct{}), mode, prefix
	if mode != cutResets {
		return
	}
	for conn := range cutnetwork.conns {
		if strings.HasPrefix(conn.address, prefix) {
			_ = conn.Conn.Close()
		}
	}
}

// end ends the cut.
func (cutnetwork *cutNetwork) end() {
	cutnetwork.mu.Lock()
	defer cutnetwork.mu.Unlock()
	close(cutnetwork.cut)
	cutnetwork.cut = nil
}

// cutFrom returns the mode of the cut from an address, and a channel that is closed when it ends. The channel is nil without a cut.
func (cutnetwork *cutNetwork) cutFrom(address string) (cutMode, chan struct{}) {
	cutnetwork.mu.Lock()
	defer cutnetwork.mu.Unlock()
	if cutnetwork.cut == nil || !strings.HasPrefix(address, cutnetwork.prefix) {
		return "", nil
	}
	return cutnetwork.mode, cutnetwork.cut
}

// Dial implements network.Network.
func (cutnetwork *cutNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, network.DefaultSettings().DialTimeout)
	defer cancel()
	if mode, ended := cutnetwork.cutFrom(address); ended != nil && !mode.accepts() {
		if mode != cutSilences {
			time.Sleep(refusalTime)
			return nil, errCutRefused
		}
		<-bounded.Done()
		return nil, errors.WithStack(bounded.Err())
	}
	inner, err := cutnetwork.Network.Dial(bounded, address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	conn := &cutConn{Conn: inner, network: cutnetwork, address: address, closed: make(chan struct{})}
	cutnetwork.mu.Lock()
	defer cutnetwork.mu.Unlock()
	cutnetwork.conns[conn] = true
	return conn, nil
}

// cutConn is a connection of a cutNetwork. One that was written to while it was silent stays silent.
type cutConn struct {
	net.Conn

	network *cutNetwork
	address string
	closed  chan struct{}
	once    sync.Once
	mu      sync.Mutex
	lost    bool
}

// Read implements net.Conn. What arrives during a silent cut is returned when it ends.
func (cutconn *cutConn) Read(buffer []byte) (int, error) {
	count, err := cutconn.Conn.Read(buffer)
	mode, ended := cutconn.network.cutFrom(cutconn.address)
	switch {
	case ended != nil && (mode == cutResets || mode == cutAcceptsAndResets):
		return 0, errCutReset
	case ended == nil && !cutconn.isLost(), ended != nil && mode == cutRefuses:
		return count, err //nolint:wrapcheck // callers compare with io.EOF
	case cutconn.isLost():
		<-cutconn.closed
		return 0, net.ErrClosed
	}
	select {
	case <-ended:
		return count, err //nolint:wrapcheck // callers compare with io.EOF
	case <-cutconn.closed:
		return 0, net.ErrClosed
	}
}

// Write implements net.Conn. It succeeds during a silent cut, since the bytes fit into the buffer of the socket.
func (cutconn *cutConn) Write(data []byte) (int, error) {
	mode, ended := cutconn.network.cutFrom(cutconn.address)
	if ended != nil && mode == cutAcceptsAndResets {
		_ = cutconn.Conn.Close() // unblocks the reader
		return len(data), nil
	}
	if (ended != nil && (mode == cutSilences || mode == cutAcceptsInSilence)) || cutconn.isLost() {
		cutconn.mu.Lock()
		defer cutconn.mu.Unlock()
		cutconn.lost = true
		return len(data), nil
	}
	return cutconn.Conn.Write(data) //nolint:wrapcheck // the error is that of the connection
}

func (cutconn *cutConn) isLost() bool {
	cutconn.mu.Lock()
	defer cutconn.mu.Unlock()
	return cutconn.lost
}

// Close implements net.Conn.
func (cutconn *cutConn) Close() error {
	cutconn.once.Do(func() {
		close(cutconn.closed)
		cutconn.network.mu.Lock()
		defer cutconn.network.mu.Unlock()
		delete(cutconn.network.conns, cutconn)
	})
	return cutconn.Conn.Close() //nolint:wrapcheck // the error is that of the connection
}
