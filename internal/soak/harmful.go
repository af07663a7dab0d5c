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

// harmfulBody is the body of the request under which each server crashes, and harmfulID what its IDs begin with.
const (
	harmfulBody = "payload that no server survives"
	harmfulID   = "harmful-"
)

// Times and bounds of that request.
const (
	// harmfulPause is the time between callers who ask for it.
	harmfulPause = 200 * time.Millisecond
	// harmfulAfter is for how long they go on after the fault: that after which all VMs must know of it, and more.
	harmfulAfter = 4 * time.Second
	// crashTime is how long a server that crashed is away.
	crashTime = 1500 * time.Millisecond
	// crashesAllowed is how many servers may crash until it counts as the cause, and sendsAllowed how often it
	// may be sent once all VMs must know that.
	crashesAllowed = 3
	sendsAllowed   = 3
)

// harmfulLog has what callers got who asked for what crashes servers.
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

// askHarmful lets callers ask for what crashes servers, at VMs in turn.
func (world *world) askHarmful(ctx context.Context, event Event) {
	var asking sync.WaitGroup
	for number := range int((event.For + harmfulAfter) / harmfulPause) {
		asking.Go(func() {
			caller := newCaller(world, len(world.vms)+number)
			defer caller.client.CloseIdleConnections()
			vm := world.vms[(event.Target+number)%len(world.vms)]
			asked := newRequest(vm, fmt.Sprintf("%s%d", harmfulID, number), permanentKey)
			asked.stream(routeStream, shortTokens, shortOut)
			world.harmful.add(caller.ask(asked))
		})
		if !wait.For(ctx, harmfulPause) {
			break
		}
	}
	asking.Wait()
}

// crash ends a server at once, and starts it again under its name.
func (world *world) crash(ctx context.Context, backend *backend) {
	if !backend.replacing.TryLock() {
		return // it is being replaced already
	}
	defer backend.replacing.Unlock()
	from := time.Now()
	backend.stop()
	wait.For(ctx, crashTime)
	if ctx.Err() != nil {
		return
	}
	if err := world.startBackend(ctx, backend, backend.identity().Instance); err != nil {
		world.record.AddViolation(err.Error())
	}
	world.log.add(span{from: from, to: time.Now(), kind: KindRequestCrash})
}

// checkHarmful looks at what crashed servers: how often it was sent, and what its callers were told.
func (evidence *evidence) checkHarmful(add addFunc) {
	var runs []platformserver.Run
	for id, ran := range evidence.runs {
		if strings.HasPrefix(id, harmfulID) {
			runs = append(runs, ran...)
		}
	}
	for _, outcome := range evidence.harmful {
		if promisesNotRun(outcome.Status) && len(evidence.runs[outcome.ID]) > 0 {
			add(PromiseNotRun, "%s got %d and ran", outcome.ID, outcome.Status)
		}
	}
	if len(runs) <= crashesAllowed {
		return
	}
	slices.SortFunc(runs, func(a, b platformserver.Run) int { return a.At.Compare(b.At) })
	known := runs[crashesAllowed-1].At.Add(boundContact)
	late := slices.DeleteFunc(slices.Clone(runs), func(run platformserver.Run) bool { return !run.At.After(known) })
	if len(late) > sendsAllowed && !evidence.disturbed(runs[0].At.Add(-boundContact), late[len(late)-1].At) {
		add(PromiseCrashes, "ran %d times more after three servers had crashed, %d in all", len(late), len(runs))
	}
}
