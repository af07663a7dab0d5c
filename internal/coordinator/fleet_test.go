package coordinator_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/coordinator"
	"github.com/mastwinch/mastwinch/internal/directory"
	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/memnet"
	"github.com/mastwinch/mastwinch/internal/placement"
	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/quarantine"
)

const plainName = "plain"

// fleet is VMs that tell each other by datagrams, each with all that decides for it, before plain servers in virtual time.
type fleet struct {
	t        *testing.T
	network  *memnet.Network
	register *fleetRegister
	service  *catalog.Service
	random   *rand.Rand

	mu  sync.Mutex
	vms []*fleetVM
	// servers has the plain servers.
	servers []*plainServer
	results []result
}

// fleetRegister is a register in memory.
type fleetRegister struct {
	mu      sync.Mutex
	members map[string]exchange.Member
}

var _ exchange.Register = (*fleetRegister)(nil)

func (fleetregister *fleetRegister) Enter(_ context.Context, member exchange.Member) error {
	fleetregister.mu.Lock()
	defer fleetregister.mu.Unlock()
	fleetregister.members[member.VM] = member
	return nil
}

func (fleetregister *fleetRegister) List(context.Context) ([]exchange.Member, error) {
	fleetregister.mu.Lock()
	defer fleetregister.mu.Unlock()
	list := make([]exchange.Member, 0, len(fleetregister.members))
	for _, member := range fleetregister.members {
		list = append(list, member)
	}
	return list, nil
}

// plainServer is a server that works on any number of requests for a time each, and says what it wants to.
type plainServer struct {
	id    string
	takes time.Duration

	mu sync.Mutex
	// limit is what it names in its answers, or below zero for none. Of each so many answers one names it.
	limit   float64
	oneOf   int
	answers int
	// arrivals has what reached it.
	arrivals []arrival
	// toldAt has when an answer that names a limit first reached each VM.
	toldAt map[string]time.Time
}

// arrival is a request at a server.
type arrival struct {
	vm string
	at time.Time
}

// result is what became of a request.
type result struct {
	arrived time.Time
	took    time.Duration
	served  bool
	refused bool
}

func (plainserver *plainServer) setLimit(limit float64) {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	plainserver.limit = limit
}

// serve works on a request, and returns what its answer names.
func (plainserver *plainServer) serve(vm string) (float64, bool) {
	plainserver.mu.Lock()
	plainserver.arrivals = append(plainserver.arrivals, arrival{vm: vm, at: time.Now()})
	plainserver.mu.Unlock()
	time.Sleep(plainserver.takes)
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	plainserver.answers++
	names := plainserver.limit >= 0 && plainserver.answers%max(1, plainserver.oneOf) == 0
	if _, told := plainserver.toldAt[vm]; names && !told {
		plainserver.toldAt[vm] = time.Now()
	}
	return plainserver.limit, names
}

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

// strikableConn is a socket whose datagrams can be lost, or kept until its VM wakes up.
type strikableConn struct {
	net.PacketConn

	mu sync.Mutex
	// loses reports whether a datagram to an address is lost, or is nil for none.
	loses func(to string) bool
	// frozen is closed when the VM wakes up, or nil.
	frozen chan struct{}
	// sent counts the datagrams that it sent, and bytes what they have.
	sent, bytes int
}

func (strikableconn *strikableConn) WriteTo(data []byte, to net.Addr) (int, error) {
	strikableconn.mu.Lock()
	strikableconn.sent++
	strikableconn.bytes += len(data)
	lost := strikableconn.frozen != nil || (strikableconn.loses != nil && strikableconn.loses(to.String()))
	strikableconn.mu.Unlock()
	if lost {
		return len(data), nil
	}
	count, err := strikableconn.PacketConn.WriteTo(data, to)
	return count, errors.WithStack(err)
}

func (strikableconn *strikableConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	count, from, err := strikableconn.PacketConn.ReadFrom(buffer)
	strikableconn.mu.Lock()
	frozen := strikableconn.frozen
	strikableconn.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return count, from, errors.WithStack(err)
}

