package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/call"
	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/reservation"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// run is the life of one admitted request. It is used by one goroutine.
type run struct {
	*admitted

	gateway *Gateway
	body    []byte
	writer  http.ResponseWriter
	// sends counts the times that the request was sent to a server.
	sends int
	// looks counts the plans that were tried.
	looks int
	// runs counts the servers that may have run the request.
	runs int
	// tried has the servers that failed or refused the request.
	tried []string
	// last is how the last attempt came out.
	last result
	// begun says that the head of an answer was written.
	begun bool
	// lastEvent is the last event that the caller has, or empty.
	lastEvent string
	seed      uint64
}

func newRun(gateway *Gateway, admitted *admitted, body []byte, writer http.ResponseWriter) *run {
	return &run{
		admitted:  admitted,
		gateway:   gateway,
		body:      body,
		writer:    writer,
		lastEvent: admitted.head.LastEvent,
		seed:      rand.Uint64(), //nolint:gosec // no secret
	}
}

// randomFraction returns a number from zero up to one.
func randomFraction() float64 {
	return rand.Float64() //nolint:gosec // no secret
}

// resultKind says how one attempt came out.
type resultKind string

const (
	// resultAnswered: the caller has the whole answer.
	resultAnswered resultKind = "answered"
	// resultNotRun: the server certainly did not run the request.
	resultNotRun resultKind = "not_run"
	// resultUncertain: the server may have run the request, in part or whole.
	resultUncertain resultKind = "uncertain"
	// resultNoMemory: nothing was sent, since memory could not be set aside.
	resultNoMemory resultKind = "no_memory"
	// resultBroken: the answer to the caller was begun and cannot be ended.
	resultBroken resultKind = "broken"
)

// result is how one attempt came out.
type result struct {
	kind   resultKind
	status int
	err    error
	// atFault is the server that failed, if it is not the one asked.
	atFault string
	// closed says that the server takes nothing more.
	closed bool
	// answer is an answer of the server that may be passed on when no other
	// attempt does better.
	answer *plainAnswer
}

// execute sends the request to servers until it has an outcome.
func (run *run) execute(ctx context.Context) outcome {
	budget := run.gateway.budget(run.service.Name)
	budget.Earn()
	for {
		plan, use, ok := run.place(ctx)
		if !ok && ctx.Err() == nil {
			return run.fail(ReasonBusy)
		}
		if !ok {
			return run.interrupted(ctx)
		}
		if run.sends > 0 && !budget.Spend() {
			use.Over()
			return run.fail(ReasonRefused)
		}
		run.looks++
		result := run.attempt(ctx, plan, use)
		if result.kind == resultNoMemory {
			run.gateway.logger.Info("memory not set aside", "request_id", run.head.ID, "look", run.looks, "error", result.err)
			wait.For(ctx, run.gateway.settings.Request.Look)
			continue
		}
		run.sends++
		if final, done := run.conclude(ctx, plan, result); done {
			return final
		}
	}
}

// place waits for servers with room, and takes them. It reports false when ctx
// ended first, or when a request that takes turns was held for long enough.
func (run *run) place(ctx context.Context) (placement.Plan, *pool.Use, bool) {
	gateway := run.gateway
	asked := gateway.now()
	var turn *pool.Turn
	if run.takesTurns() {
		turn = gateway.pool.Wait(run.service.Name, run.arrived.Add(run.route.Objective))
		defer turn.End()
		wait.For(ctx, gateway.settle())
	}
	for {
		changed := gateway.pool.Changed()
		if run.comesNext(ctx, turn) {
			servers := gateway.open(run.service, run.tried)
			if len(servers) == 0 {
				run.tried = nil // all failed once: any may do better now
			}
			plan, ok := gateway.policy.Place(servers, run.placementRequest())
			if ok {
				use := gateway.pool.Start(plan, run.placementRequest())
				if turn == nil || run.keeps(ctx, use) {
					run.logPlan(plan, len(servers), gateway.now().Sub(asked))
					return plan, use, true
				}
				continue
			}
			if turn != nil && run.heldEnough() {
				run.logNotPlaced(asked)
				return placement.Plan{}, nil, false
			}
			if turn != nil {
				turn.Block()
			}
		}
		look := time.NewTimer(gateway.settings.Request.Look)
		select {
		case <-changed:
			look.Stop()
		case <-look.C:
		case <-ctx.Done():
			look.Stop()
			run.logNotPlaced(asked)
			return placement.Plan{}, nil, false
		}
	}
}

