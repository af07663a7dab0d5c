package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// boundInterval is the length of the intervals into which time is divided for the
// bound. Shorter ones do not change the result for prompts with a prefill time of
// 100 ms or more.
const boundInterval = 50 * time.Millisecond

// Fleet describes the model engines for which a bound is computed. All have the same performance.
type Fleet struct {
	Servers int
	Engine  catalog.Engine
	// MinLongObjective is the minimum objective of a stream whose prompt counts as long.
	MinLongObjective time.Duration
}

// job is the prefill of one long prompt.
type job struct {
	request *Request
	// prefill is the prefill time on a single engine. The prefill can be served in the
	// intervals from start to deadline, inclusive.
	prefill         time.Duration
	start, deadline int
}

// Bound compares what was served with an estimate of what an ideal planner, with all arrivals known in advance, could
// have served in time.
type Bound struct {
	// Requested, Served and Achievable count long prompts: all, those served in time
	// according to the logs, and those with a prefill in time by the ideal planner. The
	// weights are the sums of placement.Weight of the same prompts.
	Requested, Served, Achievable                   int
	RequestedWeight, ServedWeight, AchievableWeight float64
}

// Bound estimates the work of an ideal planner, which has all arrivals in advance, can
// split each prefill evenly among all servers at any moment, and has no losses from decode
// passes, inter-token latency objectives, faults or delayed information. Each short prompt in flight
// reduces the capacity by one slot. The planner is greedy: it takes prompts in the order of
// weight per prefill time, and accepts each one with which all accepted ones still meet
// their deadlines. The optimum may thus be slightly higher.
func (report *Report) Bound(fleet Fleet) Bound {
	freeTime := report.freePrefillTime(fleet)
	var bound Bound
	var jobs []job
	for _, request := range report.requests {
		if !isLongPrompt(request, fleet) {
			continue
		}
		weight := placement.Weight(request.Tokens)
		bound.Requested++
		bound.RequestedWeight += weight
		if request.Cause == CauseInTime {
			bound.Served++
			bound.ServedWeight += weight
		}
		start := report.interval(request.Arrived)
		jobs = append(jobs, job{
			request: request, prefill: fleet.Engine.PrefillTime(request.Tokens),
			start: start, deadline: report.interval(request.Arrived.Add(request.Objective)),
		})
	}
	slices.SortFunc(jobs, func(a, b job) int {
		return cmp.Compare(placement.Weight(b.request.Tokens)/b.prefill.Seconds(), placement.Weight(a.request.Tokens)/a.prefill.Seconds())
	})
	var accepted []job
	for _, candidate := range jobs {
		if !meetDeadlines(append(slices.Clone(accepted), candidate), freeTime) {
			continue
		}
		accepted = append(accepted, candidate)
		bound.Achievable++
		bound.AchievableWeight += placement.Weight(candidate.request.Tokens)
	}
	return bound
}

// isLongPrompt reports whether the bound includes a request.
func isLongPrompt(request *Request, fleet Fleet) bool {
	return request.Kind == catalog.KindStream && request.Objective >= fleet.MinLongObjective && request.Cause != CauseInvalidRequest
}

// interval returns the index of the interval of a time.
func (report *Report) interval(at time.Time) int {
	return int(at.Sub(report.start) / boundInterval)
}

// freePrefillTime returns the prefill time that is available in each interval, summed
// over all servers, without the share of the short prompts in flight.
func (report *Report) freePrefillTime(fleet Fleet) []time.Duration {
	lastInterval := 0
	for _, request := range report.requests {
		lastInterval = max(lastInterval, report.interval(request.Arrived.Add(max(request.Elapsed, request.Objective))))
	}
	inFlight := make([]int, lastInterval+1)
	for _, request := range report.requests {
		if request.Kind != catalog.KindStream || isLongPrompt(request, fleet) {
			continue
		}
		for interval := report.interval(request.Arrived); interval <= report.interval(request.Arrived.Add(request.Elapsed)); interval++ {
			inFlight[interval]++
		}
	}
	freeTime := make([]time.Duration, len(inFlight))
	for interval, short := range inFlight {
		servers := float64(fleet.Servers) - float64(short)/float64(fleet.Engine.Slots)
		freeTime[interval] = time.Duration(max(0, servers) * float64(boundInterval))
	}
	return freeTime
}

// meetDeadlines reports whether all jobs meet their deadlines if they are served with the
// earliest deadline first. It sorts jobs.
func meetDeadlines(jobs []job, freeTime []time.Duration) bool {
	slices.SortFunc(jobs, func(a, b job) int { return cmp.Compare(a.deadline, b.deadline) })
	remaining := slices.Clone(freeTime)
	for _, job := range jobs {
		prefill := job.prefill
		for interval := job.start; interval <= job.deadline && prefill > 0; interval++ {
			used := min(prefill, remaining[interval])
			prefill -= used
			remaining[interval] -= used
		}
		if prefill > 0 {
			return false
		}
	}
	return true
}

// Write prints the bound and what was served, as a table. The column worth has the sums of weights.
func (bound Bound) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "long prompts\tcount\tworth\t")
	fmt.Fprintf(table, "asked\t%d\t%.0f\t\n", bound.Requested, bound.RequestedWeight)
	fmt.Fprintf(table, "in time\t%d\t%.0f\t\n", bound.Served, bound.ServedWeight)
	fmt.Fprintf(table, "in time by a planner that knew all arrivals\t%d\t%.0f\t\n", bound.Achievable, bound.AchievableWeight)
	return errors.Wrap(table.Flush(), "losses")
}
