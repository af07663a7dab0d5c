package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/mastwinch/mastwinch/internal/catalog"
)

// listedOrganisations is the number of organisations with a row of their own. The others are added
// up.
const listedOrganisations = 8

// organisationTotals has the streams of one or more organisations.
type organisationTotals struct {
	name string
	// asked, inTime and refused count streams, refused those beyond the organisation's share.
	asked, inTime, refused int
	// tokens and tokensInTime are the lengths of their prompts.
	tokens, tokensInTime int
}

func (totals *organisationTotals) add(request *Request) {
	totals.asked++
	totals.tokens += request.Tokens
	switch request.Cause {
	case CauseInTime:
		totals.inTime++
		totals.tokensInTime += request.Tokens
	case CauseOverShare:
		totals.refused++
	}
}

func (totals *organisationTotals) addAll(other organisationTotals) {
	totals.asked += other.asked
	totals.inTime += other.inTime
	totals.refused += other.refused
	totals.tokens += other.tokens
	totals.tokensInTime += other.tokensInTime
}

// organisations returns the totals of streams by organisation, those with the most tokens first.
func (report *Report) organisations() []organisationTotals {
	byName := make(map[string]*organisationTotals)
	for _, request := range report.requests {
		if request.Kind != catalog.KindStream || !request.Cause.lost() && request.Cause != CauseInTime {
			continue
		}
		totals := byName[request.Organisation]
		if totals == nil {
			totals = &organisationTotals{name: request.Organisation}
			byName[request.Organisation] = totals
		}
		totals.add(request)
	}
	list := make([]organisationTotals, 0, len(byName))
	for _, totals := range byName {
		list = append(list, *totals)
	}
	slices.SortFunc(list, func(a, b organisationTotals) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.name, b.name))
	})
	return list
}

// writeOrganisations prints the streams by organisation: how many were asked for, in time and
// refused since the organisation had used up its share, and which fraction of all prompt tokens they
// are. It prints nothing if no organisation is known.
func (report *Report) writeOrganisations(table io.Writer) {
	list := report.organisations()
	if !slices.ContainsFunc(list, func(totals organisationTotals) bool { return totals.name != "" }) {
		return
	}
	all, others := organisationTotals{}, organisationTotals{name: "all others"}
	for index, totals := range list {
		all.addAll(totals)
		if index >= listedOrganisations {
			others.addAll(totals)
		}
	}
	listed := slices.Clone(list[:min(len(list), listedOrganisations)])
	if others.asked > 0 {
		listed = append(listed, others)
	}
	fmt.Fprintln(table, "organisation\tstreams\twithin objective\tbeyond its share\tfraction of all tokens\ttokens within objective\t")
	for _, totals := range listed {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%d\t%.3f\t%.3f\t\n", cmp.Or(totals.name, "none"), totals.asked,
			fraction(totals.inTime, totals.asked), totals.refused, fraction(totals.tokens, all.tokens), fraction(totals.tokensInTime, totals.tokens))
	}
	fmt.Fprintln(table)
}

// fraction returns share / whole, or zero if the whole is zero.
func fraction(share, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(share) / float64(whole)
}
