package gateway

import (
	"context"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// place waits for servers with room, and takes them. It reports false when ctx
// ended first, or when the request is given up.
func (run *run) place(ctx context.Context) (placement.Plan, *pool.Use, bool) {
	asked := run.gateway.now()
	plan, use, placed := run.placeElsewhere(ctx)
	now := run.gateway.now()
	if !placed {
		run.account.waited += now.Sub(asked)
		run.gateway.logger.Info("not placed", "request_id", run.head.ID, "tried", run.tried,
			"waited", now.Sub(asked), "held_enough", run.heldEnough())
		return placement.Plan{}, nil, false
	}
	run.account.place(now.Sub(asked), now.Sub(run.arrived), plan.Predicted)
	run.logPlan(plan, now.Sub(asked))
	return plan, use, true
}

// look asks the policy once by what this VM knows itself, and takes the servers that it names.
func (run *run) look() (placement.Plan, *pool.Use, bool) {
	gateway := run.gateway
	servers := placement.In(gateway.open(run.service, run.tried), run.keptTo)
	if len(servers) == 0 {
		run.tried = nil // all failed once: any may do better now
	}
	request := run.placementRequest()
	plan, ok := gateway.policy.Place(servers, request)
	if !ok {
		return placement.Plan{}, nil, false
	}
	use, within := gateway.pool.StartWithin(plan, request)
	return plan, use, within
}

// waitForRoom waits until a server may have room, or for a moment. It reports false
// when ctx ended.
func (run *run) waitForRoom(ctx context.Context, changed <-chan struct{}) bool {
	look := time.NewTimer(run.gateway.settings.Request.Look)
	defer look.Stop()
	select {
	case <-changed:
	case <-look.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// heldEnough reports whether a request that no server has seen is given up: its
// caller has time left then to come back, and its place in the queue is free.
func (run *run) heldEnough() bool {
	return run.sends == 0 && run.gateway.now().After(run.heldUntil())
}

// open returns the servers that may get a request, with what this VM itself has
// there. None of them is one that was tried, or that wants nothing from this VM now.
func (gateway *Gateway) open(service *catalog.Service, tried []string) []placement.Server {
	servers := placement.Without(gateway.pool.Open(service, tried), gateway.pool.Resting(gateway.site.VM))
	for i := range servers {
		servers[i].Connected = gateway.upstream.Kept(servers[i].Address)
	}
	return servers
}

func (run *run) logPlan(plan placement.Plan, waited time.Duration) {
	helpers := make([]string, 0, len(plan.Helpers))
	for _, helper := range plan.Helpers {
		helpers = append(helpers, helper.ID)
	}
	run.gateway.logger.Info("placed", "request_id", run.head.ID, "send", run.sends, "route", run.route.Name,
		"tokens", run.tokens(), "server", plan.Server.ID, "helpers", helpers, "reason", plan.Reason,
		"predicted", plan.Predicted, "part", plan.Part, "backlog", plan.Server.Backlog,
		"running", plan.Server.Running, "tight", plan.Server.Tight, "memory_free", plan.Server.MemoryFree,
		"waited", waited)
}

// placementRequest describes the request to the policy.
func (run *run) placementRequest() placement.Request {
	request := placement.Request{
		DataCentre:  run.gateway.site.DataCentre,
		Gap:         run.route.Gap,
		ShortestGap: run.service.ShortestGap,
		Objective:   run.route.Objective,
		Stays:       run.leaves().Sub(run.gateway.now()),
		Seed:        run.seed + uint64(run.sends), //nolint:gosec // a small count
	}
	if run.head.Prompt != nil {
		request.Engine = run.service.Engine
		request.Tokens = run.head.Prompt.Tokens
		request.Memory = run.head.Prompt.Tokens + run.head.Prompt.MaxTokens
	}
	request.Left = run.due(request.Tight()).Sub(run.gateway.now())
	return request
}

// tokens is the length of the prompt, or zero without one.
func (admitted *admitted) tokens() int {
	if admitted.head.Prompt == nil {
		return 0
	}
	return admitted.head.Prompt.Tokens
}

// Silence after which callers leave a stream, as the users state it: the
// longest of three.
const (
	staysMin            = 2 * time.Second
	staysObjectiveTimes = 4
	staysGapTimes       = 8
)

// due is when the next event is in time: the first one within the objective, and each other one
// within the pause after the one before it. So a stream that broke off goes before new
// requests while its pause can still be kept, and after them when it can't. The objective of
// a tight request counts from its caller's first try. That of others counts from this one:
// they are few, and to let them yield leaves them without servers until the next fault.
func (run *run) due(tight bool) time.Time {
	switch {
	case !run.account.last.IsZero():
		return run.account.last.Add(run.route.Gap)
	case tight:
		return run.since.Add(run.route.Objective)
	default:
		return run.arrived.Add(run.route.Objective)
	}
}

// leaves is when the caller leaves unless an event comes before.
func (run *run) leaves() time.Time {
	since := run.arrived
	if !run.account.last.IsZero() {
		since = run.account.last
	}
	until := since.Add(max(staysMin, staysObjectiveTimes*run.route.Objective, staysGapTimes*run.route.Gap))
	if run.deadline.Before(until) {
		return run.deadline
	}
	return until
}
