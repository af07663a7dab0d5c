package tunnel

import (
	"io"
	"net"
	"time"
)

// Values of SetLinger.
const (
	// lingerReset makes the system reset the connection when it is closed, also by the death of this process.
	lingerReset = 0
	// lingerDefault makes the system end the connection regularly.
	lingerDefault = -1
)

// resetDelay is how long the bytes before a reset may take to arrive at the other VM. A reset discards those that have not.
const resetDelay = 50 * time.Millisecond

// copyUnframed sends what it reads from a server to a VM of the version without frames, until the server's side ends. That VM takes
// the end of the connection for the server's, so it is reset unless the server's side ended regularly.
func copyUnframed(toPeer net.Conn, fromServer io.Reader) {
	setLinger(toPeer, lingerReset)
	if err := copyAll(toPeer, fromServer); err != nil {
		time.Sleep(resetDelay)
		_ = toPeer.Close() // it may be closed already
		return
	}
	setLinger(toPeer, lingerDefault)
}

// setLinger sets what the system does when a connection is closed, where the connection can do that.
func setLinger(conn net.Conn, seconds int) {
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(seconds) // fails on a closed connection only
	}
}
