// Package losses tells from the logs of all VMs which requests were not served
// in time, when, and why.
package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/logread"
)

// Group is a kind of request: those of routes with the same kind and objective.
type Group struct {
	Kind      catalog.Kind
	Objective time.Duration
}

// String names the group for tables.
func (group Group) String() string {
	return fmt.Sprintf("%s %v", group.Kind, group.Objective)
}

func groupOf(request *Request) Group {
	return Group{Kind: request.Kind, Objective: request.Objective}
}

func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Objective, b.Objective))
}

// Report is what became of all requests.
type Report struct {
	// requests are in the order of arrival, and start is when the first one arrived.
	requests []*Request
	start    time.Time
}

// New returns the report on the requests that lines tell of.
func New(lines []logread.Line) (*Report, error) {
	requests := collect(lines)
	if len(requests) == 0 {
		return nil, errors.New("losses: no line tells of a request")
	}
	return &Report{requests: requests, start: requests[0].Arrived}, nil
}

// second returns in which second a request arrived.
func (report *Report) second(request *Request) int {
	return int(request.Arrived.Sub(report.start) / time.Second)
}

// groups returns the groups in the order in which tables show them, and the
// requests of each.
func (report *Report) groups() ([]Group, map[Group][]*Request) {
	byGroup := make(map[Group][]*Request)
	for _, request := range report.requests {
		group := groupOf(request)
		byGroup[group] = append(byGroup[group], request)
	}
	return slices.SortedFunc(maps.Keys(byGroup), compareGroups), byGroup
}

func count(requests []*Request) map[Cause]int {
	counts := make(map[Cause]int)
	for _, request := range requests {
		counts[request.Cause]++
	}
	return counts
}

// Write prints what became of requests by group, and what was lost by second.
func (report *Report) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	groups, byGroup := report.groups()
	fmt.Fprintln(table, "requests\tcause\tcount\tpart\tlater than predicted\tothers beside\ttokens\t")
	for _, group := range groups {
		writeGroup(table, group, byGroup[group])
	}
	fmt.Fprintln(table)
	report.writeSeconds(table, groups)
	return errors.Wrap(table.Flush(), "losses")
}

func writeGroup(table io.Writer, group Group, requests []*Request) {
	counts := count(requests)
	for _, cause := range Causes() {
		if counts[cause] == 0 {
			continue
		}
		those := slices.DeleteFunc(slices.Clone(requests), func(request *Request) bool { return request.Cause != cause })
		fmt.Fprintf(table, "%v\t%s\t%d\t%.3f\t%v\t%.1f\t%.0f\t\n", group, cause, len(those),
			float64(len(those))/float64(len(requests)),
			time.Duration(mean(those, func(request *Request) float64 { return float64(request.Excess) })).Round(time.Millisecond),
			mean(those, func(request *Request) float64 { return float64(request.Beside) }),
			mean(those, func(request *Request) float64 { return float64(request.Tokens) }))
	}
}

func mean(requests []*Request, value func(*Request) float64) float64 {
	sum := 0.0
	for _, request := range requests {
		sum += value(request)
	}
	return sum / float64(len(requests))
}

// lossKey is where a lost request counts.
type lossKey struct {
	second int
	group  Group
	cause  Cause
}

// writeSeconds prints for each second the causes of what was lost in each group.
func (report *Report) writeSeconds(table io.Writer, groups []Group) {
	lost := make(map[lossKey]int)
	last := 0
	for _, request := range report.requests {
		if !request.Cause.lost() {
			continue
		}
		last = report.second(request)
		lost[lossKey{second: last, group: groupOf(request), cause: request.Cause}]++
	}
	fmt.Fprintln(table, "second\trequests\tcause\tcount\t")
	for second := range last + 1 {
		for _, group := range groups {
			for _, cause := range Causes() {
				if counted := lost[lossKey{second: second, group: group, cause: cause}]; counted > 0 {
					fmt.Fprintf(table, "%d\t%v\t%s\t%d\t\n", second, group, cause, counted)
				}
			}
		}
	}
}
