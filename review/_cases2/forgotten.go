package main

import (
	"sync"
	"time"
)

// forgottenConnections polls a status while half of the servers forget connections that rested, kills all processes later, and
// checks RECOVER.
func forgottenConnections(record string, trouble bool) int {
	const (
		servers    = 4
		calm       = 18 * time.Second
		forgetEnd  = calm + 44*time.Second
		forgetFor  = 5 * time.Second
		pause      = 500 * time.Millisecond
		killAt     = forgetEnd + 2*time.Second + forgetFor
		recoverFor = 12 * time.Second
		trafficEnd = killAt + 32*time.Second
	)
	world, err := newWorld(record)
	if err != nil {
		return 2
	}
	defer world.close()
	if !world.startStatusService(servers, nil) {
		return 2
	}
	stop := make(chan struct{})
	defer close(stop)
	go world.watch(stop)
	time.Sleep(2 * time.Second)

	start := time.Now()
	var events sync.WaitGroup
	events.Go(func() {
		time.Sleep(calm)
		for time.Since(start) < forgetEnd {
			// The other half gets no requests at so little load, so that the disruption would go unnoticed.
			for _, server := range world.servers[servers/2:] {
				server.forgets.Store(trouble)
				world.log("server %s forgets connections that rested 300 ms: %v", server.id, trouble)
			}
			time.Sleep(forgetFor)
			for _, server := range world.servers {
				server.forgets.Store(false)
			}
			world.log("no server forgets connections")
			time.Sleep(pause)
		}
		time.Sleep(killAt - time.Since(start))
		world.killAll(300 * time.Millisecond)
	})
	tally := newTally(start, killAt, killAt+time.Second+recoverFor)
	world.traffic(4, start.Add(trafficEnd), 2*time.Second, tally, func() call {
		return call{method: "GET", path: "/lohu930/status", deadline: 4 * time.Second, safe: true}
	})
	events.Wait()
	return tally.recovered(world)
}
