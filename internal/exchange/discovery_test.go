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
	storeAnswer = 4 * time.Millisecond
	storeAppend = 4 * time.Millisecond
	storeQueue  = 2 * time.Second
	storePage   = 500
)

var errStoreBusy = errors.New("store is busy")

// storeRegistry is a registry in a simulated store, which handles writes one after the other. It rejects a write that
// would wait longer than storeMaxQueueDelay, and completes a write even if its caller has stopped waiting.
type storeRegister struct {
	mu      sync.Mutex
	members map[string]exchange.Member
	// idleAt is when the last queued write completes.
	free time.Time
	// calls counts all calls. While unavailable is set, none is answered.
	calls int
	away  bool
}

var _ exchange.Register = (*storeRegister)(nil)

// Enter implements exchange.Register.
func (storeregistry *storeRegister) Enter(ctx context.Context, member exchange.Member) error {
	storeregistry.mu.Lock()
	storeregistry.calls++
	now := time.Now()
	if storeregistry.free.Before(now) {
		storeregistry.free = now
	}
	delay := storeregistry.free.Sub(now)
	if delay > storeQueue {
		storeregistry.mu.Unlock()
		return errStoreBusy
	}
	storeregistry.free = storeregistry.free.Add(storeAppend)
	storeregistry.mu.Unlock()
	time.AfterFunc(delay+storeAppend, func() { // even if the caller has stopped waiting
		storeregistry.mu.Lock()
		defer storeregistry.mu.Unlock()
		storeregistry.members[member.VM] = member
	})
	return storeregistry.answer(ctx, delay+storeAppend+storeAnswer)
}

// List implements exchange.Register.
func (storeregistry *storeRegister) List(ctx context.Context) ([]exchange.Member, error) {
	storeregistry.mu.Lock()
	list := make([]exchange.Member, 0, len(storeregistry.members))
	for _, member := range storeregistry.members {
		list = append(list, member)
	}
	pages := 1 + len(list)/storePage
	storeregistry.calls += pages
	storeregistry.mu.Unlock()
	return list, storeregistry.answer(ctx, time.Duration(pages)*storeAnswer)
}

