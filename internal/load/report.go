package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
)

// Range of the latency histograms in microseconds, and their number of significant
// digits.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Percentiles are percentiles of Count latencies, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// ClassReport summarises the requests of a class in a phase. FirstToken is the time
// to first token, and InterTokenLatency the time between tokens.
type ClassReport struct {
	Class             string         `json:"class"`
	Requests          int            `json:"requests"`
	FirstToken        Percentiles    `json:"first_token"`
	InterTokenLatency Percentiles    `json:"between_tokens"`
	Outcomes          map[string]int `json:"outcomes"`
	Resumes           int            `json:"resumes"`
	Duplicates        int            `json:"duplicate_answers"`
	TotalTokens       int            `json:"tokens"`
}

// Check counts violations of the system's guarantees. All counts must be zero.
type Check struct {
	// Lost is the number of requests without an outcome.
	Lost int `json:"lost"`
	// Late is the number of requests whose outcome came after the caller's deadline.
	Late int `json:"late"`
	// DoubledTokens is the number of tokens received twice.
	DoubledTokens int `json:"doubled_tokens"`
	// MissingTokens is the number of tokens skipped in streams, or missing at the end of
	// responses with the outcome completed.
	MissingTokens int `json:"missing_tokens"`
	// ForeignTokens is the number of tokens that belong to the response to another prompt.
	ForeignTokens int `json:"foreign_tokens"`
	// KeysRunTwice is the number of idempotency keys whose requests ran more than once.
	KeysRunTwice int `json:"keys_run_twice"`
	// RunDespiteNotRun is the number of requests that ran although their outcome states
	// that they did not run.
	RunDespiteNotRun int `json:"run_though_not_run"`
	// Unverified reports that no record of executions was available, so that
	// KeysRunTwice and RunDespiteNotRun were not checked.
	Unverified bool `json:"unverified,omitempty"`
}

// Violated reports whether any guarantee was violated.
func (check Check) Violated() bool {
	check.Unverified = false
	return check != Check{}
}

// Phase has the results of a phase of a load run, by class.
type Phase struct {
	Name    string        `json:"phase"`
	Classes []ClassReport `json:"classes"`
}

