package gateway

import (
	"context"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// place waits for servers with capacity and claims it. It reports false when ctx ended
// first or the request is rejected.
func (forwarder *forwarder) place(ctx context.Context) (placement.Plan, *pool.ActiveRequest, bool) {
	startedAt := forwarder.gateway.now()
	plan, activeRequest, placed := forwarder.placeByCoordinator(ctx)
	now := forwarder.gateway.now()
	if !placed {
		forwarder.timings.waited += now.Sub(startedAt)
		forwarder.gateway.logger.Info("no server available for the request", "request_id", forwarder.head.ID, "tried", forwarder.triedServers,
			"waited", now.Sub(startedAt), "held_enough", forwarder.queueTimeExpired())
		return placement.Plan{}, nil, false
	}
	forwarder.timings.place(now.Sub(startedAt), now.Sub(forwarder.arrivedAt), plan.PredictedTTFT)
	forwarder.logPlan(plan, now.Sub(startedAt))
	return plan, activeRequest, true
}

// placeLocally places the request by the state of this VM alone and claims capacity at the chosen
// servers. It reports false if no server has capacity.
func (forwarder *forwarder) placeLocally() (placement.Plan, *pool.ActiveRequest, bool) {
	gateway := forwarder.gateway
	servers := placement.InDataCentres(gateway.availableServers(forwarder.service, forwarder.triedServers), forwarder.allowedDataCentres)
	if len(servers) == 0 {
		forwarder.triedServers = nil // every server failed once, so all are eligible again
	}
	request := forwarder.placementRequest()
	if forwarder.overLocalShare(request) {
		return placement.Plan{}, nil, false
	}
	plan, ok := gateway.policy.Place(servers, request)
	if !ok {
		return placement.Plan{}, nil, false
	}
	activeRequest, claimed := gateway.pool.StartWithinLimits(plan, request)
	return plan, activeRequest, claimed
}

// waitForCapacity waits until server capacity may have changed, at most for the interval of the
// settings. It reports false when ctx ended.
func (forwarder *forwarder) waitForCapacity(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(forwarder.gateway.settings.Request.PlacementInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// queueTimeExpired reports whether a request that no server has received has been queued for as
// long as allowed. It is then rejected, so that the caller has time left to retry and the queue is
// freed for others.
func (forwarder *forwarder) queueTimeExpired() bool {
	return forwarder.sends == 0 && forwarder.gateway.now().After(forwarder.queueDeadline())
}

// availableServers returns the servers that may get a request, and marks those to which this VM has
// an idle connection. It excludes servers that were tried and servers that requested backoff from
// this VM.
func (gateway *Gateway) availableServers(service *catalog.Service, tried []string) []placement.Server {
	servers := placement.WithoutIDs(gateway.pool.Eligible(service, tried), gateway.pool.BackoffServers(gateway.site.VM))
	for i := range servers {
		servers[i].Connected = gateway.upstream.HasIdle(servers[i].Address)
	}
	return servers
}

func (forwarder *forwarder) logPlan(plan placement.Plan, waited time.Duration) {
	helpers := make([]string, 0, len(plan.Helpers))
	for _, helper := range plan.Helpers {
		helpers = append(helpers, helper.ID)
	}
	forwarder.gateway.logger.Info("placed", "request_id", forwarder.head.ID, "send", forwarder.sends, "route", forwarder.route.Name,
		"tokens", forwarder.promptTokens(), "server", plan.Server.ID, "helpers", helpers, "reason", plan.Reason,
		"predicted", plan.PredictedTTFT, "part", plan.PrefillPerServer, "backlog", plan.Server.Backlog,
		"running", plan.Server.Running, "tight", plan.Server.Packable, "memory_free", plan.Server.MemoryFree,
		"waited", waited)
}

// placementRequest returns the request in the form that placement policies evaluate.
func (forwarder *forwarder) placementRequest() placement.Request {
	request := placement.Request{
		DataCentre:                  forwarder.gateway.site.DataCentre,
		Organisation:                fairshare.Of(forwarder.organisationName()),
		InterTokenObjective:         forwarder.route.InterTokenObjective,
		ShortestInterTokenObjective: forwarder.service.ShortestInterTokenObjective,
		Objective:                   forwarder.route.Objective,
		TimeToCallerDeadline:        forwarder.callerDisconnectsAt().Sub(forwarder.gateway.now()),
		Seed:                        forwarder.seed + uint64(forwarder.sends), //nolint:gosec // never negative
	}
	if forwarder.head.Prompt != nil {
		request.Engine = forwarder.service.Engine
		request.Tokens = forwarder.head.Prompt.Tokens
		request.Memory = forwarder.head.Prompt.Tokens + forwarder.head.Prompt.MaxTokens
	}
	request.TimeToObjective = forwarder.nextEventDeadline(request.Packable()).Sub(forwarder.gateway.now())
	return request
}

// promptTokens returns the length of the prompt in tokens, or zero without a prompt.
func (admitted *admitted) promptTokens() int {
	if admitted.head.Prompt == nil {
		return 0
	}
	return admitted.head.Prompt.Tokens
}

// Callers abandon a stream after the longest of these three times without an event, as the users
// state it: a minimum, a multiple of the objective and a multiple of the inter-token objective.
const (
	callerTimeoutMin                  = 2 * time.Second
	callerTimeoutObjectives           = 4
	callerTimeoutInterTokenObjectives = 8
)

// nextEventDeadline returns the deadline of the next event: the first event is due within the
// objective, and each further one within the inter-token objective after the one before it. An
// interrupted stream therefore takes precedence over new requests while its next event can still be
// in time, and yields to them afterwards. The objective of a packable request counts from its
// caller's first try. For other requests it counts from the current try: they are few, and with a
// lower precedence they would get no servers until the next fault.
func (forwarder *forwarder) nextEventDeadline(packable bool) time.Time {
	switch {
	case !forwarder.timings.lastEventAt.IsZero():
		return forwarder.timings.lastEventAt.Add(forwarder.route.InterTokenObjective)
	case packable:
		return forwarder.firstTriedAt.Add(forwarder.route.Objective)
	default:
		return forwarder.arrivedAt.Add(forwarder.route.Objective)
	}
}

// callerDisconnectsAt returns when the caller disconnects unless it receives an event before.
func (forwarder *forwarder) callerDisconnectsAt() time.Time {
	since := forwarder.arrivedAt
	if !forwarder.timings.lastEventAt.IsZero() {
		since = forwarder.timings.lastEventAt
	}
	until := since.Add(max(callerTimeoutMin, callerTimeoutObjectives*forwarder.route.Objective, callerTimeoutInterTokenObjectives*forwarder.route.InterTokenObjective))
	if forwarder.deadline.Before(until) {
		return forwarder.deadline
	}
	return until
}
