package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections closes callers' connections that have had no request for too long. net/http has
// such a timeout too, but that cannot change while the server runs. It is safe for concurrent use.
type idleConnections struct {
	now func() time.Time

	mu sync.Mutex
	// idleSince has the time at which each connection without a request became idle.
	idleSince map[net.Conn]time.Time
}

func newIdleConnections(now func() time.Time) *idleConnections {
	return &idleConnections{now: now, idleSince: make(map[net.Conn]time.Time)}
}

// connStateChanged records the state of a connection; it is a hook for http.Server.ConnState.
func (idleconnections *idleConnections) connStateChanged(conn net.Conn, state http.ConnState) {
	idleconnections.mu.Lock()
	defer idleconnections.mu.Unlock()
	if state == http.StateIdle {
		idleconnections.idleSince[conn] = idleconnections.now()
		return
	}
	delete(idleconnections.idleSince, conn)
}

// close closes connections that have been idle for longer than limit. Zero means no limit.
func (idleconnections *idleConnections) close(limit time.Duration) {
	if limit <= 0 {
		return
	}
	before := idleconnections.now().Add(-limit)
	for _, conn := range idleconnections.idleBefore(before) {
		_ = conn.Close() // it may already be closed
	}
}

func (idleconnections *idleConnections) idleBefore(before time.Time) []net.Conn {
	idleconnections.mu.Lock()
	defer idleconnections.mu.Unlock()
	var idle []net.Conn
	for conn, idleSince := range idleconnections.idleSince {
		if idleSince.Before(before) {
			idle = append(idle, conn)
		}
	}
	return idle
}
