package soak

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// mode is how a proxy treats connections.
type mode int

const (
	modePass mode = iota
	// modeDelay holds all bytes up.
	modeDelay
	// modeSilent passes nothing on, modeOneWay nothing of what comes back.
	modeSilent
	modeOneWay
	// modeReset resets all connections, also new ones.
	modeReset
)

const (
	// proxyDelay is what modeDelay adds to each read.
	proxyDelay = 150 * time.Millisecond
	// proxyBuffer is the most that is passed on at once.
	proxyBuffer = 16 << 10
	proxyDial   = time.Second
)

// proxy passes connections on over loopback, and misbehaves when told to.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	// conns has the open connections, and whether each is silent for good.
	conns map[net.Conn]bool
}

// newProxy returns a proxy at listen for target.
func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", listen) //nolint:noctx // closed by close
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	proxy := &proxy{
		listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
	go proxy.serve()
	return proxy, nil
}

func (proxy *proxy) address() string {
	return proxy.listener.Addr().String()
}

func (proxy *proxy) close() {
	_ = proxy.listener.Close() // nothing is left to lose
	proxy.set(modeReset)
}

// set changes how connections are treated from now on.
func (proxy *proxy) set(mode mode) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.mode = mode
	close(proxy.changed)
	proxy.changed = make(chan struct{})
	if mode == modeReset {
		for conn := range proxy.conns {
			reset(conn)
		}
	}
}

// silence makes the connections that are open now silent for good. New ones work.
func (proxy *proxy) silence() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		proxy.conns[conn] = true
	}
}

// silent reports whether a connection is silent for good.
func (proxy *proxy) silent(conn net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.conns[conn]
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // else it is closed in order
	}
	_ = conn.Close() // nothing is left to lose
}

func (proxy *proxy) serve() {
	for {
		conn, err := proxy.listener.Accept()
		if err != nil {
			return // closed
		}
		go proxy.pass(conn)
	}
}

// keep notes a connection. It reports false, and resets it, in modeReset.
func (proxy *proxy) keep(conn net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.mode == modeReset {
		reset(conn)
		return false
	}
	proxy.conns[conn] = false
	return true
}

func (proxy *proxy) drop(conn net.Conn) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.conns, conn)
	_ = conn.Close() // it may be closed already
}

func (proxy *proxy) pass(front net.Conn) {
	if !proxy.keep(front) {
		return
	}
	defer proxy.drop(front)
	back, err := net.DialTimeout("tcp4", proxy.target, proxyDial) //nolint:noctx // bounded
	if err != nil {
		reset(front)
		return
	}
	if !proxy.keep(back) {
		return
	}
	defer proxy.drop(back)
	done := make(chan struct{})
	go func() {
		defer close(done)
		proxy.copy(front, back, true)
		_ = front.Close() // the other direction ends
	}()
	proxy.copy(back, front, false)
	_ = back.Close() // the other direction ends
	<-done
}

// copy passes bytes on in one direction until either end is closed.
func (proxy *proxy) copy(to, from net.Conn, backwards bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			proxy.hold(backwards)
			if proxy.silent(from) {
				continue // read on, so that its peer sees no full window
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits while the mode lets nothing through in that direction.
func (proxy *proxy) hold(backwards bool) {
	for {
		proxy.mu.Lock()
		mode, changed := proxy.mode, proxy.changed
		proxy.mu.Unlock()
		switch {
		case mode == modeDelay:
			time.Sleep(proxyDelay)
			return
		case mode == modeSilent, mode == modeOneWay && backwards:
			<-changed
		default:
			return
		}
	}
}
