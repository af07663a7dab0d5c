package exchange_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/memnet"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// Latencies and limits of the simulated store, as in the deployment of the largest fleet. storePageSize is the number of VMs
// that one call lists.
const (
	storeReadLatency   = 4 * time.Millisecond
	storeWriteLatency  = 4 * time.Millisecond
	storeMaxQueueDelay = 2 * time.Second
	storePageSize      = 500
)

var errStoreBusy = errors.New("store is busy")

// storeRegistry is a registry in a simulated store, which handles writes one after the other. It rejects a write that
// would wait longer than storeMaxQueueDelay, and completes a write even if its caller has stopped waiting.
type storeRegistry struct {
	mu      sync.Mutex
	members map[string]exchange.Member
	// idleAt is when the last queued write completes.
	idleAt time.Time
	// calls counts all calls. While unavailable is set, none is answered.
	calls       int
	unavailable bool
}

var _ exchange.Registry = (*storeRegistry)(nil)

// Register implements exchange.Registry.
func (storeregistry *storeRegistry) Register(ctx context.Context, member exchange.Member) error {
	storeregistry.mu.Lock()
	storeregistry.calls++
	now := time.Now()
	if storeregistry.idleAt.Before(now) {
		storeregistry.idleAt = now
	}
	delay := storeregistry.idleAt.Sub(now)
	if delay > storeMaxQueueDelay {
		storeregistry.mu.Unlock()
		return errStoreBusy
	}
	storeregistry.idleAt = storeregistry.idleAt.Add(storeWriteLatency)
	storeregistry.mu.Unlock()
	time.AfterFunc(delay+storeWriteLatency, func() { // even if the caller has stopped waiting
		storeregistry.mu.Lock()
		defer storeregistry.mu.Unlock()
		storeregistry.members[member.VM] = member
	})
	return storeregistry.respond(ctx, delay+storeWriteLatency+storeReadLatency)
}

// List implements exchange.Registry.
func (storeregistry *storeRegistry) List(ctx context.Context) ([]exchange.Member, error) {
	storeregistry.mu.Lock()
	list := make([]exchange.Member, 0, len(storeregistry.members))
	for _, member := range storeregistry.members {
		list = append(list, member)
	}
	pages := 1 + len(list)/storePageSize
	storeregistry.calls += pages
	storeregistry.mu.Unlock()
	return list, storeregistry.respond(ctx, time.Duration(pages)*storeReadLatency)
}

// respond returns after the given time or when ctx is done. While the store is unavailable, it waits for an hour.
func (storeregistry *storeRegistry) respond(ctx context.Context, after time.Duration) error {
	storeregistry.mu.Lock()
	if storeregistry.unavailable {
		after = time.Hour
	}
	storeregistry.mu.Unlock()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

func (storeregistry *storeRegistry) setUnavailable(unavailable bool) {
	storeregistry.mu.Lock()
	defer storeregistry.mu.Unlock()
	storeregistry.unavailable = unavailable
}

// counts returns the number of calls and the number of registered VMs.
func (storeregistry *storeRegistry) counts() (calls, members int) {
	storeregistry.mu.Lock()
	defer storeregistry.mu.Unlock()
	return storeregistry.calls, len(storeregistry.members)
}

// largeFleet is a fleet of many VMs in five data centres with one simulated store.
type largeFleet struct {
	t        *testing.T
	network  *memnet.Network
	registry *storeRegistry
	random   *rand.Rand
	// seeded reports whether the settings name seeds.
	seeded bool
	vms    []*fleetVM
}

// fleetVM is a VM of a largeFleet.
type fleetVM struct {
	instance *exchange.Exchange
	stop     context.CancelFunc
	address  string
}

const (
	// largeFleetDataCentres is the number of data centres, and largeLinksPerDataCentre the number of VMs with large links
	// in each.
	largeFleetDataCentres   = 5
	largeLinksPerDataCentre = 10
	// startSpread is the time over which the starts of VMs are spread that start together.
	startSpread = 300 * time.Millisecond
)

func runInLargeFleet(t *testing.T, seeded bool, test func(fleet *largeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := &largeFleet{
			t: t, network: memnet.New(), registry: &storeRegistry{members: make(map[string]exchange.Member)},
			random: rand.New(rand.NewPCG(1, 2)), seeded: seeded,
		}
		defer func() {
			for _, vm := range fleet.vms {
				vm.stop()
			}
			synctest.Wait()
			time.Sleep(time.Minute) // queued writes complete
		}()
		test(fleet)
	})
}

// start starts the VMs numbered from up to, but without, to within startSpread.
func (fleet *largeFleet) start(from, to int, firstStart bool) {
	for len(fleet.vms) < to {
		fleet.vms = append(fleet.vms, nil)
	}
	fleet.startEvery(from, to, 1, firstStart)
}

// startEvery is start for every step-th of these VMs only.
func (fleet *largeFleet) startEvery(from, to, step int, firstStart bool) {
	var starting sync.WaitGroup
	for number := from; number < to; number += step {
		after := time.Duration(fleet.random.Int64N(int64(startSpread)))
		starting.Go(func() {
			time.Sleep(after)
			fleet.startOne(number, firstStart)
		})
	}
	starting.Wait()
}

