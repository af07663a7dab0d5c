package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// playTunnel checks MIXED: a success whose body is not the server's whole body. Three servers answer without a length. The
// disruption is that two of them crash, so that the machine that takes the requests reaches the third one through the
// other machine, and that the third one resets some of its answers halfway.
func playTunnel(world *world) (int, error) {
	const requests = 60
	breaks := make(map[string]bool)
	respond := func(server *server, exchange exchange) bool {
		server.run(exchange.id)
		answer := body(exchange.id)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
			exchange.id, server.id, exchange.id)
		if !hasTrouble() || !breaks[exchange.id] {
			server.record.add("server %s: answers request %s with 200, without a length, and all of its %d bytes", server.id, exchange.id, len(answer))
			server.write(exchange.conn, head+answer)
			return false
		}
		server.write(exchange.conn, head+answer[:len(answer)/2])
		time.Sleep(30 * time.Millisecond) // lets the bytes arrive before the reset
		server.record.add("server %s: answers request %s with 200, without a length, and resets after %d of %d bytes", server.id, exchange.id, len(answer)/2, len(answer))
		if tcp, ok := exchange.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	ids := make([]string, 0, requests)
	for number := range requests {
		id := fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(number))
		ids = append(ids, id)
		breaks[id] = number%3 == 2
	}
	var servers []*server
	for number := range 3 {
		server, err := startServer(world, number+1, respond)
		if err != nil {
			return 0, err
		}
		servers = append(servers, server)
	}
	if err := world.startGateways(2); err != nil {
		return 0, err
	}
	if hasTrouble() {
		for _, server := range servers[1:] {
			world.record.add("server %s crashes", server.id)
			server.close()
		}
	}
	broken, succeeded := 0, 0
	for _, id := range ids {
		got := send(world, 1, http.MethodGet, pathSafe+"7", id)
		if got.err != nil || got.status != http.StatusOK {
			continue
		}
		succeeded++
		if got.body != body(id) || !got.sealed {
			broken++
			world.record.add("MIXED: request %s got a success with %d of the server's %d bytes", id, len(got.body), len(body(id)))
		}
	}
	world.record.add("%d of %d requests got a success, %d of them broke the rule", succeeded, requests, broken)
	if succeeded == 0 || (!hasTrouble() && succeeded < requests) {
		return 0, errors.New("requests were not served")
	}
	return broken, nil
}
