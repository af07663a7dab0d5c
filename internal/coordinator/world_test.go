package coordinator_test

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/coordinator"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
)

const serviceName = "engines"

// newService returns the engines of the users' large fleet.
func newService() *catalog.Service {
	return &catalog.Service{Name: serviceName, Engine: &catalog.Engine{
		Slots: 10, MemoryTokens: 232_000, Stride: 68, Step: 1020 * time.Microsecond,
		ReadPerSecond: 206_000, PairsPerMillion: 138 * time.Microsecond,
	}}
}

// world is VMs before engines, in virtual time. The first VMs may decide for all.
type world struct {
	service *catalog.Service
	delay   time.Duration
	// loss is the part of what VMs tell each other that is lost.
	loss float64

	mu     sync.Mutex
	random *rand.Rand
	vms    []*testVM
	// order has the VMs that decide, the best one first.
	order []string
	// dark has the VMs that neither hear nor are heard.
	dark map[string]bool
	// sent counts what VMs told each other.
	sent int
}

// testVM is one VM.
type testVM struct {
	world       *world
	name        string
	pool        *pool.Pool
	coordinator *coordinator.Coordinator
	stop        context.CancelFunc

	mu      sync.Mutex
	doubted map[string]bool
}

var (
	_ coordinator.Network = (*testVM)(nil)
	_ pool.Publisher      = (*testVM)(nil)
)

// inWorld runs a test in virtual time with so many VMs, of which the first three may
// decide, and engines.
func inWorld(t *testing.T, vms, engines int, loss float64, test func(world *world)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		world := &world{
			service: newService(), delay: 1500 * time.Microsecond, loss: loss,
			random: rand.New(rand.NewPCG(1, 2)), dark: make(map[string]bool),
		}
		for number := range vms {
			world.add(number, engines)
		}
		for _, first := range world.vms[:min(3, vms)] {
			world.order = append(world.order, first.name)
		}
		for _, vm := range world.vms {
			ctx, stop := context.WithCancel(context.Background())
			vm.stop = stop
			go vm.coordinator.Run(ctx)
			go vm.repeat(ctx)
		}
		defer func() {
			for _, vm := range world.vms {
				vm.stop()
			}
			synctest.Wait()
		}()
		test(world)
	})
}

func (world *world) add(number, engines int) {
	added := &testVM{world: world, name: fmt.Sprintf("vm-%03d", number), doubted: make(map[string]bool)}
	added.pool = pool.New(pool.DefaultSettings(), added.name, added, slog.New(slog.DiscardHandler), time.Now)
	entries := make([]follower.Change[directory.Entry], 0, engines)
	for engine := range engines {
		id := fmt.Sprintf("engine-%03d", engine)
		entries = append(entries, follower.Change[directory.Entry]{Key: id, Value: &directory.Entry{
			ID: id, Service: serviceName, Address: id, Slots: world.service.Engine.Slots,
		}})
	}
	added.pool.Replace(entries)
	services := func(name string) (*catalog.Service, bool) { return world.service, name == serviceName }
	added.coordinator = coordinator.New(coordinator.DefaultSettings(), added.name, placement.New(placement.DefaultSettings()),
		added.pool, services, anyRetries{}, added, time.Now)
	world.vms = append(world.vms, added)
}

// find returns a VM by its name.
func (world *world) find(name string) *testVM {
	for _, vm := range world.vms {
		if vm.name == name {
			return vm
		}
	}
	return nil
}

// setDark cuts a VM off, or ends that.
func (world *world) setDark(name string, dark bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.dark[name] = dark
}

// tell lets something arrive at another VM after the delay, unless it is lost.
func (world *world) tell(from, to string, arrive func(to *testVM)) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.sent++
	if world.dark[from] || world.dark[to] || world.random.Float64() < world.loss {
		return
	}
	time.AfterFunc(world.delay, func() {
		world.mu.Lock()
		lost := world.dark[to]
		world.mu.Unlock()
		if lost {
			return
		}
		target := world.find(to)
		target.mu.Lock()
		target.doubted[from] = false
		target.mu.Unlock()
		arrive(target)
	})
}

