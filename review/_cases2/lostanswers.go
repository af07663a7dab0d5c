package main

import (
	"sync"
	"time"
)

// lostAnswers polls a status while answers of servers are lost, kills all processes later, and checks RECOVER.
func lostAnswers(record string, trouble bool) int {
	const (
		servers    = 5
		calm       = 15 * time.Second
		lossFor    = 4 * time.Second
		lossEvery  = 4500 * time.Millisecond
		lossesEnd  = calm + 40*time.Second
		killAt     = lossesEnd + 2*time.Second
		recoverFor = 12 * time.Second
		trafficEnd = killAt + 38*time.Second
	)
	world, err := newWorld(record)
	if err != nil {
		return 2
	}
	defer world.close()
	var mu sync.Mutex
	losing := make(map[int]bool)
	runs := make(map[int]int)
	lose := func(server int) bool {
		mu.Lock()
		defer mu.Unlock()
		if !losing[server] {
			return false
		}
		runs[server]++
		return runs[server]%5 == 1 || runs[server]%5 == 3 // two of five
	}
	if !world.startStatusService(servers, lose) {
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
		for trouble && time.Since(start) < lossesEnd {
			mu.Lock()
			for i := range 3 {
				losing[[]int{0, 3, 4}[i]] = true
			}
			world.log("servers %v lose two of five answers for %v", losing, lossFor)
			mu.Unlock()
			time.Sleep(lossFor)
			mu.Lock()
			clear(losing)
			mu.Unlock()
			time.Sleep(lossEvery - lossFor)
		}
		time.Sleep(killAt - time.Since(start))
		world.killAll(300 * time.Millisecond)
	})
	tally := newTally(start, killAt, killAt+time.Second+recoverFor)
	world.traffic(4, start.Add(trafficEnd), 1400*time.Millisecond, tally, func() call {
		return call{method: "GET", path: "/lohu930/status", deadline: 4 * time.Second, safe: true}
	})
	events.Wait()
	return tally.recovered(world)
}