// heldEnough reports whether a request that no server has seen is given up: its
// caller has time left then to come back, and its place in the queue is free.
func (run *run) heldEnough() bool {
	held := run.gateway.now().Sub(run.arrived)
	whole := held + run.stays()
	return run.sends == 0 && held > time.Duration(run.gateway.settings.Request.HoldPart*float64(whole))
}

func (run *run) logNotPlaced(asked time.Time) {
	run.gateway.logger.Info("not placed", "request_id", run.head.ID, "tried", run.tried,
		"waited", run.gateway.now().Sub(asked))
}

// open returns the servers that may get a request, with what this VM itself has
// there.
func (gateway *Gateway) open(service *catalog.Service, tried []string) []placement.Server {
	servers := gateway.pool.Open(service, tried)
	for i := range servers {
		servers[i].Connected = gateway.upstream.Kept(servers[i].Address)
	}
	return servers
}

// settle returns how long what one VM tells takes until all others know of it.
func (gateway *Gateway) settle() time.Duration {
	members, _ := gateway.exchange.Members()
	return gateway.settings.Request.SettleTime(members)
}

// keeps reports whether the servers that were taken are this request's. Two VMs
// may take the same ones at the same moment; once each knows of the other, one
// of them takes them back.
func (run *run) keeps(ctx context.Context, use *pool.Use) bool {
	wait.For(ctx, run.gateway.settle())
	if !use.Contested() {
		return true
	}
	use.Over()
	run.gateway.logger.Info("servers taken back", "request_id", run.head.ID)
	return false
}

// comesNext reports whether the request may look for servers. Behind requests
// that found none it waits a moment, since they look first.
func (run *run) comesNext(ctx context.Context, turn *pool.Turn) bool {
	if turn == nil {
		return true
	}
	rank, next := turn.Rank()
	if next && rank > 0 {
		wait.For(ctx, min(time.Duration(rank)*run.gateway.settle(), run.gateway.settings.Request.Look))
	}
	return next
}

// takesTurns reports whether the request waits in turn with those of other VMs.
func (run *run) takesTurns() bool {
	return run.head.Prompt != nil && run.service.Engine != nil &&
		run.route.Gap > 0 && !run.gateway.settings.Placement.Tight(run.route.Gap)
}

func (run *run) logPlan(plan placement.Plan, servers int, waited time.Duration) {
	helpers := make([]string, 0, len(plan.Helpers))
	for _, helper := range plan.Helpers {
		helpers = append(helpers, helper.ID)
	}
	run.gateway.logger.Info("placed", "request_id", run.head.ID, "send", run.sends, "route", run.route.Name,
		"tokens", run.tokens(), "server", plan.Server.ID, "helpers", helpers, "reason", plan.Reason,
		"predicted", plan.Predicted, "part", plan.Part, "backlog", plan.Server.Backlog,
		"running", plan.Server.Running, "tight", plan.Server.Tight, "memory_free", plan.Server.MemoryFree,
		"servers", servers, "waited", waited)
}

func (run *run) tokens() int {
	if run.head.Prompt == nil {
		return 0
	}
	return run.head.Prompt.Tokens
}

// placementRequest describes the request to the policy.
func (run *run) placementRequest() placement.Request {
	request := placement.Request{
		DataCentre: run.gateway.site.DataCentre,
		Gap:        run.route.Gap,
		Objective:  run.route.Objective,
		Left:       run.arrived.Add(run.route.Objective).Sub(run.gateway.now()),
		Stays:      run.stays(),
		Seed:       run.seed + uint64(run.sends), //nolint:gosec // a small count
	}
	if run.head.Prompt != nil {
		request.Engine = run.service.Engine
		request.Tokens = run.head.Prompt.Tokens
		request.Memory = run.head.Prompt.Tokens + run.head.Prompt.MaxTokens
	}
	return request
}

// Silence after which callers leave a stream, as the users state it: the
// longest of three.
const (
	staysMin            = 2 * time.Second
	staysObjectiveTimes = 4
	staysGapTimes       = 8
)

