package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections closes callers' connections that have no request for too
// long. The limit may change while the process runs, which the one of
// net/http may not.
type idleConnections struct {
	now func() time.Time

	mu sync.Mutex
	// since has when each connection without a request became so.
	since map[net.Conn]time.Time
}

func newIdleConnections(now func() time.Time) *idleConnections {
	return &idleConnections{now: now, since: make(map[net.Conn]time.Time)}
}

// changed notes the state of a connection.
func (idleconnections *idleConnections) changed(conn net.Conn, state http.ConnState) {
	idleconnections.mu.Lock()
	defer idleconnections.mu.Unlock()
	if state == http.StateIdle {
		idleconnections.since[conn] = idleconnections.now()
		return
	}
	delete(idleconnections.since, conn)
}

// close closes connections that were idle for longer than limit.
func (idleconnections *idleConnections) close(limit time.Duration) {
	if limit <= 0 {
		return
	}
	before := idleconnections.now().Add(-limit)
	for _, conn := range idleconnections.idleBefore(before) {
		_ = conn.Close() // it may be closed already
	}
}

func (idleconnections *idleConnections) idleBefore(before time.Time) []net.Conn {
	idleconnections.mu.Lock()
	defer idleconnections.mu.Unlock()
	var found []net.Conn
	for conn, since := range idleconnections.since {
		if since.Before(before) {
			found = append(found, conn)
		}
	}
	return found
}