func (fleet *largeFleet) startOne(number int, firstStart bool) {
	conn, err := fleet.network.ListenPacket(context.Background(), address(number))
	assert.NilError(fleet.t, err)
	capacity := smallLink
	if number < largeLinksPerDataCentre*largeFleetDataCentres {
		capacity = largeLink
	}
	self := exchange.Member{
		VM: fmt.Sprintf("vm-%d", number), Address: address(number), FirstStart: firstStart,
		DataCentre: fmt.Sprintf("centre-%d", number%largeFleetDataCentres), Capacity: capacity,
	}
	var seeds []string
	if fleet.seeded {
		seeds = []string{address(0), address(1), address(2)}
	}
	instance := exchange.New(
		exchange.DefaultSettings(), self, conn, seeds, fleet.registry, epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = instance.Run(ctx, &sink{received: make(map[string][]pool.Report)}) }()
	fleet.vms[number] = &fleetVM{instance: instance, stop: stop, address: address(number)}
}

func (fleet *largeFleet) kill(from, to int) {
	for _, vm := range fleet.vms[from:to] {
		vm.stop()
	}
	synctest.Wait()
}

// assertDiscovered checks that all VMs agree on three coordinators, and that each data centre has one reader of the store.
func (fleet *largeFleet) assertDiscovered() {
	agreed := fleet.vms[len(fleet.vms)-1].instance.Coordinators()
	assert.Equal(fleet.t, len(agreed), 3)
	readers := make(map[string]int)
	readingThemselves := 0
	for number, vm := range fleet.vms {
		assert.DeepEqual(fleet.t, vm.instance.Coordinators(), agreed)
		role := vm.instance.Role(6, func(string) bool { return false })
		assert.Assert(fleet.t, !role.MembersUnknown, "vm-%d", number)
		if role.ReaderAddress == "" {
			readingThemselves++
			role.ReaderAddress = vm.address
		}
		readers[role.ReaderAddress]++
	}
	assert.Equal(fleet.t, len(readers), largeFleetDataCentres, "%v", readers)
	assert.Equal(fleet.t, readingThemselves, largeFleetDataCentres)
}

// TestLargeFleetDiscovery guards against a large fleet that overloads the store and never discovers itself. That happened
// when each of 985 VMs registered at its start: the store rejected most writes, the VMs retried at a fixed interval,
// and the store went on to complete writes whose callers had timed out.
func TestLargeFleetDiscovery(t *testing.T) {
	for name, test := range map[string]struct {
		seeded bool
		// change changes the fleet of count VMs after its first start and discovery. It may be nil.
		change func(fleet *largeFleet, count int)
		// calls is the maximum number of calls to the store per VM over the whole test.
		calls float64
	}{
		"all VMs start":                 {seeded: true, calls: 0.2},
		"all VMs start without seeds":   {calls: 3},
		"all VMs restart":               {seeded: true, calls: 1.4, change: restartAll},
		"all VMs restart without seeds": {calls: 6, change: restartAll}, // three calls per start
		"a data centre restarts":        {seeded: true, calls: 1.4, change: func(fleet *largeFleet, count int) { restartEvery(fleet, count, largeFleetDataCentres) }},
		"half of the VMs restart":       {seeded: true, calls: 1.4, change: func(fleet *largeFleet, count int) { restartEvery(fleet, count, 2) }},
		"VMs join": {seeded: true, calls: 0.4, change: func(fleet *largeFleet, count int) {
			fleet.start(count, count+count/5, false)
		}},
		"VMs join while the store is unavailable": {seeded: true, calls: 0.4, change: func(fleet *largeFleet, count int) {
			fleet.registry.setUnavailable(true)
			fleet.start(count, count+count/5, false)
		}},
		"all seeds are gone": {seeded: true, calls: 1, change: func(fleet *largeFleet, count int) {
			fleet.kill(0, 3)
			time.Sleep(3 * time.Second)
			fleet.start(count, count+count/5, false)
			fleet.vms = fleet.vms[3:]
		}},
	} {
		for _, count := range largeFleetSizes() {
			t.Run(fmt.Sprintf("%s, %d VMs", name, count), func(t *testing.T) {
				t.Parallel()
				runInLargeFleet(t, test.seeded, func(fleet *largeFleet) {
					fleet.start(0, count, true)
					time.Sleep(5 * time.Second)
					if test.change != nil {
						test.change(fleet, count)
						time.Sleep(discoveryTime)
					}
					fleet.assertDiscovered()
					calls, members := fleet.registry.counts()
					assert.Assert(t, float64(calls) <= 60+test.calls*float64(count), "%d calls", calls)
					assert.Assert(t, members <= 20+count/10, "%d registered VMs", members)
					t.Logf("%d calls, %d registered VMs", calls, members)
				})
			})
		}
	}
}

// discoveryTime is the time within which VMs that start must discover the others.
const discoveryTime = 3 * time.Second

func restartAll(fleet *largeFleet, count int) {
	fleet.kill(0, count)
	time.Sleep(500 * time.Millisecond)
	fleet.start(0, count, false)
}

// restartEvery restarts every step-th VM of the fleet together.
func restartEvery(fleet *largeFleet, count, step int) {
	for number := 0; number < count; number += step {
		fleet.kill(number, number+1)
	}
	time.Sleep(500 * time.Millisecond)
	fleet.startEvery(0, count, step, false)
}

// flagLargeFleet names the flag that sets the number of VMs of large fleets, for manual runs. Zero selects the default
// sizes.
const flagLargeFleet = "whole.vms"

// largeFleetSizes returns the sizes of the large fleets to test.
func largeFleetSizes() []int {
	if size, ok := flag.Lookup(flagLargeFleet).Value.(flag.Getter).Get().(int); ok && size > 0 {
		return []int{size}
	}
	return []int{100, 300}
}
