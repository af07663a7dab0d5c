package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// crashingBody is the body of the request that crashes each server that runs it, and crashingIDPrefix the prefix of its
// request IDs.
const (
	crashingBody     = "payload that no server survives"
	crashingIDPrefix = "harmful-"
)

// Times and bounds of the requests that crash servers.
const (
	// crashingInterval is the time between two such requests.
	crashingInterval = 200 * time.Millisecond
	// crashingExtraTime is how long they are sent after the end of the fault: longer than boundContact, after which all
	// VMs must have quarantined the request.
	crashingExtraTime = 4 * time.Second
	// crashRestartDelay is how long a crashed server is down.
	crashRestartDelay = 1500 * time.Millisecond
	// maxCrashes is how many servers may crash before the request must be identified as the cause, and maxLateRuns how
	// often it may run after all VMs must have quarantined it.
	maxCrashes  = 3
	maxLateRuns = 3
)

// outcomeLog collects outcomes. It may be used concurrently.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []Outcome
}

func (log *outcomeLog) add(outcome Outcome) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.outcomes = append(log.outcomes, outcome)
}

func (log *outcomeLog) all() []Outcome {
	log.mu.Lock()
	defer log.mu.Unlock()
	return slices.Clone(log.outcomes)
}

// sendCrashingRequests sends requests that crash servers to the VMs in turn, and waits for their outcomes.
func (environment *environment) sendCrashingRequests(ctx context.Context, event Event) {
	var senders sync.WaitGroup
	for number := range int((event.For + crashingExtraTime) / crashingInterval) {
		senders.Go(func() {
			caller := newCaller(environment, len(environment.vms)+number)
			defer caller.client.CloseIdleConnections()
			vm := environment.vms[(event.Target+number)%len(environment.vms)]
			request := newRequest(vm, fmt.Sprintf("%s%d", crashingIDPrefix, number), permanentKey)
			request.setStream(routeStream, shortTokens, shortOutputTokens)
			environment.crashing.add(caller.send(request))
		})
		if !wait.For(ctx, crashingInterval) {
			break
		}
	}
	senders.Wait()
}

// crash ends a server abruptly and restarts it under the same name.
func (environment *environment) crash(ctx context.Context, backend *backend) {
	if !backend.replacing.TryLock() {
		return // a replacement is in progress
	}
	defer backend.replacing.Unlock()
	from := time.Now()
	backend.stop()
	wait.For(ctx, crashRestartDelay)
	if ctx.Err() != nil {
		return
	}
	if err := environment.startBackend(ctx, backend, backend.identity().Instance); err != nil {
		environment.record.AddViolation(err.Error())
	}
	environment.log.add(span{from: from, to: time.Now(), kind: KindRequestCrash})
}

// checkCrashingRequests reports requests that crash servers when they ran too often, or ran although the caller's status
// guaranteed that they had not.
func (observations *observations) checkCrashingRequests(add addFunc) {
	var runs []platformserver.Run
	for id, ofRequest := range observations.runs {
		if strings.HasPrefix(id, crashingIDPrefix) {
			runs = append(runs, ofRequest...)
		}
	}
	for _, outcome := range observations.crashing {
		if impliesNotRun(outcome.Status) && len(observations.runs[outcome.ID]) > 0 {
			add(InvariantRefusedNotRun, "%s got %d and ran", outcome.ID, outcome.Status)
		}
	}
	if len(runs) <= maxCrashes {
		return
	}
	slices.SortFunc(runs, func(a, b platformserver.Run) int { return a.At.Compare(b.At) })
	deadline := runs[maxCrashes-1].At.Add(boundContact)
	late := slices.DeleteFunc(slices.Clone(runs), func(run platformserver.Run) bool { return !run.At.After(deadline) })
	if len(late) > maxLateRuns && !observations.boundsSuspended(runs[0].At.Add(-boundContact), late[len(late)-1].At) {
		add(InvariantCrashQuarantine, "ran %d more times after three servers had crashed, %d in total", len(late), len(runs))
	}
}
