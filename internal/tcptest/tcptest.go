// Package tcptest provides TCP servers on loopback for tests of what servers write byte by byte.
package tcptest

import (
	"context"
	"net"
	"sync/atomic"

	"gotest.tools/v3/assert"
)

// TestingT is a test, or one run of a property test.
type TestingT interface {
	assert.TestingT
	Helper()
	Context() context.Context
	Cleanup(function func())
}

// Server is a TCP server that runs a script for each connection.
type Server struct {
	listener net.Listener
	accepted atomic.Int64
}

// NewServer starts a server that runs script for each connection, and closes the connection when the script returns. nth counts
// the connections from 1. The server accepts connections until the end of the test.
func NewServer(t TestingT, script func(conn *net.TCPConn, nth int64)) *Server {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &Server{listener: listener}
	t.Cleanup(server.Close)
	go server.accept(script)
	return server
}

func (server *Server) accept(script func(conn *net.TCPConn, nth int64)) {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		nth := server.accepted.Add(1)
		go func() {
			defer func() { _ = conn.Close() }()
			script(conn.(*net.TCPConn), nth)
		}()
	}
}

// Address returns the host and port of the server.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Accepted returns how many connections the server has accepted.
func (server *Server) Accepted() int64 { return server.accepted.Load() }

// Close makes the server accept no more connections.
func (server *Server) Close() { _ = server.listener.Close() }
