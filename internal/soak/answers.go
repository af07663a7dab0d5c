package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// lateCopiesRefused is the fraction of requests that servers refuse in KindLateCopies, so many that requests come to the same server
// again.
const lateCopiesRefused = 0.7

// Parameters of KindVMCutAnswers.
const (
	// resetFraction is the fraction of answers that the servers reset.
	resetFraction = 0.1
	// killInterval is the time between kills of other VMs.
	killInterval = 1200 * time.Millisecond
)

// disruptAnswers disturbs the answers of all servers.
func (environment *environment) disruptAnswers(ctx context.Context, event Event) {
	switch event.Kind {
	case KindVMCutAnswers:
		environment.cutAnswers(ctx, event)
	case KindLostAnswers:
		environment.loseAnswers(ctx, event)
	default:
		environment.setAllFaults(platformserver.Faults{Refused: lateCopiesRefused, RefusalStatuses: refusalStatuses(), LateCopies: true})
		wait.For(ctx, event.For)
		environment.setAllFaults(platformserver.Faults{})
	}
}

// cutAnswers cuts a VM off from all servers, whose answers state no length and are partly reset, and kills the other VMs in turn.
func (environment *environment) cutAnswers(ctx context.Context, event Event) {
	cut := event.Target % len(environment.vms)
	environment.setAllFaults(platformserver.Faults{Unframed: 1, Truncated: resetFraction})
	ctx, cancel := context.WithTimeout(ctx, event.For)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() {
		environment.cutFromServers(ctx, Event{Kind: KindVMCutReset, For: event.For}, environment.ip(1, cut))
	})
	for number := 1; wait.For(ctx, killInterval); number++ {
		if other := number % len(environment.vms); other != cut {
			environment.vms[other].process.signal(syscall.SIGKILL)
		}
	}
	running.Wait()
	environment.setAllFaults(platformserver.Faults{})
}

// setAllFaults sets the faults of all servers.
func (environment *environment) setAllFaults(faults platformserver.Faults) {
	for _, backend := range environment.backends {
		backend.setFaults(faults)
	}
}

// refusalStatuses returns statuses with which servers refuse requests.
func refusalStatuses() []int {
	return []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}
}
