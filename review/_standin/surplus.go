package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// playSurplus checks TWICE and REFUSED: a request that cannot be repeated runs more than once, or gets 503 although it
// ran. Two servers are full when a request arrives for the first time, and run it when it comes again. The disruption
// is a surplus copy of the refusal that arrives late, in the place where the next answer is due.
func playSurplus(world *world) (int, error) {
	const requests = 8 // each is sent to three servers, which is within the retry budget
	respond := func(server *server, exchange exchange) bool {
		if exchange.atServer == 1 {
			server.record.add("server %s: refuses request %s with 503 and Not-Executed", server.id, exchange.id)
			server.writeRefusal(exchange.conn, exchange.id)
			return true
		}
		if hasTrouble() && exchange.previous != "" {
			server.record.add("server %s: sends its earlier answer, to request %s, once more", server.id, exchange.previous)
			server.writeRefusal(exchange.conn, exchange.previous)
		}
		server.run(exchange.id)
		time.Sleep(20 * time.Millisecond)
		server.writeWhole(exchange.conn, exchange.id)
		return true
	}
	var servers []*server
	for number := range 2 {
		server, err := startServer(world, number+1, respond)
		if err != nil {
			return 0, err
		}
		servers = append(servers, server)
	}
	if err := world.startGateways(2); err != nil {
		return 0, err
	}
	broken, succeeded := 0, 0
	for number := range requests {
		id := fmt.Sprintf("%016x", 0x5a43c5ae416b0000+uint64(number))
		got := send(world, 1, http.MethodPost, pathUnsafe+"7", id)
		time.Sleep(200 * time.Millisecond) // lets late runs be counted
		runs := 0
		for _, server := range servers {
			runs += server.runsOf(id)
		}
		if got.err == nil && got.status == http.StatusOK {
			succeeded++
		}
		switch {
		case runs > 1:
			broken++
			world.record.add("TWICE: request %s, which cannot be repeated, ran %d times", id, runs)
		case runs == 1 && got.err == nil && got.status == http.StatusServiceUnavailable:
			broken++
			world.record.add("REFUSED: request %s got 503 and ran", id)
		}
	}
	world.record.add("%d of %d requests got a success, %d broke the rule", succeeded, requests, broken)
	if succeeded == 0 || (!hasTrouble() && succeeded < requests) {
		return 0, errors.New("requests were not served")
	}
	return broken, nil
}
