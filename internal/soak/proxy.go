package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// mode is how a proxy handles connections.
type mode int

const (
	modePass mode = iota
	// modeDelay delays each chunk of data by proxyDelay.
	modeDelay
	// modeSilent forwards no data, and modeOneWay only data towards the target.
	modeSilent
	modeOneWay
	// modeReset resets all connections, including new ones.
	modeReset
)

const (
	// proxyDelay is what modeDelay adds to each read.
	proxyDelay = 150 * time.Millisecond
	// proxyBufferBytes bounds how much is forwarded at once.
	proxyBufferBytes = 16 << 10
	proxyDialTimeout = time.Second
)

// proxy is a TCP proxy on loopback addresses that simulates network faults according to its mode.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	// cuts has the modes of connections from single IP addresses, which go before mode.
	cuts map[string]mode
	// conns holds the open connections; true means that data from it is discarded until it closes.
	conns map[net.Conn]bool
}

// newProxy starts a proxy that listens on listen and forwards to target.
func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", listen) //nolint:noctx // closed by close
	if err != nil {
		return nil, errors.Wrap(err, "listen for proxy")
	}
	proxy := &proxy{
		listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool), cuts: make(map[string]mode),
	}
	go proxy.serve()
	return proxy, nil
}

func (proxy *proxy) address() string {
	return proxy.listener.Addr().String()
}

func (proxy *proxy) close() {
	_ = proxy.listener.Close() // an error leaves nothing to do
	proxy.setMode(modeReset)
}

// setMode changes the mode for open and new connections.
func (proxy *proxy) setMode(mode mode) {
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

// setCut changes the mode for open and new connections from an IP address. modePass leaves them to the mode of all.
func (proxy *proxy) setCut(source string, mode mode) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.cuts, source)
	if mode != modePass {
		proxy.cuts[source] = mode
	}
	close(proxy.changed)
	proxy.changed = make(chan struct{})
	for conn := range proxy.conns {
		if mode == modeReset && sourceOf(conn) == source {
			reset(conn)
		}
	}
}

// sourceOf returns the IP address that a connection comes from.
func sourceOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return "" // no TCP connection
	}
	return host
}

// modeOf returns the mode of connections from an IP address. The caller must hold mu.
func (proxy *proxy) modeOf(source string) mode {
	if mode, cut := proxy.cuts[source]; cut {
		return mode
	}
	return proxy.mode
}

// silenceOpen discards all further data of the connections that are open now. New connections work.
func (proxy *proxy) silenceOpen() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		proxy.conns[conn] = true
	}
}

// isSilenced reports whether data from a connection is discarded.
func (proxy *proxy) isSilenced(conn net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.conns[conn]
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error the connection closes with a FIN
	}
	_ = conn.Close() // an error leaves nothing to do
}

func (proxy *proxy) serve() {
	for {
		conn, err := proxy.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go proxy.forward(conn)
	}
}

// track records an open connection. In modeReset it resets the connection and returns false.
func (proxy *proxy) track(conn net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.modeOf(sourceOf(conn)) == modeReset {
		reset(conn)
		return false
	}
	proxy.conns[conn] = false
	return true
}

func (proxy *proxy) untrack(conn net.Conn) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.conns, conn)
	_ = conn.Close() // fails only if it is closed already
}

func (proxy *proxy) forward(downstream net.Conn) {
	if !proxy.track(downstream) {
		return
	}
	defer proxy.untrack(downstream)
	upstream, err := net.DialTimeout("tcp4", proxy.target, proxyDialTimeout) //nolint:noctx // bounded by its timeout
	if err != nil {
		reset(downstream)
		return
	}
	if !proxy.track(upstream) {
		return
	}
	defer proxy.untrack(upstream)
	done := make(chan struct{})
	go func() {
		defer close(done)
		end(downstream, proxy.copy(downstream, upstream, sourceOf(downstream), true))
	}()
	end(upstream, proxy.copy(upstream, downstream, sourceOf(downstream), false))
	<-done
}

// end closes a connection, regularly if the other one ended so. This ends the copy in the other direction.
func end(conn net.Conn, endedRegularly bool) {
	if endedRegularly {
		_ = conn.Close() // it may be closed already
		return
	}
	reset(conn)
}

// copy forwards data in one direction until either end is closed. It reports whether the source ended regularly and all data was
// forwarded.
func (proxy *proxy) copy(to, from net.Conn, source string, fromTarget bool) bool {
	buffer := make([]byte, proxyBufferBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			proxy.awaitMode(source, fromTarget)
			if proxy.isSilenced(from) {
				continue // keep reading, so that the sender's TCP window does not fill
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF) && !proxy.isSilenced(from)
		}
	}
}

// awaitMode blocks while the mode forwards nothing in that direction, and delays data in modeDelay.
func (proxy *proxy) awaitMode(source string, fromTarget bool) {
	for {
		proxy.mu.Lock()
		mode, changed := proxy.modeOf(source), proxy.changed
		proxy.mu.Unlock()
		switch {
		case mode == modeDelay:
			time.Sleep(proxyDelay)
			return
		case mode == modeSilent, mode == modeOneWay && fromTarget:
			<-changed
		default:
			return
		}
	}
}
