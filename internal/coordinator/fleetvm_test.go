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

// fleetVM is one VM.
type fleetVM struct {
	fleet       *fleet
	name        string
	conn        *strikableConn
	pool        *pool.Pool
	exchange    *exchange.Exchange
	coordinator *coordinator.Coordinator
	policy      placement.Policy
	stop        context.CancelFunc

	mu sync.Mutex
	// away says that no callers come to it, and struck that it was cut, frozen or started.
	away   bool
	struck bool
}

var _ exchange.Sink = (*fleetVM)(nil)

// Told implements exchange.Sink.
func (vm *fleetVM) Told(name string, reports []pool.Report) { vm.pool.Told(name, reports) }

// Own implements exchange.Sink.
func (vm *fleetVM) Own() []pool.Report {
	return append(vm.pool.Own(), vm.pool.OwnLimits(vm.exchange.Judges())...)
}

// Asked implements exchange.Sink.
func (vm *fleetVM) Asked(name string, asks []dispatch.Ask) { vm.coordinator.Asked(name, asks) }

// Answered implements exchange.Sink.
func (vm *fleetVM) Answered(name string, answers []dispatch.Answer) {
	vm.coordinator.Answered(name, answers)
}

// Quarantined implements exchange.Sink.
func (*fleetVM) Quarantined() []quarantine.Entry { return nil }

// ToldQuarantined implements exchange.Sink.
func (*fleetVM) ToldQuarantined([]quarantine.Entry) {}

// Blind implements exchange.Sink.
func (*fleetVM) Blind() bool { return false }

// Times of a request to a plain server.
const (
	plainObjective = 300 * time.Millisecond
	plainDeadline  = 2 * time.Second
	plainNetwork   = time.Millisecond
)

// run plays one request.
func (vm *fleetVM) run() result {
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), plainDeadline)
	defer cancel()
	got := result{arrived: arrived}
	server, use := vm.place(ctx, &got)
	if use != nil {
		vm.send(server, use)
		got.served = true
	}
	got.took = time.Since(arrived)
	return got
}

// place returns the server that a request gets, if it gets one.
func (vm *fleetVM) place(ctx context.Context, got *result) (string, *pool.Use) {
	arrived := got.arrived
	for ctx.Err() == nil {
		id := vm.pool.ReserveID()
		answer, placed := vm.coordinator.Place(ctx, id, func() dispatch.Ask {
			spent := time.Since(arrived)
			return dispatch.Ask{
				ID: id, Service: plainName, Objective: plainObjective,
				Due: plainObjective - spent, Stays: plainDeadline - spent, DataCentre: "north",
			}
		})
		if placed && answer.Decision == dispatch.DecisionRefused {
			got.refused = true
			return "", nil
		}
		if placed {
			servers, missing := vm.pool.Find(plainName, nil, answer.Servers)
			assert.Check(vm.fleet.t, len(missing) == 0)
			if answer.Limited {
				vm.pool.WatchLimit(servers[0].ID)
			}
			return servers[0].ID, vm.pool.StartAs(id, placement.Plan{Server: servers[0]}, placement.Request{})
		}
		plan, found := vm.policy.Place(vm.pool.Open(vm.fleet.service, nil), placement.Request{DataCentre: "north", Objective: plainObjective})
		if found && ctx.Err() == nil {
			if use, within := vm.pool.StartWithin(plan, placement.Request{}); within {
				return plan.Server.ID, use
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "", nil
}

// send lets a server serve, and hears what it says.
func (vm *fleetVM) send(id string, use *pool.Use) {
	asked := time.Now()
	time.Sleep(plainNetwork)
	var limit float64
	var names bool
	for _, server := range vm.fleet.servers {
		if server.id == id {
			limit, names = server.serve(vm.name)
		}
	}
	time.Sleep(plainNetwork)
	if names {
		vm.pool.Limits(id, limit)
	} else {
		vm.pool.LiftsLimit(id, asked)
	}
	use.Over()
}