// setLoses lets datagrams to some addresses be lost.
func (strikableconn *strikableConn) setLoses(loses func(to string) bool) {
	strikableconn.mu.Lock()
	defer strikableconn.mu.Unlock()
	strikableconn.loses = loses
}

// inFleet runs a test in virtual time with so many VMs that have found each other, and plain servers.
func inFleet(t *testing.T, vms, servers int, test func(fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{
			t: t, network: memnet.New(), register: &fleetRegister{members: make(map[string]exchange.Member)},
			service: &catalog.Service{Name: plainName}, random: rand.New(rand.NewPCG(1, 2)),
		}
		for number := range servers {
			fleet.servers = append(fleet.servers, &plainServer{
				id: fmt.Sprintf("plain-%d", number), takes: 30 * time.Millisecond, limit: -1, toldAt: make(map[string]time.Time),
			})
		}
		for number := range vms {
			fleet.add(number)
		}
		defer fleet.end()
		time.Sleep(3 * time.Second)
		test(fleet)
	})
}

func (fleet *fleet) end() {
	for _, vm := range fleet.vms {
		vm.wake()
		vm.stop()
	}
	synctest.Wait()
}

func fleetAddress(number int) string {
	const perNet = 250
	return fmt.Sprintf("10.0.%d.%d:7340", number/perNet, number%perNet+1)
}

// add starts a VM, in place of the one with that number if there is one.
func (fleet *fleet) add(number int) {
	inner, err := fleet.network.ListenPacket(context.Background(), fleetAddress(number))
	assert.NilError(fleet.t, err)
	vm := &fleetVM{
		fleet: fleet, name: fmt.Sprintf("vm-%03d", number), conn: &strikableConn{PacketConn: inner},
		policy: placement.New(placement.DefaultSettings()),
	}
	logger := slog.New(slog.DiscardHandler)
	self := exchange.Member{
		VM: vm.name, Address: fleetAddress(number), DataCentre: []string{"north", "south", "west"}[number%3], Capacity: 100,
	}
	vm.exchange = exchange.New(exchange.DefaultSettings(), self, vm.conn, nil, fleet.register, epoch.New(time.Now), logger, time.Now)
	vm.pool = pool.New(pool.DefaultSettings(), vm.name, vm.exchange, logger, time.Now)
	entries := make([]follower.Change[directory.Entry], 0, len(fleet.servers))
	for _, server := range fleet.servers {
		entries = append(entries, follower.Change[directory.Entry]{Key: server.id, Value: &directory.Entry{
			ID: server.id, Service: plainName, Address: server.id, Slots: 16,
		}})
	}
	vm.pool.Replace(entries)
	services := func(name string) (*catalog.Service, bool) { return fleet.service, name == plainName }
	vm.coordinator = coordinator.New(coordinator.DefaultSettings(), vm.name, vm.policy, vm.pool, services, anyRetries{}, vm.exchange, time.Now)
	ctx, stop := context.WithCancel(context.Background())
	vm.stop = stop
	go func() { _ = vm.exchange.Run(ctx, vm) }()
	go vm.coordinator.Run(ctx)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if number < len(fleet.vms) {
		vm.struck = true
		fleet.vms[number] = vm
		return
	}
	fleet.vms = append(fleet.vms, vm)
}

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

// cut lets datagrams between the VM and others be lost, those that it gets or all.
func (vm *fleetVM) cut(oneWay bool) {
	vm.strike()
	if !oneWay {
		vm.conn.setLoses(func(string) bool { return true })
	}
	to := vm.address()
	for _, other := range vm.fleet.vms {
		if other != vm {
			other.conn.setLoses(func(address string) bool { return address == to })
		}
	}
}

func (vm *fleetVM) address() string {
	number := 0
	_, _ = fmt.Sscanf(vm.name, "vm-%d", &number)
	return fleetAddress(number)
}

