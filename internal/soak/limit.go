package soak

import (
	"slices"
	"time"
)

// Bounds on what reaches a server that names a limit, as the platform has them.
const (
	// limitNotice is the time from its first word until the limit must be heeded, and toldNotice the time after which a VM
	// that was told is counted.
	limitNotice = 3 * time.Second
	toldNotice  = 500 * time.Millisecond
	// limitWindow is the time over which requests are counted, limitTimes the multiple of what the limit allows in it, and
	// limitSlack how many more may come.
	limitWindow = 4 * time.Second
	limitTimes  = 1.5
	limitSlack  = 5
)

// counted is a request at a server that names a limit.
type counted struct {
	arrived

	vm string
}

// checkLimits looks at requests that reached servers while they named limits, from all VMs that they had told.
func (evidence *evidence) checkLimits(pairs map[pair][]arrived, add addFunc) {
	byServer := make(map[string][]counted)
	for pair, all := range pairs {
		for _, one := range all {
			byServer[pair.instance] = append(byServer[pair.instance], counted{arrived: one, vm: pair.vm})
		}
	}
	for instance, all := range byServer {
		slices.SortFunc(all, func(a, b counted) int { return a.At.Compare(b.At) })
		for _, span := range limitedSpans(all) {
			evidence.checkLimit(instance, span, add)
		}
	}
}

// limitedSpans returns the requests between which a server named a limit all the time.
func limitedSpans(all []counted) [][]counted {
	var spans [][]counted
	from := 0
	for at := range all {
		if !all[at].RateLimited {
			from = at + 1
			continue
		}
		if at+1 == len(all) || !all[at+1].RateLimited {
			spans = append(spans, all[from:at+1])
		}
	}
	return spans
}

// checkLimit looks at the requests of one span.
func (evidence *evidence) checkLimit(instance string, span []counted, add addFunc) {
	told := make(map[string]time.Time)
	var first time.Time
	for _, one := range span {
		passedOn := one.outcome.answered() && one.outcome.Seal == instance
		if _, known := told[one.vm]; passedOn && !known {
			told[one.vm] = one.outcome.Ended
		}
		if passedOn && (first.IsZero() || one.outcome.Ended.Before(first)) {
			first = one.outcome.Ended
		}
	}
	if first.IsZero() {
		return
	}
	for at, one := range span {
		from := one.At
		if from.Before(first.Add(limitNotice)) {
			continue
		}
		count, limit := evidence.countWindow(span, at, told)
		allowed := int(limitTimes*limit*limitWindow.Seconds()) + limitSlack
		if count > allowed && !evidence.linkStruck(from.Add(-limitNotice), from.Add(limitWindow)) {
			add(PromiseLimit, "%d requests reached %s in %s, allowed %d by %v a second", count, instance, limitWindow, allowed, limit)
			return
		}
	}
}

// countWindow returns how many requests of VMs that had been told came in the window that begins with one, and the greatest
// limit that counts in it.
func (evidence *evidence) countWindow(span []counted, first int, told map[string]time.Time) (count int, greatest float64) {
	from := span[first].At
	to := from.Add(limitWindow)
	for _, one := range span {
		if one.At.Before(from.Add(-limitNotice)) || !one.At.Before(to) {
			continue
		}
		greatest = max(greatest, one.RateLimit)
		toldAt, known := told[one.vm]
		isTold := known && one.At.After(toldAt.Add(toldNotice))
		if isTold && !one.At.Before(from) && !evidence.paused(one.vm, from.Add(-limitNotice), to) {
			count++
		}
	}
	return count, greatest
}
