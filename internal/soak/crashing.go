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

// sharedPart is the first part of all prompts. crashingPart is the part of prompts that crashes each server that runs one of them,
// and crashingPartIDPrefix the prefix of their request IDs.
const (
	sharedPart           = "5c1e07a2"
	crashingPart         = "bad0bad0"
	crashingPartIDPrefix = "harmful-part-of-"
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
	// maxCrashes is how many servers may crash before the request must be identified as the cause, maxPartCrashes how many
	// before a part must, and maxLateRuns how often it may run after all VMs must have quarantined it.
	maxCrashes     = 3
	maxPartCrashes = 5
	maxLateRuns    = 3
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

// sendCrashingRequests sends requests that crash servers to the VMs in turn, and waits for their outcomes. The event's kind
// determines what crashes servers.
func (environment *environment) sendCrashingRequests(ctx context.Context, event Event) {
	idPrefix := crashingIDPrefix
	if event.Kind == KindPartCrash {
		idPrefix = crashingPartIDPrefix
	}
	var senders sync.WaitGroup
	for number := range int((event.For + crashingExtraTime) / crashingInterval) {
		senders.Go(func() {
			caller := newCaller(environment, len(environment.vms)+number)
			defer caller.client.CloseIdleConnections()
			vm := environment.vms[(event.Target+number)%len(environment.vms)]
			request := newRequest(vm, fmt.Sprintf("%s%d", idPrefix, number), permanentKey)
			request.setStream(routeStream, shortTokens, shortOutputTokens)
			if event.Kind == KindPartCrash {
				request.header["Prefix-Hash"] = fmt.Sprintf("%s:40,%s:40,%s:40", sharedPart, crashingPart, request.outcome.ID)
			}
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

// crashingPrefixOf returns the prefix of the ID of a request that crashes servers, or an empty string for others.
func crashingPrefixOf(id string) string {
	switch {
	case strings.HasPrefix(id, crashingPartIDPrefix):
		return crashingPartIDPrefix
	case strings.HasPrefix(id, crashingIDPrefix):
		return crashingIDPrefix
	default:
		return ""
	}
}

// checkCrashingRequests reports requests that crash servers when they ran too often, or ran although the caller's status
// guaranteed that they had not.
func (observations *observations) checkCrashingRequests(add addFunc) {
	for _, outcome := range observations.crashing {
		if impliesNotRun(outcome.Status) && len(observations.runs[outcome.ID]) > 0 {
			add(InvariantRefusedNotRun, "%s got %d and ran", outcome.ID, outcome.Status)
		}
	}
	observations.checkCrashes(crashingIDPrefix, maxCrashes, add)
	observations.checkCrashes(crashingPartIDPrefix, maxPartCrashes, add)
}

// checkCrashes reports when the requests with a prefix ran too often after so many servers had crashed.
func (observations *observations) checkCrashes(idPrefix string, allowed int, add addFunc) {
	var runs []platformserver.Run
	for id, ofRequest := range observations.runs {
		if crashingPrefixOf(id) == idPrefix {
			runs = append(runs, ofRequest...)
		}
	}
	if len(runs) <= allowed {
		return
	}
	slices.SortFunc(runs, func(a, b platformserver.Run) int { return a.At.Compare(b.At) })
	deadline := runs[allowed-1].At.Add(boundContact)
	late := slices.DeleteFunc(slices.Clone(runs), func(run platformserver.Run) bool { return !run.At.After(deadline) })
	if len(late) > maxLateRuns && !observations.boundsSuspended(runs[0].At.Add(-boundContact), late[len(late)-1].At) {
		add(InvariantCrashQuarantine, "%s* ran %d more times after %d servers had crashed, %d in total", idPrefix, len(late), allowed, len(runs))
	}
}
