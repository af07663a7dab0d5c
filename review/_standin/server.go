package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// exchange is one request that arrived at a server, and the connection that it came on.
type exchange struct {
	conn     net.Conn
	id, path string
	// onConn is the number of the request on its connection, from zero, and atServer how often the ID has arrived at
	// the server, this time included.
	onConn, atServer int
	// previous is the ID of the request before it on the connection.
	previous string
}

// server is a stand-in of a server of a plain service that writes its responses byte by byte as the case says.
type server struct {
	id      string
	address string
	// respond handles one request. It reports whether the connection stays open.
	respond func(server *server, exchange exchange) bool
	record  *record

	mu       sync.Mutex
	listener net.Listener
	// arrivals counts the arrivals by request ID, and runs the runs.
	arrivals, runs map[string]int
}

// startServer starts a server of a world at an address of its own, and lists it in the store.
func startServer(world *world, number int, respond func(*server, exchange) bool) (*server, error) {
	started := &server{
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), address: world.address(2, number, portServer), respond: respond, record: world.record,
		arrivals: make(map[string]int), runs: make(map[string]int),
	}
	if err := started.open(); err != nil {
		return nil, err
	}
	world.closers = append(world.closers, started.close)
	return started, world.list(started.id, started.address)
}

// open accepts connections.
func (server *server) open() error {
	listener, err := net.Listen("tcp4", server.address)
	if err != nil {
		return err
	}
	server.mu.Lock()
	server.listener = listener
	server.mu.Unlock()
	go server.serve(listener)
	return nil
}

// close refuses new connections, as a server that crashed does.
func (server *server) close() {
	server.mu.Lock()
	defer server.mu.Unlock()
	_ = server.listener.Close()
}

func (server *server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go server.serveConn(conn)
	}
}

func (server *server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	previous := ""
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.URL.Path == healthPath {
			server.write(conn, "HTTP/1.1 200 OK\r\nInstance-Id: "+server.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := request.Header.Get("Request-Id")
		if expected := request.Header.Get("Expect-Instance"); id == "" || (expected != "" && expected != server.id) {
			status := "421 Misdirected Request"
			if id == "" {
				status = "400 Bad Request"
			}
			server.write(conn, "HTTP/1.1 "+status+"\r\nRequest-Id: "+id+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		server.mu.Lock()
		server.arrivals[id]++
		arrived := exchange{conn: conn, id: id, path: request.URL.Path, onConn: number, atServer: server.arrivals[id], previous: previous}
		server.mu.Unlock()
		server.record.add("server %s: %s %s arrives, request %s, number %d on its connection", server.id, request.Method, request.URL.Path, id, number+1)
		if !server.respond(server, arrived) {
			return
		}
		previous = id
	}
}

// run records that a request runs.
func (server *server) run(id string) {
	server.mu.Lock()
	server.runs[id]++
	server.mu.Unlock()
	server.record.add("server %s: runs request %s", server.id, id)
}

// allRuns returns how many requests ran at the server.
func (server *server) allRuns() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.runs)
}

// runsOf returns how often a request ran at the server.
func (server *server) runsOf(id string) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.runs[id]
}

// write writes to a connection, which the other side may have closed.
func (server *server) write(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text)
}

// body returns the response body for a request.
func body(id string) string {
	text := "answer to " + id + ":"
	for len(text) < 800 {
		text += " " + id
	}
	return text
}

// writeWhole writes the whole response to a request that ran, with its length.
func (server *server) writeWhole(conn net.Conn, id string) {
	answer := body(id)
	server.record.add("server %s: answers request %s with 200 and all of its %d bytes", server.id, id, len(answer))
	server.write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		id, server.id, id, len(answer), answer))
}

// writeRefusal writes the response to a request that the server did not run since it is full.
func (server *server) writeRefusal(conn net.Conn, id string) {
	server.write(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: "+id+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}
