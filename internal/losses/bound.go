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

// slotTime is the step in which the bound is reckoned. Shorter ones change nothing
// that is read for 100 ms and more.
const slotTime = 50 * time.Millisecond

// Fleet is the engines for which a bound is reckoned.
type Fleet struct {
	Servers int
	Engine  catalog.Engine
	// LongFrom is the objective from which on a stream's prompt counts as long.
	LongFrom time.Duration
}

// job is the reading of one long prompt.
type job struct {
	request *Request
	// work is its reading in all, and due the last slot in which it is in time.
	work      time.Duration
	from, due int
}

// Bound is what a planner that knew all arrivals could read in time.
type Bound struct {
	// Asked, Served and Reached count long prompts: all, those in time in the logs, and
	// those that the planner reads in time. Weight has what they are worth.
	Asked, Served, Reached                   int
	AskedWeight, ServedWeight, ReachedWeight float64
}

// Bound reckons what a planner could read in time that knew all arrivals, shared each
// prompt evenly among all servers at any moment, and lost nothing by passes, pauses,
// faults or what VMs do not know. Servers are taken off for the short prompts that were in
// progress, a slot each. Prompts are taken by what they are worth for their reading,
// each if all that were taken stay in time, so the true best may lie a little higher.
func (report *Report) Bound(fleet Fleet) Bound {
	free := report.freeReading(fleet)
	var bound Bound
	var jobs []job
	for _, request := range report.requests {
		if !long(request, fleet) {
			continue
		}
		weight := placement.Weight(request.Tokens)
		bound.Asked++
		bound.AskedWeight += weight
		if request.Cause == CauseNone {
			bound.Served++
			bound.ServedWeight += weight
		}
		from := report.slot(request.Arrived)
		jobs = append(jobs, job{
			request: request, work: fleet.Engine.PrefillTime(request.Tokens),
			from: from, due: report.slot(request.Arrived.Add(request.Objective)),
		})
	}
	slices.SortFunc(jobs, func(a, b job) int {
		return cmp.Compare(placement.Weight(b.request.Tokens)/b.work.Seconds(), placement.Weight(a.request.Tokens)/a.work.Seconds())
	})
	var taken []job
	for _, next := range jobs {
		if !inTime(append(slices.Clone(taken), next), free) {
			continue
		}
		taken = append(taken, next)
		bound.Reached++
		bound.ReachedWeight += placement.Weight(next.request.Tokens)
	}
	return bound
}

// long reports whether the bound counts a request.
func long(request *Request, fleet Fleet) bool {
	return request.Kind == catalog.KindStream && request.Objective >= fleet.LongFrom && request.Cause != CauseRejected
}

func (report *Report) slot(at time.Time) int {
	return int(at.Sub(report.start) / slotTime)
}

// freeReading returns the reading that servers without short prompts can do in each
// slot.
func (report *Report) freeReading(fleet Fleet) []time.Duration {
	last := 0
	for _, request := range report.requests {
		last = max(last, report.slot(request.Arrived.Add(max(request.Took, request.Objective))))
	}
	busy := make([]int, last+1)
	for _, request := range report.requests {
		if request.Kind != catalog.KindStream || long(request, fleet) {
			continue
		}
		for slot := report.slot(request.Arrived); slot <= report.slot(request.Arrived.Add(request.Took)); slot++ {
			busy[slot]++
		}
	}
	free := make([]time.Duration, len(busy))
	for slot, count := range busy {
		servers := float64(fleet.Servers) - float64(count)/float64(fleet.Engine.Slots)
		free[slot] = time.Duration(max(0, servers) * float64(slotTime))
	}
	return free
}

// inTime reports whether all jobs can be in time when the one that is due first is read
// first.
func inTime(jobs []job, free []time.Duration) bool {
	slices.SortFunc(jobs, func(a, b job) int { return cmp.Compare(a.due, b.due) })
	left := slices.Clone(free)
	for _, job := range jobs {
		work := job.work
		for slot := job.from; slot <= job.due && work > 0; slot++ {
			read := min(work, left[slot])
			work -= read
			left[slot] -= read
		}
		if work > 0 {
			return false
		}
	}
	return true
}

// Write prints the bound beside what was served.
func (bound Bound) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "long prompts\tcount\tworth\t")
	fmt.Fprintf(table, "asked\t%d\t%.0f\t\n", bound.Asked, bound.AskedWeight)
	fmt.Fprintf(table, "in time\t%d\t%.0f\t\n", bound.Served, bound.ServedWeight)
	fmt.Fprintf(table, "in time by a planner that knew all arrivals\t%d\t%.0f\t\n", bound.Reached, bound.ReachedWeight)
	return errors.Wrap(table.Flush(), "losses")
}