// answer returns after the given time or when ctx is done. While the store is unavailable, it waits for an hour.
func (storeregistry *storeRegister) answer(ctx context.Context, after time.Duration) error {
	storeregistry.mu.Lock()
	if storeregistry.away {
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

func (storeregistry *storeRegister) setAway(unavailable bool) {
	storeregistry.mu.Lock()
	defer storeregistry.mu.Unlock()
	storeregistry.away = unavailable
}

// counts returns the number of calls and the number of registered VMs.
func (storeregistry *storeRegister) callsNow() (calls, members int) {
	storeregistry.mu.Lock()
	defer storeregistry.mu.Unlock()
	return storeregistry.calls, len(storeregistry.members)
}

// largeFleet is a fleet of many VMs in five data centres with one simulated store.
type wholeFleet struct {
	t        *testing.T
	network  *memnet.Network
	register *storeRegister
	random   *rand.Rand
	// seeded reports whether the settings name seeds.
	seeded bool
	vms    []*foundVM
}

// fleetVM is a VM of a largeFleet.
type foundVM struct {
	part    *exchange.Exchange
	stop    context.CancelFunc
	address string
}

const (
	// largeFleetDataCentres is the number of data centres, and largeLinksPerDataCentre the number of VMs with large links
	// in each.
	wholeDataCentres = 5
	largeEach        = 10
	// startSpread is the time over which the starts of VMs are spread that start together.
	startSpread = 300 * time.Millisecond
)

func inWholeFleet(t *testing.T, seeded bool, test func(fleet *wholeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := &wholeFleet{
			t: t, network: memnet.New(), register: &storeRegister{members: make(map[string]exchange.Member)},
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
func (fleet *wholeFleet) start(from, to int, firstStart bool) {
	for len(fleet.vms) < to {
		fleet.vms = append(fleet.vms, nil)
	}
	fleet.startEach(from, to, 1, firstStart)
}

// startEvery is start for every step-th of these VMs only.
func (fleet *wholeFleet) startEach(from, to, step int, firstStart bool) {
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

func (fleet *wholeFleet) startOne(number int, firstStart bool) {
	conn, err := fleet.network.ListenPacket(context.Background(), address(number))
	assert.NilError(fleet.t, err)
	capacity := smallLink
	if number < largeEach*wholeDataCentres {
		capacity = largeLink
	}
	self := exchange.Member{
		VM: fmt.Sprintf("vm-%d", number), Address: address(number), First: firstStart,
		DataCentre: fmt.Sprintf("centre-%d", number%wholeDataCentres), Capacity: capacity,
	}
	var seeds []string
	if fleet.seeded {
		seeds = []string{address(0), address(1), address(2)}
	}
	instance := exchange.New(
		exchange.DefaultSettings(), self, conn, seeds, fleet.register, epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = instance.Run(ctx, &sink{told: make(map[string][]pool.Report)}) }()
	fleet.vms[number] = &foundVM{part: instance, stop: stop, address: address(number)}
}

func (fleet *wholeFleet) kill(from, to int) {
	for _, vm := range fleet.vms[from:to] {
		vm.stop()
	}
	synctest.Wait()
}

// assertDiscovered checks that all VMs agree on three coordinators, and that each data centre has one reader of the store.
func (fleet *wholeFleet) assertFound() {
	agreed := fleet.vms[len(fleet.vms)-1].part.Coordinators()
	assert.Equal(fleet.t, len(agreed), 3)
	readers := make(map[string]int)
	readingThemselves := 0
	for number, vm := range fleet.vms {
		assert.DeepEqual(fleet.t, vm.part.Coordinators(), agreed)
		role := vm.part.Role(6, func(string) bool { return false })
		assert.Assert(fleet.t, !role.Unsettled, "vm-%d", number)
		if role.Ask == "" {
			readingThemselves++
			role.Ask = vm.address
		}
		readers[role.Ask]++
	}
	assert.Equal(fleet.t, len(readers), wholeDataCentres, "%v", readers)
	assert.Equal(fleet.t, readingThemselves, wholeDataCentres)
}

// TestLargeFleetDiscovery guards against a large fleet that overloads the store and never discovers itself. That happened
// when each of 985 VMs registered at its start: the store rejected most writes, the VMs retried at a fixed interval,
// and the store went on to complete writes whose callers had timed out.
func TestLargeFleetDiscovery(t *testing.T) {
	for name, test := range map[string]struct {
		seeded bool
		// change changes the fleet of count VMs after its first start and discovery. It may be nil.
		change func(fleet *wholeFleet, count int)
		// calls is the maximum number of calls to the store per VM over the whole test.
		calls float64
	}{
		"all VMs start":                 {seeded: true, calls: 0.2},
		"all VMs start without seeds":   {calls: 3},
		"all VMs restart":               {seeded: true, calls: 1.4, change: startAgain},
		"all VMs restart without seeds": {calls: 6, change: startAgain}, // three calls per start
		"a data centre restarts":        {seeded: true, calls: 1.4, change: func(fleet *wholeFleet, count int) { startSome(fleet, count, wholeDataCentres) }},
		"half of the VMs restart":       {seeded: true, calls: 1.4, change: func(fleet *wholeFleet, count int) { startSome(fleet, count, 2) }},
		"VMs join": {seeded: true, calls: 0.4, change: func(fleet *wholeFleet, count int) {
			fleet.start(count, count+count/5, false)
		}},
		"VMs join while the store is unavailable": {seeded: true, calls: 0.4, change: func(fleet *wholeFleet, count int) {
			fleet.register.setAway(true)
			fleet.start(count, count+count/5, false)
		}},
		"all seeds are gone": {seeded: true, calls: 1, change: func(fleet *wholeFleet, count int) {
			fleet.kill(0, 3)
			time.Sleep(3 * time.Second)
			fleet.start(count, count+count/5, false)
			fleet.vms = fleet.vms[3:]
		}},
	} {
		for _, count := range wholeSizes() {
			t.Run(fmt.Sprintf("%s, %d VMs", name, count), func(t *testing.T) {
				t.Parallel()
				inWholeFleet(t, test.seeded, func(fleet *wholeFleet) {
					fleet.start(0, count, true)
					time.Sleep(5 * time.Second)
					if test.change != nil {
						test.change(fleet, count)
						time.Sleep(foundWithin)
					}
					fleet.assertFound()
					calls, members := fleet.register.callsNow()
					assert.Assert(t, float64(calls) <= 60+test.calls*float64(count), "%d calls", calls)
					assert.Assert(t, members <= 20+count/10, "%d registered VMs", members)
					t.Logf("%d calls, %d registered VMs", calls, members)
				})
			})
		}
	}
}

// discoveryTime is the time within which VMs that start must discover the others.
const foundWithin = 3 * time.Second

func startAgain(fleet *wholeFleet, count int) {
	fleet.kill(0, count)
	time.Sleep(500 * time.Millisecond)
	fleet.start(0, count, false)
}

// restartEvery restarts every step-th VM of the fleet together.
func startSome(fleet *wholeFleet, count, step int) {
	for number := 0; number < count; number += step {
		fleet.kill(number, number+1)
	}
	time.Sleep(500 * time.Millisecond)
	fleet.startEach(0, count, step, false)
}

// flagLargeFleet names the flag that sets the number of VMs of large fleets, for manual runs. Zero selects the default
// sizes.
const flagWhole = "whole.vms"

// largeFleetSizes returns the sizes of the large fleets to test.
func wholeSizes() []int {
	if size, ok := flag.Lookup(flagWhole).Value.(flag.Getter).Get().(int); ok && size > 0 {
		return []int{size}
	}
	return []int{100, 300}
}