// stays is how long the caller still waits for the first event.
func (run *run) stays() time.Duration {
	silence := max(staysMin, staysObjectiveTimes*run.route.Objective, staysGapTimes*run.route.Gap)
	until := run.arrived.Add(silence)
	if run.deadline.Before(until) {
		until = run.deadline
	}
	return until.Sub(run.gateway.now())
}

// dispatch is what the server of a plan is told.
func (run *run) dispatch(plan placement.Plan, held *reservation.Held) call.Dispatch {
	dispatch := call.Dispatch{
		Instance:  plan.Server.ID,
		Time:      run.callerDeadline.Sub(run.gateway.now()),
		LastEvent: run.lastEvent,
		Urgency:   run.urgency(),
	}
	if run.organisation != nil {
		dispatch.Organisation = run.organisation.Name
	}
	if held != nil {
		dispatch.Helpers = append(dispatch.Helpers, call.Helper{Address: plan.Server.Address, Ticket: held.Ticket()})
	}
	for i, helper := range plan.Helpers {
		added := call.Helper{Address: helper.Address}
		if held != nil && plan.Shares[i+1] > 0 {
			added.Ticket = held.Ticket()
		}
		dispatch.Helpers = append(dispatch.Helpers, added)
	}
	return dispatch
}

// Objectives that tell urgencies apart.
const (
	urgentObjective = 500 * time.Millisecond
	normalObjective = 2 * time.Second
)

// urgency ranks requests at an engine by how soon they are wanted.
func (run *run) urgency() call.Urgency {
	switch {
	case run.head.Prompt == nil:
		return call.UrgencyNone
	case run.route.Objective <= urgentObjective:
		return call.UrgencyHigh
	case run.route.Objective <= normalObjective:
		return call.UrgencyNormal
	default:
		return call.UrgencyLow
	}
}

// conclude returns the outcome after an attempt, unless another one follows.
func (run *run) conclude(ctx context.Context, plan placement.Plan, result result) (outcome, bool) {
	gateway := run.gateway
	gateway.metrics.attempts.WithLabelValues(string(result.kind)).Inc()
	run.last = result
	if result.kind == resultAnswered {
		gateway.pool.Succeeded(plan.Server.ID)
		return outcome{status: result.status, answered: true, server: plan.Server.ID}, true
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		run.noteFailure(plan, result)
	}
	if result.kind != resultNotRun {
		run.runs++
	}
	switch {
	case ctx.Err() != nil:
		return run.interrupted(ctx), true
	case result.kind == resultBroken, result.kind == resultUncertain && !run.route.Repeatable(),
		run.runs >= run.route.MaxAttempts:
		return run.fail(ReasonServerFailed), true
	}
	return outcome{}, false
}

// noteFailure tells the pool of a failed attempt, and logs it.
func (run *run) noteFailure(plan placement.Plan, result result) {
	atFault := plan.Server.ID
	if result.atFault != "" {
		atFault = result.atFault
	}
	run.tried = append(run.tried, atFault)
	suspect := false
	switch {
	case result.closed:
		run.gateway.pool.Closed(atFault)
	default:
		suspect = run.gateway.pool.Failed(atFault)
	}
	run.gateway.logger.Warn("attempt failed", "request_id", run.head.ID, "send", run.sends-1,
		"server", plan.Server.ID, "at_fault", atFault, "result", result.kind, "status", result.status,
		"suspect", suspect, "error", result.err)
}

// interrupted returns the outcome of a request whose context ended.
func (run *run) interrupted(ctx context.Context) outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return run.fail(ReasonTime)
	case errors.Is(cause, errStopping):
		return run.fail(ReasonStopping)
	default:
		return outcome{reason: ReasonCallerGone, mayHaveRun: run.runs > 0, broken: run.begun, answered: run.begun}
	}
}

// fail returns the outcome of a request that no further attempt is made for. A
// failure that the last server answered goes before one of our own.
func (run *run) fail(reason Reason) outcome {
	if run.begun {
		return outcome{status: http.StatusOK, reason: reason, mayHaveRun: true, answered: true, broken: true}
	}
	if answer := run.last.answer; answer != nil {
		run.writePlain(answer)
		return outcome{status: answer.status, reason: reason, mayHaveRun: true, answered: true}
	}
	return failure(reason, run.runs > 0, run.gateway.retryAfter())
}