// heal ends all cuts.
func (fleet *fleet) heal() {
	for _, vm := range fleet.vms {
		vm.conn.setLoses(nil)
	}
}

// strike notes that something befell the VM, which excuses it where rules say so.
func (vm *fleetVM) strike() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.struck = true
}

func (vm *fleetVM) setAway(away bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.away = away
}

// freeze lets the VM stand still: it says nothing, and what it is told lies in its socket.
func (vm *fleetVM) freeze() {
	vm.strike()
	vm.setAway(true)
	vm.conn.mu.Lock()
	defer vm.conn.mu.Unlock()
	vm.conn.frozen = make(chan struct{})
}

// wake ends that.
func (vm *fleetVM) wake() {
	vm.setAway(false)
	vm.conn.mu.Lock()
	defer vm.conn.mu.Unlock()
	if vm.conn.frozen != nil {
		close(vm.conn.frozen)
		vm.conn.frozen = nil
	}
}

// kill ends the VM.
func (vm *fleetVM) kill() {
	vm.strike()
	vm.setAway(true)
	vm.stop()
}

// decider returns the VM that decides for all.
func (fleet *fleet) decider() *fleetVM {
	first := fleet.vms[len(fleet.vms)-1].exchange.Coordinators()[0]
	for _, vm := range fleet.vms {
		if vm.name == first {
			return vm
		}
	}
	return nil
}

// play lets callers come evenly to VMs drawn at random, for so long.
func (fleet *fleet) play(perSecond float64, long time.Duration) {
	var asking sync.WaitGroup
	pause := time.Duration(float64(time.Second) / perSecond)
	for range int(long / pause) {
		fleet.mu.Lock()
		vm := fleet.vms[fleet.random.IntN(len(fleet.vms))]
		fleet.mu.Unlock()
		vm.mu.Lock()
		away := vm.away
		vm.mu.Unlock()
		if !away {
			asking.Go(func() { fleet.note(vm.run()) })
		}
		time.Sleep(pause)
	}
	asking.Wait()
}

func (fleet *fleet) note(result result) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.results = append(fleet.results, result)
}

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
			servers, missing := vm.pool.Find(plainName, answer.Servers)
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

// within returns how many requests reached a server in a span.
func (plainserver *plainServer) within(from, to time.Time) int {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	count := 0
	for _, arrival := range plainserver.arrivals {
		if !arrival.at.Before(from) && arrival.at.Before(to) {
			count++
		}
	}
	return count
}

// busiest returns the most requests that reached a server within any limitWindow from limitNotice after it first named a
// limit on, of the VMs that it had told of it toldNotice before or earlier.
func (plainserver *plainServer) busiest() int {
	plainserver.mu.Lock()
	defer plainserver.mu.Unlock()
	var first time.Time
	for _, at := range plainserver.toldAt {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var counted []time.Time
	for _, arrival := range plainserver.arrivals {
		toldAt, told := plainserver.toldAt[arrival.vm]
		if told && !arrival.at.Before(first.Add(limitNotice)) && !arrival.at.Before(toldAt.Add(toldNotice)) {
			counted = append(counted, arrival.at)
		}
	}
	most, oldest := 0, 0
	for last, at := range counted {
		for at.Sub(counted[oldest]) >= limitWindow {
			oldest++
		}
		most = max(most, last-oldest+1)
	}
	return most
}

// Bounds on what reaches a server that names a limit, as the platform has them.
const (
	// limitNotice is the time from the first answer that names a limit until it must be heeded.
	limitNotice = 3 * time.Second
	// toldNotice is the time from the answer that tells a VM until its requests are counted.
	toldNotice = 500 * time.Millisecond
	// limitWindow is the time over which requests are counted.
	limitWindow = 4 * time.Second
)

// allowed is how many requests may reach a server in any limitWindow.
func allowed(limit float64) int {
	return int(1.5*limit*limitWindow.Seconds() + 5)
}
