package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// startStatusService starts three VMs and a plain service with servers that answer after 60 ms, unless lose returns true for
// a request that a server has run: then its answer is lost by a reset. It reports whether the VMs are ready.
func (world *world) startStatusService(servers int, lose func(server int) bool) bool {
	world.configure(1, []object{{
		"name": "r-2yhvz3p", "host": "ficu95.example", "path_prefix": "/lohu930/", "route_kind": "safe", "timeout_ms": 4000, "target_latency_ms": 300,
		"priority": 1, "service": "wuno96b", "max_attempts": 2, "allow_anonymous": false,
	}}, []object{{"name": "wuno96b", "health_path": "/health", "max_connections": 110}})
	for number := range servers {
		world.addServer(number+1, "wuno96b", 6, func(writer http.ResponseWriter, request *http.Request) {
			time.Sleep(60 * time.Millisecond)
			writer.Header().Set("Keep-Alive", "timeout=15")
			if lose != nil && lose(number) {
				world.log("server %d: the answer to %s is lost", number+1, request.Header.Get("Request-Id"))
				reset(writer)
				return
			}
			fmt.Fprint(writer, "status: printed")
		})
	}
	for number := range 3 {
		world.addVM(number+1, 284, nil)
	}
	for _, vm := range world.vms {
		if !vm.awaitReady(15 * time.Second) {
			return false
		}
		vm.rewriteSettings(`"bootstrap":true`, `"bootstrap":false`) // true at the first start only
	}
	return true
}

// killAll kills all processes at once. The platform starts each again after a pause, also when it ends by itself.
func (world *world) killAll(pause time.Duration) {
	for _, vm := range world.vms {
		_ = vm.process.Process.Kill() // it may have ended
	}
	for _, vm := range world.vms {
		<-world.ended(vm)
	}
	world.log("final fault: all processes were killed")
	for _, vm := range world.vms {
		go world.supervise(vm, pause)
	}
}

// supervise starts the process of a VM whenever it has ended, until the world is closed.
func (world *world) supervise(vm *vm, pause time.Duration) {
	for {
		time.Sleep(pause)
		if !world.startVM(vm) {
			return
		}
		<-world.ended(vm)
		pause = 2 * time.Second
	}
}

// traffic sends requests of some clients until a time, each client one about every interval times the number of clients.
func (world *world) traffic(clients int, until time.Time, interval time.Duration, tally *tally, next func() call) {
	var running sync.WaitGroup
	period := time.Duration(clients) * interval
	for range clients {
		running.Go(func() {
			time.Sleep(jitter(period))
			for time.Now().Before(until) {
				tally.add(world.send(next()))
				time.Sleep(min(period*4/5+jitter(period*2/5), time.Until(until)))
			}
		})
	}
	running.Wait()
}

// tally counts the client attempts before the final fault, and those sent more than the bound after it.
type tally struct {
	start       time.Time
	fault, from time.Duration

	mu                                        sync.Mutex
	before, beforeServed, recovery, nowServed int
}

func newTally(start time.Time, fault, from time.Duration) *tally {
	return &tally{start: start, fault: fault, from: from}
}

func (tally *tally) add(attempts []attempt) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	for _, attempt := range attempts {
		served := 0
		if attempt.served() {
			served = 1
		}
		switch at := attempt.sentAt.Sub(tally.start); {
		case at < tally.fault:
			tally.before++
			tally.beforeServed += served
		case at > tally.from:
			tally.recovery++
			tally.nowServed += served
		}
	}
}

// recovered checks RECOVER and returns the exit code.
func (tally *tally) recovered(world *world) int {
	world.log("RECOVER: %d of %d client attempts before the final fault were served, %d of %d sent more than 12 s after the machines were back",
		tally.beforeServed, tally.before, tally.nowServed, tally.recovery)
	switch {
	case 4*tally.beforeServed < tally.before || tally.recovery == 0:
		world.log("the case could not run")
		return 2
	case 4*tally.nowServed < tally.recovery:
		world.log("RECOVER is broken")
		return 1
	default:
		world.log("RECOVER held")
		return 0
	}
}
