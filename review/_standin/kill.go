package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"
)

// How the traffic of playKill is measured out.
const (
	killWaves = 8
	// killWork is the time between the two halves of an answer.
	killWork = 120 * time.Millisecond
	killPoll = 5 * time.Millisecond
)

// playKill checks MIXED: a success whose body is not the server's whole body. All servers answer without a length. The
// disruption is that two servers of three crash, so that the machine that takes the requests sometimes reaches the third
// one through the other machine, and that the process of the other machine is killed while answers pass. All servers
// answer whole and right.
func playKill(world *world) (int, error) {
	respond := func(server *server, exchange exchange) bool {
		server.run(exchange.id)
		answer := body(exchange.id)
		server.write(exchange.conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s",
			exchange.id, server.id, exchange.id, answer[:len(answer)/2]))
		time.Sleep(killWork)
		server.record.add("server %s: answers request %s with 200, without a length, and all of its %d bytes", server.id, exchange.id, len(answer))
		server.write(exchange.conn, answer[len(answer)/2:])
		return false
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
	tally := &tally{world: world}
	preferred, err := tally.findPreferred(servers)
	if err != nil {
		return 0, err
	}
	killed := make(chan struct{})
	if hasTrouble() {
		go world.killOnTunnel(2, killed)
	}
	for wave := 0; wave < killWaves && !isClosed(killed); wave++ {
		tally.sendFor(waveInterval)
		if hasTrouble() {
			crash(preferred...)
		}
		tally.sendFor(crashLength)
		if hasTrouble() {
			if err := comeBack(preferred...); err != nil {
				return 0, err
			}
		}
	}
	world.record.add("%d of %d requests got a success, %d of them broke the rule", tally.succeeded, tally.sent, tally.broken)
	if hasTrouble() && !isClosed(killed) {
		return 0, errors.New("no requests were led through the other machine")
	}
	if tally.succeeded == 0 || (!hasTrouble() && tally.succeeded < tally.sent) {
		return 0, errors.New("requests were not served")
	}
	return tally.broken, nil
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// tunnelsServed finds the metric of a gateway that counts the connections that it led to servers for others.
var tunnelsServed = regexp.MustCompile(`(?m)^mastwinch_tunnels_served_total\{status="200"\} (\d+)$`)

// killOnTunnel kills the process of a machine as soon as it leads a connection to a server for another one. The machine's
// figures only tell when. killed is closed then.
func (world *world) killOnTunnel(number int, killed chan<- struct{}) {
	first, err := world.tunnels(number)
	for count := first; err == nil; count, err = world.tunnels(number) {
		if count > first {
			world.record.add("machine %d: its process is killed", number)
			_ = world.processes[number-1].Process.Kill()
			close(killed)
			return
		}
		time.Sleep(killPoll)
	}
}

// tunnels returns how many connections a gateway has led to servers for others.
func (world *world) tunnels(number int) (int, error) {
	response, err := http.Get("http://" + world.address(1, number, portReady) + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	found := tunnelsServed.FindSubmatch(data)
	if found == nil {
		return 0, errors.New("no such figure")
	}
	return strconv.Atoi(string(found[1]))
}
