package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// placeElsewhere lets the VM that decides for all choose servers. While none can be
// asked it looks by what this VM knows itself, which is its own requests.
func (run *run) placeElsewhere(ctx context.Context) (placement.Plan, *pool.Use, bool) {
	gateway := run.gateway
	if until := run.heldUntil(); until.Before(run.deadline) { // else ctx ends then, and tells why
		bounded, cancel := context.WithTimeout(ctx, until.Sub(gateway.now()))
		defer cancel()
		ctx = bounded
	}
	for !run.hopeless() {
		changed := gateway.pool.Changed()
		plan, use, placed := run.ask(ctx)
		run.granted = placed
		if !placed && !run.refused && ctx.Err() == nil {
			plan, use, placed = run.look()
		}
		if placed {
			return plan, use, true
		}
		if run.refused || !run.waitForRoom(ctx, changed) {
			break
		}
	}
	return placement.Plan{}, nil, false
}

// ask asks for servers until there are some that this VM knows too.
func (run *run) ask(ctx context.Context) (placement.Plan, *pool.Use, bool) {
	gateway := run.gateway
	for ctx.Err() == nil {
		id := gateway.pool.ReserveID()
		counted := run.asked
		run.asked = true
		answer, placed := gateway.coordinator.Place(ctx, id, func() dispatch.Ask { return run.newAsk(id, counted) })
		run.refused = placed && answer.Decision == dispatch.DecisionRefused
		switch {
		case run.refused && run.hopeless():
		case run.refused && answer.Return > 0:
			run.givenUp = givenUp{reason: ReasonLimited, until: gateway.now().Add(answer.Return)}
		case run.refused && run.sends > 0:
			run.givenUp = givenUp{reason: ReasonRefused}
		}
		if !placed || run.refused {
			return placement.Plan{}, nil, false
		}
		servers, missing := gateway.pool.Find(run.service.Name, run.keptTo, answer.Servers)
		if len(missing) == 0 {
			if answer.Limited {
				gateway.pool.WatchLimit(servers[0].ID)
			}
			plan := planOf(answer, servers)
			return plan, gateway.pool.StartAs(id, plan, run.placementRequest()), true
		}
		// The VM that decided does not know yet that one of them leaves, or this one does
		// not know it yet: others will do.
		gateway.coordinator.Withdraw(id)
		gateway.logger.Info("servers not known", "request_id", run.head.ID, "servers", missing)
		if slices.Contains(run.tried, missing[0]) {
			return placement.Plan{}, nil, false // it has no others
		}
		run.tried = append(run.tried, missing...)
	}
	return placement.Plan{}, nil, false
}

// newAsk describes the request to the VM that decides. Counted says that it was asked for before.
func (run *run) newAsk(id uint64, counted bool) dispatch.Ask {
	request := run.placementRequest()
	return dispatch.Ask{
		ID: id, Service: run.service.Name, Tokens: request.Tokens, Memory: request.Memory,
		Gap: request.Gap, Objective: request.Objective, Due: request.Left, Stays: request.Stays,
		DataCentre: request.DataCentre, Tried: run.tried, KeptTo: run.keptTo, Again: run.arrivals > 0 && run.gateway.retriesGranted(),
		Counted: counted,
	}
}

// planOf returns the plan that an answer tells, over the servers that it names.
func planOf(answer dispatch.Answer, servers []placement.Server) placement.Plan {
	return placement.Plan{
		Server: servers[0], Helpers: servers[1:], Part: answer.Part, Shares: answer.Shares,
		Predicted: answer.Predicted, Tight: answer.Tight, Reason: placement.Reason(answer.Reason),
	}
}

// heldUntil is until when a request is held that no server has seen: one that takes turns
// as the settings say, a tight one while its caller could still see an event. So the queue
// and the bodies that are kept for it are bounded, and its caller is told in time to return.
func (run *run) heldUntil() time.Time {
	request := run.placementRequest()
	if run.sends > 0 || request.Engine == nil || request.Gap == 0 {
		return run.deadline
	}
	if request.Tight() {
		return run.leaves().Add(-request.Least())
	}
	settings := run.gateway.settings.Request
	return run.arrived.Add(settings.LastLook + time.Duration(min(
		settings.HoldObjectives*float64(run.route.Objective),
		settings.HoldPart*float64(run.deadline.Sub(run.arrived)),
	)))
}
