package main

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// forgettingListener accepts connections that a server may forget: while it does, the next thing sent on one that has rested
// is reset.
type forgettingListener struct {
	net.Listener

	forgets *atomic.Bool
	rest    time.Duration
	// reset is called for each connection that was reset.
	reset func()
}

// Accept implements net.Listener.
func (listener forgettingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &forgettableConn{TCPConn: conn.(*net.TCPConn), listener: listener}, nil
}

// forgettableConn is a connection of a forgettingListener.
type forgettableConn struct {
	*net.TCPConn

	listener forgettingListener
	mu       sync.Mutex
	// answeredAt is when the server last wrote to it, or zero.
	answeredAt time.Time
}

var errForgotten = errors.New("connection was forgotten")

// Write implements net.Conn.
func (conn *forgettableConn) Write(data []byte) (int, error) {
	count, err := conn.TCPConn.Write(data)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.answeredAt = time.Now()
	return count, err
}

// Read implements net.Conn.
func (conn *forgettableConn) Read(buffer []byte) (int, error) {
	count, err := conn.TCPConn.Read(buffer)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if count > 0 && !conn.answeredAt.IsZero() && conn.listener.forgets.Load() && time.Since(conn.answeredAt) > conn.listener.rest {
		conn.listener.reset()
		_ = conn.TCPConn.SetLinger(0)
		_ = conn.TCPConn.Close()
		return 0, errForgotten
	}
	return count, err
}
