package gateway

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/call"
)

// Upper limits of the objective for each urgency.
const (
	highUrgencyObjective   = 500 * time.Millisecond
	normalUrgencyObjective = 2 * time.Second
)

// urgency returns the priority of the request at an engine: that of its route, or one derived from
// its objective where all routes to the service have the same priority. The organisation's own
// priority raises or lowers it by the difference to the route's.
func (forwarder *forwarder) urgency() call.Urgency {
	if forwarder.head.Prompt == nil {
		return call.UrgencyNone
	}
	urgency := urgencyOfObjective(forwarder.route.Objective)
	if first, last := forwarder.service.FirstPriority, forwarder.service.LastPriority; first != last {
		urgency = call.UrgencyHigh + call.Urgency(forwarder.route.Priority-first)
	}
	urgency += call.Urgency(forwarder.priority() - forwarder.route.Priority)
	return min(call.UrgencyLow, max(call.UrgencyHigh, urgency))
}

func urgencyOfObjective(objective time.Duration) call.Urgency {
	switch {
	case objective <= highUrgencyObjective:
		return call.UrgencyHigh
	case objective <= normalUrgencyObjective:
		return call.UrgencyNormal
	default:
		return call.UrgencyLow
	}
}
