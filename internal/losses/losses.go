// Package losses analyses the logs of all VMs: it reports which requests were not
// served in time, when, and why.
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

// Group has the requests of all routes with the same kind and objective.
type Group struct {
	Kind      catalog.Kind
	Objective time.Duration
}

// String returns the group's name in tables.
func (group Group) String() string {
	return fmt.Sprintf("%s %v", group.Kind, group.Objective)
}

func groupOf(request *Request) Group {
	return Group{Kind: request.Kind, Objective: request.Objective}
}

func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Objective, b.Objective))
}

// Report has all requests and their outcomes.
type Report struct {
	// requests are in the order of arrival, and not empty. The first one arrived at start.
	requests []*Request
	start    time.Time
}

// New returns the report on the requests in the lines. It is an error if there are none.
func New(lines []logread.Line) (*Report, error) {
	requests := collectRequests(lines)
	if len(requests) == 0 {
		return nil, errors.New("losses: no line belongs to a request")
	}
	return &Report{requests: requests, start: requests[0].Arrived}, nil
}

// second returns the second, counted from the first arrival, in which a request arrived.
func (report *Report) second(request *Request) int {
	return int(request.Arrived.Sub(report.start) / time.Second)
}

// groups returns the groups in the order of tables, and the requests of each.
func (report *Report) groups() ([]Group, map[Group][]*Request) {
	byGroup := make(map[Group][]*Request)
	for _, request := range report.requests {
		group := groupOf(request)
		byGroup[group] = append(byGroup[group], request)
	}
	return slices.SortedFunc(maps.Keys(byGroup), compareGroups), byGroup
}

func countCauses(requests []*Request) map[Cause]int {
	counts := make(map[Cause]int)
	for _, request := range requests {
		counts[request.Cause]++
	}
	return counts
}

// Write prints three tables: all requests by group and cause, streams by organisation, and requests not served in time by
// second, group and cause.
func (report *Report) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	groups, byGroup := report.groups()
	fmt.Fprintln(table, "requests\tcause\tcount\tpart\tlater than predicted\tothers beside\ttokens\t")
	for _, group := range groups {
		writeGroup(table, group, byGroup[group])
	}
	fmt.Fprintln(table)
	report.writeOrganisations(table)
	report.writeSeconds(table, groups)
	return errors.Wrap(table.Flush(), "losses")
}

func writeGroup(table io.Writer, group Group, requests []*Request) {
	counts := countCauses(requests)
	for _, cause := range Causes() {
		if counts[cause] == 0 {
			continue
		}
		matching := slices.DeleteFunc(slices.Clone(requests), func(request *Request) bool { return request.Cause != cause })
		fmt.Fprintf(table, "%v\t%s\t%d\t%.3f\t%v\t%.1f\t%.0f\t\n", group, cause, len(matching),
			float64(len(matching))/float64(len(requests)),
			time.Duration(mean(matching, func(request *Request) float64 { return float64(request.TTFTExcess) })).Round(time.Millisecond),
			mean(matching, func(request *Request) float64 { return float64(request.ConcurrentPrefills) }),
			mean(matching, func(request *Request) float64 { return float64(request.Tokens) }))
	}
}

func mean(requests []*Request, value func(*Request) float64) float64 {
	sum := 0.0
	for _, request := range requests {
		sum += value(request)
	}
	return sum / float64(len(requests))
}

// lossKey identifies a row of the table of losses by second.
type lossKey struct {
	second int
	group  Group
	cause  Cause
}

// writeSeconds prints the number of losses by second, group and cause. Rows with none are omitted.
func (report *Report) writeSeconds(table io.Writer, groups []Group) {
	lost := make(map[lossKey]int)
	lastSecond := 0
	for _, request := range report.requests {
		if !request.Cause.lost() {
			continue
		}
		lastSecond = report.second(request)
		lost[lossKey{second: lastSecond, group: groupOf(request), cause: request.Cause}]++
	}
	fmt.Fprintln(table, "second\trequests\tcause\tcount\t")
	for second := range lastSecond + 1 {
		for _, group := range groups {
			for _, cause := range Causes() {
				if losses := lost[lossKey{second: second, group: group, cause: cause}]; losses > 0 {
					fmt.Fprintf(table, "%d\t%v\t%s\t%d\t\n", second, group, cause, losses)
				}
			}
		}
	}
}
