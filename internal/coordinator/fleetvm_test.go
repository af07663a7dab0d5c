package coordinator_test

import (
	"context"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/coordinator"
	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
)

// fleetVM is one VM of a fleet.
type fleetVM struct {
	fleet       *fleet
	name        string
	conn        *faultyConn
	pool        *pool.Pool
	exchange    *exchange.Exchange
	coordinator *coordinator.Coordinator
	policy      placement.Policy
	stop        context.CancelFunc

	mu sync.Mutex
	// offline reports that the VM gets no requests, and disrupted that it was disconnected, frozen
	// or restarted.
	offline   bool
	disrupted bool
}

var _ exchange.Sink = (*fleetVM)(nil)

// HandleReports implements exchange.Sink.
func (vm *fleetVM) HandleReports(name string, reports []pool.Report) {
	vm.pool.HandleReports(name, reports)
}

// OwnReports implements exchange.Sink.
func (vm *fleetVM) OwnReports() []pool.Report {
	return append(vm.pool.OwnReports(), vm.pool.OwnLimitReports(vm.exchange.Evaluates())...)
}

// HandleRequests implements exchange.Sink.
func (vm *fleetVM) HandleRequests(name string, requests []dispatch.AssignmentRequest) {
	vm.coordinator.HandleRequests(name, requests)
}

// HandleResponses implements exchange.Sink.
func (vm *fleetVM) HandleResponses(name string, responses []dispatch.AssignmentResponse) {
	vm.coordinator.HandleResponses(name, responses)
}

// Quarantined implements exchange.Sink.
func (*fleetVM) Quarantined() []quarantine.Entry { return nil }

// HandleQuarantined implements exchange.Sink.
func (*fleetVM) HandleQuarantined([]quarantine.Entry) {}

// Suspects implements exchange.Sink.
func (*fleetVM) Suspects() []quarantine.Suspect { return nil }

// HandleSuspects implements exchange.Sink.
func (*fleetVM) HandleSuspects(string, []quarantine.Suspect) {}

// Begun implements exchange.Sink.
func (*fleetVM) Begun() []quarantine.Begun { return nil }

// HandleBegun implements exchange.Sink.
func (*fleetVM) HandleBegun([]quarantine.Begun) {}

// StoreUnavailable implements exchange.Sink.
func (*fleetVM) StoreUnavailable() bool { return false }

// Timeouts and network delay of a request to a plain server.
const (
	plainObjective = 300 * time.Millisecond
	plainDeadline  = 2 * time.Second
	plainNetwork   = time.Millisecond
)

// run sends one request to the VM and returns its outcome.
func (vm *fleetVM) run() result {
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), plainDeadline)
	defer cancel()
	got := result{arrived: arrived}
	server, activeRequest := vm.place(ctx, &got)
	if activeRequest != nil {
		vm.send(server, activeRequest)
		got.served = true
	}
	got.duration = time.Since(arrived)
	return got
}

// place returns the server that the request is assigned to, or a nil request if it gets none.
func (vm *fleetVM) place(ctx context.Context, got *result) (string, *pool.ActiveRequest) {
	arrived := got.arrived
	for ctx.Err() == nil {
		id := vm.pool.ReserveID()
		response, placed := vm.coordinator.Place(ctx, id, func() dispatch.AssignmentRequest {
			elapsed := time.Since(arrived)
			return dispatch.AssignmentRequest{
				ID: id, Service: plainName, Objective: plainObjective,
				TimeToObjective: plainObjective - elapsed, TimeToCallerDeadline: plainDeadline - elapsed, DataCentre: "north",
			}
		})
		if placed && response.Decision == dispatch.DecisionRefused {
			got.refused = true
			return "", nil
		}
		if placed {
			servers, missing := vm.pool.Find(plainName, nil, response.Servers)
			assert.Check(vm.fleet.t, len(missing) == 0)
			if response.RateLimited {
				vm.pool.WatchRateLimit(servers[0].ID)
			}
			return servers[0].ID, vm.pool.StartWithID(id, placement.Plan{Server: servers[0]}, placement.Request{})
		}
		plan, found := vm.policy.Place(vm.pool.Eligible(vm.fleet.service, nil), placement.Request{DataCentre: "north", Objective: plainObjective})
		if found && ctx.Err() == nil {
			if activeRequest, within := vm.pool.StartWithinLimits(plan, placement.Request{}); within {
				return plan.Server.ID, activeRequest
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "", nil
}

// send sends the request to a server, and passes the limit in the response to the pool.
func (vm *fleetVM) send(id string, activeRequest *pool.ActiveRequest) {
	sentAt := time.Now()
	time.Sleep(plainNetwork)
	var limit float64
	var advertises bool
	for _, server := range vm.fleet.servers {
		if server.id == id {
			limit, advertises = server.serve(vm.name)
		}
	}
	time.Sleep(plainNetwork)
	if advertises {
		vm.pool.RecordRateLimit(id, limit)
	} else {
		vm.pool.RecordNoRateLimit(id, sentAt)
	}
	activeRequest.Finish()
}