// Slowdown compares the latencies of a class with and without the background
// classes.
type Slowdown struct {
	Class string `json:"class"`
	// Each is the ratio of the time to first token with the background classes to
	// that without them.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report is the report on a load run.
type Report struct {
	Seed      uint64     `json:"seed"`
	Phases    []Phase    `json:"phases"`
	Slowdowns []Slowdown `json:"slowdowns"`
	Check     Check      `json:"check"`
}

// newPhase returns the report on a phase.
func newPhase(name string, results []Result) Phase {
	byClass := make(map[string][]Result)
	for _, result := range results {
		class := result.Arrival.Class.Name
		byClass[class] = append(byClass[class], result)
	}
	phase := Phase{Name: name}
	for class, results := range byClass {
		phase.Classes = append(phase.Classes, newClassReport(class, results))
	}
	slices.SortFunc(phase.Classes, func(a, b ClassReport) int { return cmp.Compare(a.Class, b.Class) })
	return phase
}

func newClassReport(class string, results []Result) ClassReport {
	report := ClassReport{Class: class, Requests: len(results), Outcomes: make(map[string]int)}
	firstTokens, gaps := newHistogram(), newHistogram()
	for _, result := range results {
		if result.FirstToken > 0 {
			record(firstTokens, result.FirstToken)
		}
		for _, gap := range result.InterTokenLatencies {
			record(gaps, gap)
		}
		report.Outcomes[outcomeName(result)]++
		report.Resumes += result.Resumes
		report.TotalTokens += result.Tokens
		if result.Duplicate {
			report.Duplicates++
		}
	}
	report.FirstToken = percentiles(firstTokens)
	report.InterTokenLatency = percentiles(gaps)
	return report
}

// outcomeName returns the outcome and its reason, if any, or "lost" without an
// outcome.
func outcomeName(result Result) string {
	switch {
	case result.Kind == "":
		return "lost"
	case result.Reason == request.ReasonNone:
		return string(result.Kind)
	default:
		return string(result.Kind) + "/" + string(result.Reason)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// record adds a latency to a histogram, limited to the histogram's range.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(max(histogramMin, min(value.Microseconds(), histogramMax)))
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / 1000
	}
	return Percentiles{Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// newCheck checks the results against the system's guarantees, and against the
// executions by the backend servers. verified reports whether executions were
// available.
func newCheck(results []Result, executions []execution.Execution, verified bool) Check {
	check := Check{Unverified: !verified}
	byRequest := make(map[string]int)
	byKey := make(map[string]int)
	for _, execution := range executions {
		byRequest[execution.Request]++
		if execution.Key != "" {
			byKey[execution.Key]++
		}
	}
	for _, result := range results {
		check.add(result, byRequest)
	}
	for _, runs := range byKey {
		if runs > 1 {
			check.KeysRunTwice++
		}
	}
	return check
}

// add counts the violations of one result. runs has the number of executions by
// request ID.
func (check *Check) add(result Result, runs map[string]int) {
	if result.Kind == "" {
		check.Lost++
	} else if result.Total > result.Arrival.Class.Time {
		check.Late++
	}
	check.DoubledTokens += result.DoubledTokens
	check.MissingTokens += result.MissingTokens
	check.ForeignTokens += result.ForeignTokens
	expectedTokens := result.Arrival.Class.MaxTokens
	if result.Arrival.Class.Service != "" {
		expectedTokens = 1
	}
	if result.Kind == request.KindCompleted && !result.Duplicate {
		check.MissingTokens += max(0, expectedTokens-result.Tokens)
	}
	if result.Kind == request.KindFailedNotRun && runs[result.RequestID] > 0 {
		check.RunDespiteNotRun++
	}
}

// newSlowdowns compares the classes that are in both phases.
func newSlowdowns(alonePhase, mixedPhase Phase) []Slowdown {
	var slowdowns []Slowdown
	for _, alone := range alonePhase.Classes {
		for _, mixed := range mixedPhase.Classes {
			if alone.Class != mixed.Class || alone.FirstToken.Count == 0 {
				continue
			}
			slowdowns = append(slowdowns, Slowdown{
				Class: alone.Class,
				P50:   mixed.FirstToken.P50 / alone.FirstToken.P50,
				P95:   mixed.FirstToken.P95 / alone.FirstToken.P95,
				P99:   mixed.FirstToken.P99 / alone.FirstToken.P99,
			})
		}
	}
	return slowdowns
}

// Print writes the report as text: a table of latencies by class, outcomes,
// slowdowns and violations.
func (report Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tclass\trequests\tfirst token p50\tp95\tp99\tbetween tokens p50\tp95\tp99\tresumed\t")
	for _, phase := range report.Phases {
		for _, class := range phase.Classes {
			fmt.Fprintf(table, "%s\t%s\t%d\t%.1f ms\t%.1f\t%.1f\t%.1f ms\t%.1f\t%.1f\t%d\t\n",
				phase.Name, class.Class, class.Requests,
				class.FirstToken.P50, class.FirstToken.P95, class.FirstToken.P99,
				class.InterTokenLatency.P50, class.InterTokenLatency.P95, class.InterTokenLatency.P99, class.Resumes)
		}
	}
	_ = table.Flush()
	report.printOutcomes(w)
	for _, slowdown := range report.Slowdowns {
		fmt.Fprintf(w, "slowdown of %s with the background: p50 %.2fx, p95 %.2fx, p99 %.2fx\n",
			slowdown.Class, slowdown.P50, slowdown.P95, slowdown.P99)
	}
	check := report.Check
	fmt.Fprintf(w, "lost %d, late %d, doubled tokens %d, missing tokens %d, foreign tokens %d, keys run twice %d, run although reported as not run %d\n",
		check.Lost, check.Late, check.DoubledTokens, check.MissingTokens, check.ForeignTokens, check.KeysRunTwice, check.RunDespiteNotRun)
	if check.Unverified {
		fmt.Fprintln(w, "executions not verified: no record of executions available")
	}
}

// printOutcomes writes the number of requests by phase, class and outcome.
func (report Report) printOutcomes(w io.Writer) {
	for _, phase := range report.Phases {
		for _, class := range phase.Classes {
			names := make([]string, 0, len(class.Outcomes))
			for name := range class.Outcomes {
				names = append(names, name)
			}
			slices.Sort(names)
			for _, name := range names {
				fmt.Fprintf(w, "%s, %s: %s %d\n", phase.Name, class.Class, name, class.Outcomes[name])
			}
		}
	}
}
