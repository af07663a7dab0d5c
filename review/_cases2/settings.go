package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// settingsChange changes a bound in the settings files, kills all processes later, and checks RECOVER. With trouble the new
// figure is a fraction.
func settingsChange(record string, trouble bool) int {
	const (
		changeAt   = 6 * time.Second
		killAt     = 14 * time.Second
		recoverFor = 12 * time.Second
		trafficEnd = 42 * time.Second
	)
	world, err := newWorld(record)
	if err != nil {
		return 2
	}
	defer world.close()
	if !world.startStatusService(3, nil) {
		return 2
	}
	stop := make(chan struct{})
	defer close(stop)
	go world.watch(stop)
	time.Sleep(2 * time.Second)

	figure := "4500"
	if trouble {
		figure = "4500.5"
	}
	start := time.Now()
	var events sync.WaitGroup
	events.Go(func() {
		time.Sleep(changeAt)
		for _, vm := range world.vms {
			vm.rewriteSettings(`"revoke_ms":5000`, `"revoke_ms":`+figure)
			_ = vm.process.Process.Signal(syscall.SIGHUP)
			world.log("platform: settings file of %s has revoke_ms %s now; SIGHUP", vm.name, figure)
		}
		time.Sleep(killAt - changeAt)
		world.killAll(300 * time.Millisecond)
	})
	tally := newTally(start, killAt, killAt+time.Second+recoverFor)
	world.traffic(4, start.Add(trafficEnd), time.Second, tally, func() call {
		return call{method: "GET", path: "/lohu930/" + newID(), deadline: 4 * time.Second, safe: true}
	})
	events.Wait()
	return tally.recovered(world)
}

// jitter returns a random time up to a limit.
func jitter(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) }
