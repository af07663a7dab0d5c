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

// Range of histograms, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Percentiles are in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// ClassReport is about the requests of one class in one phase.
type ClassReport struct {
	Class       string         `json:"class"`
	Requests    int            `json:"requests"`
	FirstToken  Percentiles    `json:"first_token"`
	TokenGap    Percentiles    `json:"between_tokens"`
	Outcomes    map[string]int `json:"outcomes"`
	Resumes     int            `json:"resumes"`
	Duplicates  int            `json:"duplicate_answers"`
	TotalTokens int            `json:"tokens"`
}

// Check counts broken promises. All of them must be zero.
type Check struct {
	// Lost requests got no outcome.
	Lost int `json:"lost"`
	// Late requests got theirs after the stated time.
	Late int `json:"late"`
	// Doubled tokens came twice.
	Doubled int `json:"doubled_tokens"`
	// Missing tokens never came in answers that were called completed.
	Missing int `json:"missing_tokens"`
	// Foreign tokens belong to the answer of another prompt.
	Foreign int `json:"foreign_tokens"`
	// Repeated keys were run more than once.
	Repeated int `json:"keys_run_twice"`
	// RunAfterAll requests were run though the caller was told otherwise.
	RunAfterAll int `json:"run_though_not_run"`
	// Unverified says that nobody could tell what really ran.
	Unverified bool `json:"unverified,omitempty"`
}

// Broken reports whether any promise was broken.
func (check Check) Broken() bool {
	check.Unverified = false
	return check != Check{}
}

// Phase is one part of a run.
type Phase struct {
	Name    string        `json:"phase"`
	Classes []ClassReport `json:"classes"`
}

// Slowdown compares a class with and without the background classes.
type Slowdown struct {
	Class string `json:"class"`
	// Each is the first token with the background over that without it.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report is about one run.
type Report struct {
	Seed      uint64     `json:"seed"`
	Phases    []Phase    `json:"phases"`
	Slowdowns []Slowdown `json:"slowdowns"`
	Check     Check      `json:"check"`
}

func newPhase(name string, answers []Answer) Phase {
	byClass := make(map[string][]Answer)
	for _, answer := range answers {
		class := answer.Arrival.Class.Name
		byClass[class] = append(byClass[class], answer)
	}
	phase := Phase{Name: name}
	for class, answers := range byClass {
		phase.Classes = append(phase.Classes, newClassReport(class, answers))
	}
	slices.SortFunc(phase.Classes, func(a, b ClassReport) int { return cmp.Compare(a.Class, b.Class) })
	return phase
}

func newClassReport(class string, answers []Answer) ClassReport {
	report := ClassReport{Class: class, Requests: len(answers), Outcomes: make(map[string]int)}
	first, gaps := newHistogram(), newHistogram()
	for _, answer := range answers {
		if answer.FirstToken > 0 {
			record(first, answer.FirstToken)
		}
		for _, gap := range answer.Gaps {
			record(gaps, gap)
		}
		report.Outcomes[outcomeName(answer)]++
		report.Resumes += answer.Resumes
		report.TotalTokens += answer.Tokens
		if answer.Duplicate {
			report.Duplicates++
		}
	}
	report.FirstToken = percentiles(first)
	report.TokenGap = percentiles(gaps)
	return report
}

func outcomeName(answer Answer) string {
	switch {
	case answer.Kind == "":
		return "lost"
	case answer.Reason == request.ReasonNone:
		return string(answer.Kind)
	default:
		return string(answer.Kind) + "/" + string(answer.Reason)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(max(histogramMin, min(value.Microseconds(), histogramMax)))
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / 1000
	}
	return Percentiles{Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// newCheck compares what callers saw with what was promised, and with what
// the backend servers really ran.
func newCheck(answers []Answer, executions []execution.Execution, verified bool) Check {
	check := Check{Unverified: !verified}
	byRequest := make(map[string]int)
	byKey := make(map[string]int)
	for _, execution := range executions {
		byRequest[execution.Request]++
		if execution.Key != "" {
			byKey[execution.Key]++
		}
	}
	for _, answer := range answers {
		check.add(answer, byRequest)
	}
	for _, runs := range byKey {
		if runs > 1 {
			check.Repeated++
		}
	}
	return check
}

func (check *Check) add(answer Answer, runs map[string]int) {
	if answer.Kind == "" {
		check.Lost++
	} else if answer.Total > answer.Arrival.Class.Time {
		check.Late++
	}
	check.Doubled += answer.Doubled
	check.Missing += answer.Missing
	check.Foreign += answer.Foreign
	whole := answer.Arrival.Class.MaxTokens
	if answer.Arrival.Class.Service != "" {
		whole = 1
	}
	if answer.Kind == request.KindCompleted && !answer.Duplicate {
		check.Missing += max(0, whole-answer.Tokens)
	}
	if answer.Kind == request.KindFailedNotRun && runs[answer.RequestID] > 0 {
		check.RunAfterAll++
	}
}

func newSlowdowns(without, with Phase) []Slowdown {
	var slowdowns []Slowdown
	for _, alone := range without.Classes {
		for _, loaded := range with.Classes {
			if alone.Class != loaded.Class || alone.FirstToken.Count == 0 {
				continue
			}
			slowdowns = append(slowdowns, Slowdown{
				Class: alone.Class,
				P50:   loaded.FirstToken.P50 / alone.FirstToken.P50,
				P95:   loaded.FirstToken.P95 / alone.FirstToken.P95,
				P99:   loaded.FirstToken.P99 / alone.FirstToken.P99,
			})
		}
	}
	return slowdowns
}

// Print writes the report as a table.
func (report Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tclass\trequests\tfirst token p50\tp95\tp99\tbetween tokens p50\tp95\tp99\tresumed\t")
	for _, phase := range report.Phases {
		for _, class := range phase.Classes {
			fmt.Fprintf(table, "%s\t%s\t%d\t%.1f ms\t%.1f\t%.1f\t%.1f ms\t%.1f\t%.1f\t%d\t\n",
				phase.Name, class.Class, class.Requests,
				class.FirstToken.P50, class.FirstToken.P95, class.FirstToken.P99,
				class.TokenGap.P50, class.TokenGap.P95, class.TokenGap.P99, class.Resumes)
		}
	}
	_ = table.Flush()
	report.printOutcomes(w)
	for _, slowdown := range report.Slowdowns {
		fmt.Fprintf(w, "slowdown of %s with the background: p50 %.2fx, p95 %.2fx, p99 %.2fx\n",
			slowdown.Class, slowdown.P50, slowdown.P95, slowdown.P99)
	}
	check := report.Check
	fmt.Fprintf(w, "lost %d, late %d, doubled tokens %d, missing tokens %d, foreign tokens %d, keys run twice %d, run though said not to be %d\n",
		check.Lost, check.Late, check.Doubled, check.Missing, check.Foreign, check.Repeated, check.RunAfterAll)
	if check.Unverified {
		fmt.Fprintln(w, "what really ran is not verified: the stand-ins gave no record")
	}
}

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
