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

// startupTime is how long VMs have to get ready before the load starts.
const startupTime = 1500 * time.Millisecond

const (
	// recoveryTime is how long after the latest possible start of a fault the system must have recovered, if the fault
	// has ended by then.
	recoveryTime = 7 * time.Second
	// settleTime bounds how long VMs take to detect that a fault has ended.
	settleTime = 2 * time.Second
	// faultFreeTime is how long callers keep sending from then on.
	faultFreeTime = quietEnd - recoveryTime
)

// Result summarises one run.
type Result struct {
	Seed       uint64
	Faults     map[Kind]int
	Requests   int
	Succeeded  int
	Statuses   map[string]int
	Violations []Violation
}

// DefaultSettings returns the default settings of a run. The caller must set Program, Dir and Seed.
func DefaultSettings() Settings {
	return Settings{Length: 19 * time.Second, VMs: 3, Engines: 5, Plains: 3, Callers: 12, Network: 40}
}

// Run performs the run of settings.Seed. Violations are in the result; an error means that the run could not be
// performed.
func Run(ctx context.Context, settings Settings) (Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	environment, err := newEnvironment(ctx, settings)
	defer environment.close()
	if err != nil {
		return Result{}, errors.Wrapf(err, "soak of seed %d", settings.Seed)
	}
	if !wait.For(ctx, startupTime) {
		return Result{}, errors.WithStack(ctx.Err())
	}
	plan := NewPlan(settings.Seed, settings.Length)
	start := time.Now()
	outcomes, faultFreeFrom := environment.runLoad(ctx, plan, start.Add(settings.Length-faultFreeTime))
	wait.For(ctx, boundMemoryRelease)
	observations := &observations{
		outcomes: slices.Concat(outcomes, environment.crowding.all(), environment.polls.all()), crashing: environment.crashing.all(), runs: make(map[string][]platformserver.Run), log: environment.log, operator: environment.operator,
		arrivals:      environment.record.Arrivals(),
		faultFreeFrom: faultFreeFrom, incarnation: environment.incarnation, down: environment.down,
	}
	for _, run := range environment.record.Runs() {
		observations.runs[run.ID] = append(observations.runs[run.ID], run)
	}
	violations := append(observations.check(), environment.checkMemory()...)
	violations = append(violations, environment.checkPanics()...)
	return newResult(settings.Seed, plan, outcomes, violations), nil
}

// runLoad runs callers and faults concurrently. It returns the callers' outcomes and the start of the fault-free time: the
// given one, or settleTime after the last fault ended if that is later, as it may be for draining servers.
func (environment *environment) runLoad(ctx context.Context, plan []Event, faultFreeFrom time.Time) ([]Outcome, time.Time) {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	var mu sync.Mutex
	var outcomes []Outcome
	for number := range environment.settings.Callers {
		running.Go(func() {
			sent := newCaller(environment, number).run(loading)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, sent...)
		})
	}
	environment.injectFaults(ctx, plan)
	if settled := time.Now().Add(settleTime); settled.After(faultFreeFrom) {
		faultFreeFrom = settled
	}
	wait.For(ctx, time.Until(faultFreeFrom.Add(faultFreeTime)))
	stop()
	running.Wait()
	return outcomes, faultFreeFrom
}

func (environment *environment) vm(name string) *vm {
	return environment.vms[slices.IndexFunc(environment.vms, func(vm *vm) bool { return vm.name == name })]
}

// incarnation returns the number of starts of a VM's process up to a time.
func (environment *environment) incarnation(name string, at time.Time) int {
	return environment.vm(name).process.incarnation(at)
}

// down reports whether a VM's process was not running, or still starting, at any time in a span.
func (environment *environment) down(name string, from, to time.Time) bool {
	return environment.vm(name).process.down(from, to)
}

// checkMemory returns the violations that stand-ins recorded, and one for each engine with memory still reserved after the
// run.
func (environment *environment) checkMemory() []Violation {
	var violations []Violation
	for _, detail := range environment.record.Violations() {
		violations = append(violations, Violation{Invariant: InvariantMemoryReleased, What: detail})
	}
	for _, backend := range environment.backends {
		if backend.engine == nil {
			continue
		}
		if count, idle := backend.engine.Reservations(); count > 0 {
			detail := fmt.Sprintf("%d reservations left at %s, unused for %s", count, backend.address, idle)
			violations = append(violations, Violation{Invariant: InvariantMemoryReleased, What: detail})
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
		if !outcome.Complete {
			status += " truncated"
		}
		result.Statuses[status]++
		if outcome.succeeded() {
			result.Succeeded++
		}
	}
	return result
}

// String implements fmt.Stringer. It returns one line, and one more for each violation.
func (result Result) String() string {
	faults := 0
	for count := range maps.Values(result.Faults) {
		faults += count
	}
	text := fmt.Sprintf("seed %d: %d faults of %d kinds, %d requests, %d answered, %v, %d violations",
		result.Seed, faults, len(result.Faults), result.Requests, result.Succeeded, result.Statuses, len(result.Violations))
	for _, violation := range result.Violations {
		text += fmt.Sprintf("\n  %s: %s", violation.Invariant, violation.What)
	}
	return text
}