// repeat tells of all that is under way, as an exchange does.
func (testvm *testVM) repeat(ctx context.Context) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			testvm.publish(testvm.pool.Own())
		}
	}
}

func (testvm *testVM) publish(reports []pool.Report) {
	for _, name := range testvm.world.order {
		if name != testvm.name && len(reports) > 0 {
			testvm.world.tell(testvm.name, name, func(to *testVM) { to.pool.Told(testvm.name, reports) })
		}
	}
}

// Publish implements pool.Publisher.
func (testvm *testVM) Publish(report pool.Report) {
	testvm.publish([]pool.Report{report})
}

// Share implements pool.Publisher.
func (testvm *testVM) Share() float64 { return 1 }

// Coordinators implements coordinator.Network.
func (testvm *testVM) Coordinators() []string {
	testvm.mu.Lock()
	defer testvm.mu.Unlock()
	var names []string
	for _, name := range testvm.world.order {
		if !testvm.doubted[name] {
			names = append(names, name)
		}
	}
	return names
}

// Doubt implements coordinator.Network.
func (testvm *testVM) Doubt(name string) {
	testvm.mu.Lock()
	defer testvm.mu.Unlock()
	testvm.doubted[name] = true
}

// Ask implements coordinator.Network.
func (testvm *testVM) Ask(name string, ask dispatch.Ask) {
	testvm.world.tell(testvm.name, name, func(to *testVM) { to.coordinator.Asked(testvm.name, []dispatch.Ask{ask}) })
}

// Answer implements coordinator.Network.
func (testvm *testVM) Answer(name string, answer dispatch.Answer) {
	testvm.world.tell(testvm.name, name, func(to *testVM) { to.coordinator.Answered(testvm.name, []dispatch.Answer{answer}) })
}

// kind is a kind of request.
type kind struct {
	tokens    int
	objective time.Duration
	gap       time.Duration
	// stays is for how long it is held, or zero for its objective.
	stays time.Duration
	// writes is how long the answer takes after its first event.
	writes time.Duration
}

// prompt is what became of one request.
type prompt struct {
	kind

	// placed says that it got servers, and waited how long it took.
	placed bool
	waited time.Duration
	// expected is when its first event was expected, from its arrival.
	expected time.Duration
	servers  []string
	// refused says that it was told that it gets none.
	refused bool
}

// run plays one request at a VM: it is held for its objective, read when it was predicted,
// and written.
func (testvm *testVM) run(kind kind) *prompt {
	arrived := time.Now()
	result := &prompt{kind: kind}
	held := cmp.Or(kind.stays, kind.objective)
	ctx, cancel := context.WithTimeout(context.Background(), held)
	defer cancel()
	id := testvm.pool.ReserveID()
	answer, placed := testvm.coordinator.Place(ctx, id, func() dispatch.Ask {
		spent := time.Since(arrived)
		return dispatch.Ask{
			ID: id, Service: serviceName, Tokens: kind.tokens, Memory: kind.tokens + 500, Gap: kind.gap,
			Objective: kind.objective, Due: kind.objective - spent, Stays: cmp.Or(kind.stays, 4*kind.objective) - spent,
		}
	})
	result.waited = time.Since(arrived)
	result.refused = placed && answer.Decision == dispatch.DecisionRefused
	if !placed || result.refused {
		return result
	}
	result.placed = true
	result.expected = result.waited + answer.Predicted
	result.servers = answer.Servers
	servers, _ := testvm.pool.Find(serviceName, nil, answer.Servers)
	use := testvm.pool.StartAs(id, placement.Plan{
		Server: servers[0], Helpers: servers[1:], Part: answer.Part, Shares: answer.Shares, Tight: answer.Tight,
	}, placement.Request{Engine: testvm.world.service.Engine, Memory: kind.tokens + 500, Gap: kind.gap})
	time.Sleep(answer.Predicted)
	use.Read()
	time.Sleep(kind.writes)
	use.Over()
	return result
}
