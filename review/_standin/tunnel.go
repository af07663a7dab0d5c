package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// How the traffic and the disruptions of playTunnel are measured out.
const (
	tunnelServers = 3
	tunnelWaves   = 3
	tunnelBreaks  = 10 // one answer in as many is reset halfway
	tunnelPause   = 30 * time.Millisecond
	waveInterval  = 6 * time.Second
	crashLength   = 3 * time.Second
)

// playTunnel checks MIXED: a success whose body is not the server's whole body. All servers answer without a length. The
// disruption is that two servers of three crash and come back, so that the machine that takes the requests sometimes
// reaches the others through the other machine, and that servers reset some of their answers halfway.
func playTunnel(world *world) (int, error) {
	respond := func(server *server, exchange exchange) bool {
		server.run(exchange.id)
		answer := body(exchange.id)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
			exchange.id, server.id, exchange.id)
		if !hasTrouble() || rand.IntN(tunnelBreaks) > 0 {
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
	var servers []*server
	for number := range tunnelServers {
		server, err := startServer(world, number+1, respond)
		if err != nil {
			return 0, err
		}
		servers = append(servers, server)
	}
	if err := world.startGateways(2); err != nil {
		return 0, err
	}
	tally := &tally{world: world}
	preferred, err := tally.findPreferred(servers)
	if err != nil {
		return 0, err
	}
	for range tunnelWaves {
		if hasTrouble() {
			crash(preferred...)
		}
		tally.sendFor(crashLength)
		if hasTrouble() {
			if err := comeBack(preferred...); err != nil {
				return 0, err
			}
		}
		tally.sendFor(waveInterval - crashLength)
	}
	world.record.add("%d of %d requests got a success, %d of them broke the rule", tally.succeeded, tally.sent, tally.broken)
	if tally.succeeded == 0 || (!hasTrouble() && tally.succeeded < tally.sent) {
		return 0, errors.New("requests were not served")
	}
	return tally.broken, nil
}

// crash makes servers refuse new connections.
func crash(servers ...*server) {
	for _, server := range servers {
		server.record.add("server %s crashes", server.id)
		server.close()
	}
}

// comeBack starts servers again.
func comeBack(servers ...*server) error {
	for _, server := range servers {
		if err := server.open(); err != nil {
			return err
		}
		server.record.add("server %s is back", server.id)
	}
	return nil
}

// tally counts the requests of one client that sends one after the other.
type tally struct {
	world                   *world
	sent, succeeded, broken int
}

// findPreferred returns the two servers that the gateways prefer while nothing else runs.
func (tally *tally) findPreferred(servers []*server) ([]*server, error) {
	first := tally.busiest(servers)
	if !hasTrouble() {
		return nil, nil
	}
	crash(first)
	second := tally.busiest(servers)
	if err := comeBack(first); err != nil {
		return nil, err
	}
	if first == second {
		return nil, errors.New("a server that crashed got all requests")
	}
	return []*server{first, second}, nil
}

// busiest returns the server that runs most of the next requests.
func (tally *tally) busiest(servers []*server) *server {
	before := make([]int, len(servers))
	for number, server := range servers {
		before[number] = server.allRuns()
	}
	tally.sendFor(300 * time.Millisecond)
	best, most := servers[0], 0
	for number, server := range servers {
		if ran := server.allRuns() - before[number]; ran > most {
			best, most = server, ran
		}
	}
	return best
}

// sendFor sends one request after the other for a time.
func (tally *tally) sendFor(duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(tunnelPause) {
		id := fmt.Sprintf("9c41d07b%08x", tally.sent)
		got := send(tally.world, 1, http.MethodGet, fmt.Sprintf("%s%d", pathSafe, tally.sent), id)
		tally.add(id, got)
	}
}

func (tally *tally) add(id string, got answer) {
	tally.sent++
	if got.err != nil || got.status != http.StatusOK {
		return
	}
	tally.succeeded++
	if got.body != body(id) || !got.sealed {
		tally.broken++
		tally.world.record.add("MIXED: request %s got a success with %d of the server's %d bytes", id, len(got.body), len(body(id)))
	}
}
