package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/standin/platformserver"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// startTime is how long VMs have to be ready before the load starts.
const startTime = 1500 * time.Millisecond

const (
	// calmBefore is how long after the last fault may begin all must be well again, if it is over by then.
	calmBefore = 7 * time.Second
	// settleTime is in what time VMs must know that a fault is over, as their bounds have it.
	settleTime = 2 * time.Second
	// calmTime is how long callers go on from then.
	calmTime = quietEnd - calmBefore
)

// Result is what one run showed.
type Result struct {
	Seed       uint64
	Faults     map[Kind]int
	Requests   int
	Answered   int
	Statuses   map[string]int
	Violations []Violation
}

// DefaultSettings returns the settings of a usual run.
func DefaultSettings() Settings {
	return Settings{Length: 19 * time.Second, VMs: 3, Engines: 5, Plains: 3, Callers: 12, Network: 40}
}

// Run plays the run of one seed.
func Run(ctx context.Context, settings Settings) (Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	world, err := newWorld(ctx, settings)
	defer world.close()
	if err != nil {
		return Result{}, errors.Wrapf(err, "soak of seed %d", settings.Seed)
	}
	if !wait.For(ctx, startTime) {
		return Result{}, errors.WithStack(ctx.Err())
	}
	plan := NewPlan(settings.Seed, settings.Length)
	start := time.Now()
	outcomes, calm := world.load(ctx, plan, start.Add(settings.Length-calmTime))
	wait.For(ctx, boundFree)
	evidence := &evidence{
		outcomes: outcomes, harmful: world.harmful.all(), runs: make(map[string][]platformserver.Run), log: world.log, operator: world.operator,
		arrivals: world.record.Arrivals(),
		calm:     calm, life: world.life, down: world.down,
	}
	for _, run := range world.record.Runs() {
		evidence.runs[run.ID] = append(evidence.runs[run.ID], run)
	}
	violations := append(evidence.check(), world.checkMemory()...)
	return newResult(settings.Seed, plan, outcomes, violations), nil
}

// load plays callers and faults side by side. It returns what callers saw, and when all was calm: from a moment on, or later
// where a fault lasted longer, as those of servers do that leave.
func (world *world) load(ctx context.Context, plan []Event, calm time.Time) ([]Outcome, time.Time) {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	var mu sync.Mutex
	var outcomes []Outcome
	for number := range world.settings.Callers {
		all.Go(func() {
			seen := newCaller(world, number).run(loading)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, seen...)
		})
	}
	world.inject(ctx, plan)
	if settled := time.Now().Add(settleTime); settled.After(calm) {
		calm = settled
	}
	wait.For(ctx, time.Until(calm.Add(calmTime)))
	stop()
	all.Wait()
	return outcomes, calm
}

func (world *world) vm(name string) *vm {
	return world.vms[slices.IndexFunc(world.vms, func(vm *vm) bool { return vm.name == name })]
}

// life returns which life of a VM's process a time falls into.
func (world *world) life(name string, at time.Time) int {
	return world.vm(name).process.life(at)
}

// down reports whether a VM's process was away at any time in a span.
func (world *world) down(name string, from, to time.Time) bool {
	return world.vm(name).process.down(from, to)
}

// checkMemory looks for memory that is still set aside after the end.
func (world *world) checkMemory() []Violation {
	var violations []Violation
	for _, what := range world.record.Violations() {
		violations = append(violations, Violation{Promise: PromiseMemory, What: what})
	}
	for _, backend := range world.backends {
		if backend.engine == nil {
			continue
		}
		if count, idle := backend.engine.Reservations(); count > 0 {
			what := fmt.Sprintf("%d tickets at %s, unused for %s", count, backend.address, idle)
			violations = append(violations, Violation{Promise: PromiseMemory, What: what})
		}
	}
	return violations
}

func newResult(seed uint64, plan []Event, outcomes []Outcome, violations []Violation) Result {
	result := Result{
		Seed: seed, Faults: make(map[Kind]int), Requests: len(outcomes), Statuses: make(map[string]int), Violations: violations,
	}
	for _, event := range plan {
		result.Faults[event.Kind]++
	}
	for _, outcome := range outcomes {
		status := fmt.Sprint(outcome.Status)
		if !outcome.Whole {
			status += " broken off"
		}
		result.Statuses[status]++
		if outcome.answered() {
			result.Answered++
		}
	}
	return result
}

// String implements fmt.Stringer: one line, and one more for each violation.
func (result Result) String() string {
	faults := 0
	for count := range maps.Values(result.Faults) {
		faults += count
	}
	text := fmt.Sprintf("seed %d: %d faults of %d kinds, %d requests, %d answered, %v, %d violations",
		result.Seed, faults, len(result.Faults), result.Requests, result.Answered, result.Statuses, len(result.Violations))
	for _, violation := range result.Violations {
		text += fmt.Sprintf("\n  %s: %s", violation.Promise, violation.What)
	}
	return text
}
