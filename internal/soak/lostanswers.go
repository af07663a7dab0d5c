package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// pollIDPrefix is the prefix of the IDs of polls, and the end of their target: they are all alike.
const pollIDPrefix = "poll"

// Parameters of KindLostAnswers.
const (
	// pollInterval is the time between two polls.
	pollInterval = 700 * time.Millisecond
	// pollTimeAfter is for how long polls go on after all VMs were killed.
	pollTimeAfter = 4 * time.Second
	// lostAnswerFraction is the fraction of answers that are lost in each of three ways.
	lostAnswerFraction = 0.25
	// forgottenFraction is the fraction of connections that servers forget.
	forgottenFraction = 0.4
)

// loseAnswers polls while servers lose answers and forget connections, kills all VMs, and polls on while servers are sound.
func (environment *environment) loseAnswers(ctx context.Context, event Event) {
	ctx, cancel := context.WithTimeout(ctx, event.For+pollTimeAfter)
	defer cancel()
	var polls sync.WaitGroup
	polls.Go(func() { environment.poll(ctx, &polls) })
	environment.setAllFaults(platformserver.Faults{
		LostResponses: lostAnswerFraction, Truncated: lostAnswerFraction, Garbled: lostAnswerFraction, Forgotten: forgottenFraction,
	})
	wait.For(ctx, event.For)
	environment.setAllFaults(platformserver.Faults{})
	for _, vm := range environment.vms {
		vm.process.signal(syscall.SIGKILL)
	}
	polls.Wait()
}

// poll sends polls to the VMs in turn until ctx is done. Each of them is sent in a goroutine of its own.
func (environment *environment) poll(ctx context.Context, polls *sync.WaitGroup) {
	for number := 0; ctx.Err() == nil; number++ {
		polls.Go(func() {
			caller := newCaller(environment, len(environment.vms)+number)
			defer caller.client.CloseIdleConnections()
			vm := environment.vms[number%len(environment.vms)]
			request := newRequest(vm, fmt.Sprintf("%s-%d", pollIDPrefix, number), permanentKey)
			request.setPlain(http.MethodGet, routeSafe)
			environment.polls.add(caller.send(request))
		})
		wait.For(ctx, pollInterval)
	}
}
