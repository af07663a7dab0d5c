package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// placeByCoordinator requests a placement from the coordinator. While no coordinator responds it
// places the request itself, with only the requests of this VM counted as load.
func (forwarder *forwarder) placeByCoordinator(ctx context.Context) (placement.Plan, *pool.ActiveRequest, bool) {
	gateway := forwarder.gateway
	if until := forwarder.queueDeadline(); until.Before(forwarder.deadline) { // otherwise ctx ends first, with the cause of that
		queueCtx, cancel := context.WithTimeout(ctx, until.Sub(gateway.now()))
		defer cancel()
		ctx = queueCtx
	}
	for !forwarder.cannotBePlaced() {
		changed := gateway.pool.Changed()
		if !forwarder.startContained() {
			if !forwarder.waitForCapacity(ctx, changed) {
				break
			}
			continue
		}
		plan, activeRequest, placed := forwarder.requestPlacement(ctx)
		forwarder.retryGranted = placed
		if !placed && !forwarder.placementRefused && ctx.Err() == nil {
			plan, activeRequest, placed = forwarder.placeLocally()
		}
		if placed {
			return plan, activeRequest, true
		}
		if forwarder.placementRefused || !forwarder.waitForCapacity(ctx, changed) {
			break
		}
	}
	return placement.Plan{}, nil, false
}

// requestPlacement requests placements from the coordinator until it returns one whose servers are
// all in this VM's pool.
func (forwarder *forwarder) requestPlacement(ctx context.Context) (placement.Plan, *pool.ActiveRequest, bool) {
	gateway := forwarder.gateway
	for ctx.Err() == nil {
		id := gateway.pool.ReserveID()
		alreadyCounted := forwarder.placementRequested
		forwarder.placementRequested = true
		response, placed := gateway.coordinator.Place(ctx, id, func() dispatch.AssignmentRequest { return forwarder.coordinatorRequest(id, alreadyCounted) })
		forwarder.placementRefused = placed && response.Decision == dispatch.DecisionRefused
		if forwarder.placementRefused && !forwarder.cannotBePlaced() {
			forwarder.recordRefusal(response)
		}
		if !placed || forwarder.placementRefused {
			return placement.Plan{}, nil, false
		}
		servers, missing := gateway.pool.Find(forwarder.service.Name, forwarder.allowedDataCentres, response.Servers)
		if len(missing) == 0 {
			if response.RateLimited {
				gateway.pool.WatchRateLimit(servers[0].ID)
			}
			plan := planFromResponse(response, servers)
			return plan, gateway.pool.StartWithID(id, plan, forwarder.placementRequest()), true
		}
		// Either the coordinator has not recorded yet that a server is draining, or this VM's pool
		// does not include a new server yet. Another placement is requested without the missing
		// servers.
		gateway.coordinator.ReleaseAssignment(id)
		gateway.logger.Info("coordinator chose servers that are not in the pool", "request_id", forwarder.head.ID, "servers", missing)
		if slices.Contains(forwarder.triedServers, missing[0]) {
			return placement.Plan{}, nil, false // the coordinator has no other servers
		}
		forwarder.triedServers = append(forwarder.triedServers, missing...)
	}
	return placement.Plan{}, nil, false
}

// recordRefusal records why the coordinator refused the request, as far as its response says.
func (forwarder *forwarder) recordRefusal(response dispatch.AssignmentResponse) {
	until := forwarder.gateway.now().Add(response.RetryAfter)
	switch {
	case response.ShareRatio > 0:
		forwarder.rejection = rejection{reason: ReasonOrganisationOverShare, until: until}
		forwarder.gateway.logger.Info("refused: the organisation uses more than its share", "request_id", forwarder.head.ID,
			"organisation", forwarder.organisationName(), "priority", forwarder.priority(), "times_its_share", response.ShareRatio,
			"retry_after", response.RetryAfter)
	case response.RetryAfter > 0:
		forwarder.rejection = rejection{reason: ReasonServersRateLimited, until: until}
	case forwarder.sends > 0:
		forwarder.rejection = rejection{reason: ReasonServersRefused}
	}
}

// coordinatorRequest returns the placement request for the coordinator. alreadyCounted is true when
// the coordinator has counted the request for the retry budget before.
func (forwarder *forwarder) coordinatorRequest(id uint64, alreadyCounted bool) dispatch.AssignmentRequest {
	request := forwarder.placementRequest()
	return dispatch.AssignmentRequest{
		ID: id, Service: forwarder.service.Name, Tokens: request.Tokens, Memory: request.Memory,
		InterTokenObjective: request.InterTokenObjective, Objective: request.Objective, TimeToObjective: request.TimeToObjective, TimeToCallerDeadline: request.TimeToCallerDeadline,
		DataCentre: request.DataCentre, Tried: forwarder.triedServers, AllowedDataCentres: forwarder.allowedDataCentres, Retry: forwarder.deliveries > 0 && forwarder.gateway.coordinatorGrantsRetries(),
		Counted: alreadyCounted, Organisation: request.Organisation, Priority: forwarder.priority(),
		Contained: forwarder.gateway.quarantine.Contained(forwarder.allFingerprints...),
	}
}

// planFromResponse returns the plan of the coordinator's decision, over the servers that it names.
func planFromResponse(response dispatch.AssignmentResponse, servers []placement.Server) placement.Plan {
	return placement.Plan{
		Server: servers[0], Helpers: servers[1:], PrefillPerServer: response.PrefillPerServer, MemoryShares: response.MemoryShares,
		PredictedTTFT: response.PredictedTTFT, Packable: response.Packable, Reason: placement.Reason(response.Reason),
	}
}

// queueDeadline returns until when a request is queued. A plain request, or one that was already
// sent to a server, is queued until its deadline. Any other request is queued as long as the
// settings allow, or, if it is packable (see placement.Request.Packable), while its caller could
// still receive an event in time. This bounds the queue and the memory for its bodies, and leaves
// the caller time to retry.
func (forwarder *forwarder) queueDeadline() time.Time {
	request := forwarder.placementRequest()
	if forwarder.sends > 0 || request.Engine == nil || request.InterTokenObjective == 0 {
		return forwarder.deadline
	}
	if request.Packable() {
		return forwarder.callerDisconnectsAt().Add(-request.MinTTFT())
	}
	settings := forwarder.gateway.settings.Request
	return forwarder.arrivedAt.Add(settings.QueueTimeExtra + time.Duration(min(
		settings.QueueTimeObjectives*float64(forwarder.route.Objective),
		settings.QueueTimeFraction*float64(forwarder.deadline.Sub(forwarder.arrivedAt)),
	)))
}
