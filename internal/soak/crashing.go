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
	harmfulBody = "payload that no server survives"
	harmfulID   = "harmful-"
)

// Times and bounds of the requests that crash servers.
const (
	// crashingInterval is the time between two such requests.
	harmfulPause = 200 * time.Millisecond
	// crashingExtraTime is how long they are sent after the end of the fault: longer than boundContact, after which all
	// VMs must have quarantined the request.
	harmfulAfter = 4 * time.Second
	// crashRestartDelay is how long a crashed server is down.
	crashTime = 1500 * time.Millisecond
	// maxCrashes is how many servers may crash before the request must be identified as the cause, and maxLateRuns how
	// often it may run after all VMs must have quarantined it.
	crashesAllowed = 3
	sendsAllowed   = 3
)

// outcomeLog collects outcomes. It may be used concurrently.
type harmfulLog struct {
	mu       sync.Mutex
	outcomes []Outcome
}

func (log *harmfulLog) add(outcome Outcome) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.outcomes = append(log.outcomes, outcome)
}

func (log *harmfulLog) all() []Outcome {
	log.mu.Lock()
	defer log.mu.Unlock()
	return slices.Clone(log.outcomes)
}

// sendCrashingRequests sends requests that crash servers to the VMs in turn, and waits for their outcomes.
func (environment *world) askHarmful(ctx context.Context, event Event) {
	var senders sync.WaitGroup
	for number := range int((event.For + harmfulAfter) / harmfulPause) {
		senders.Go(func() {
			caller := newCaller(environment, len(environment.vms)+number)
			defer caller.client.CloseIdleConnections()
			vm := environment.vms[(event.Target+number)%len(environment.vms)]
			request := newRequest(vm, fmt.Sprintf("%s%d", harmfulID, number), permanentKey)
			request.stream(routeStream, shortTokens, shortOut)
			environment.harmful.add(caller.ask(request))
		})
		if !wait.For(ctx, harmfulPause) {
			break
		}
	}
	senders.Wait()
}

// crash ends a server abruptly and restarts it under the same name.
func (environment *world) crash(ctx context.Context, backend *backend) {
	if !backend.replacing.TryLock() {
		return // a replacement is in progress
	}
	defer backend.replacing.Unlock()
	from := time.Now()
	backend.stop()
	wait.For(ctx, crashTime)
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
func (observations *evidence) checkHarmful(add addFunc) {
	var runs []platformserver.Run
	for id, ofRequest := range observations.runs {
		if strings.HasPrefix(id, harmfulID) {
			runs = append(runs, ofRequest...)
		}
	}
	for _, outcome := range observations.harmful {
		if promisesNotRun(outcome.Status) && len(observations.runs[outcome.ID]) > 0 {
			add(PromiseNotRun, "%s got %d and ran", outcome.ID, outcome.Status)
		}
	}
	if len(runs) <= crashesAllowed {
		return
	}
	slices.SortFunc(runs, func(a, b platformserver.Run) int { return a.At.Compare(b.At) })
	deadline := runs[crashesAllowed-1].At.Add(boundContact)
	late := slices.DeleteFunc(slices.Clone(runs), func(run platformserver.Run) bool { return !run.At.After(deadline) })
	if len(late) > sendsAllowed && !observations.disturbed(runs[0].At.Add(-boundContact), late[len(late)-1].At) {
		add(PromiseCrashes, "ran %d more times after three servers had crashed, %d in total", len(late), len(runs))
	}
}
