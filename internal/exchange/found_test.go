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

// Limits of the platform's store, as the users of the largest fleet have it.
const (
	storeAnswer = 4 * time.Millisecond
	storeAppend = 4 * time.Millisecond
	storeQueue  = 2 * time.Second
	storePage   = 500
)

var errStoreBusy = errors.New("store is busy")

// storeRegister is a register in a store that takes entries in turn: what would wait for too long is turned away, and what
// its VM gave up waiting for is done all the same.
type storeRegister struct {
	mu      sync.Mutex
	members map[string]exchange.Member
	// free is when the last entry that waits is done.
	free time.Time
	// calls counts all calls, and away says that none is answered.
	calls int
	away  bool
}

var _ exchange.Register = (*storeRegister)(nil)

// Enter implements exchange.Register.
func (storeregister *storeRegister) Enter(ctx context.Context, member exchange.Member) error {
	storeregister.mu.Lock()
	storeregister.calls++
	now := time.Now()
	if storeregister.free.Before(now) {
		storeregister.free = now
	}
	waits := storeregister.free.Sub(now)
	if waits > storeQueue {
		storeregister.mu.Unlock()
		return errStoreBusy
	}
	storeregister.free = storeregister.free.Add(storeAppend)
	storeregister.mu.Unlock()
	time.AfterFunc(waits+storeAppend, func() { // also when its VM is gone
		storeregister.mu.Lock()
		defer storeregister.mu.Unlock()
		storeregister.members[member.VM] = member
	})
	return storeregister.answer(ctx, waits+storeAppend+storeAnswer)
}

// List implements exchange.Register.
func (storeregister *storeRegister) List(ctx context.Context) ([]exchange.Member, error) {
	storeregister.mu.Lock()
	list := make([]exchange.Member, 0, len(storeregister.members))
	for _, member := range storeregister.members {
		list = append(list, member)
	}
	pages := 1 + len(list)/storePage
	storeregister.calls += pages
	storeregister.mu.Unlock()
	return list, storeregister.answer(ctx, time.Duration(pages)*storeAnswer)
}

// answer answers a call after a time, unless it is away.
func (storeregister *storeRegister) answer(ctx context.Context, after time.Duration) error {
	storeregister.mu.Lock()
	if storeregister.away {
		after = time.Hour
	}
	storeregister.mu.Unlock()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

func (storeregister *storeRegister) setAway(away bool) {
	storeregister.mu.Lock()
	defer storeregister.mu.Unlock()
	storeregister.away = away
}

// callsNow returns how many calls came, and how many VMs are in the register.
func (storeregister *storeRegister) callsNow() (calls, members int) {
	storeregister.mu.Lock()
	defer storeregister.mu.Unlock()
	return storeregister.calls, len(storeregister.members)
}

// wholeFleet is many VMs of five data centres that find each other before such a store.
type wholeFleet struct {
	t        *testing.T
	network  *memnet.Network
	register *storeRegister
	random   *rand.Rand
	// seeded says that the settings name some VMs.
	seeded bool
	vms    []*foundVM
}

// foundVM is one of them.
type foundVM struct {
	part    *exchange.Exchange
	stop    context.CancelFunc
	address string
}

// wholeDataCentres is how many data centres there are, and largeEach how many VMs of each have great links.
const (
	wholeDataCentres = 5
	largeEach        = 10
	// startSpread is the time in which VMs start that start together.
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
			time.Sleep(time.Minute) // entries that are done later
		}()
		test(fleet)
	})
}

// start starts VMs with these numbers within startSpread of each other.
func (fleet *wholeFleet) start(from, to int, first bool) {
	for len(fleet.vms) < to {
		fleet.vms = append(fleet.vms, nil)
	}
	fleet.startEach(from, to, 1, first)
}

// startEach starts one of each so many VMs of these numbers within startSpread of each other.
func (fleet *wholeFleet) startEach(from, to, oneOf int, first bool) {
	var starting sync.WaitGroup
	for number := from; number < to; number += oneOf {
		after := time.Duration(fleet.random.Int64N(int64(startSpread)))
		starting.Go(func() {
			time.Sleep(after)
			fleet.startOne(number, first)
		})
	}
	starting.Wait()
}

func (fleet *wholeFleet) startOne(number int, first bool) {
	conn, err := fleet.network.ListenPacket(context.Background(), address(number))
	assert.NilError(fleet.t, err)
	capacity := smallLink
	if number < largeEach*wholeDataCentres {
		capacity = largeLink
	}
	self := exchange.Member{
		VM: fmt.Sprintf("vm-%d", number), Address: address(number), First: first,
		DataCentre: fmt.Sprintf("centre-%d", number%wholeDataCentres), Capacity: capacity,
	}
	var seeds []string
	if fleet.seeded {
		seeds = []string{address(0), address(1), address(2)}
	}
	part := exchange.New(
		exchange.DefaultSettings(), self, conn, seeds, fleet.register, epoch.New(time.Now), slog.New(slog.DiscardHandler), time.Now)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = part.Run(ctx, &sink{told: make(map[string][]pool.Report)}) }()
	fleet.vms[number] = &foundVM{part: part, stop: stop, address: address(number)}
}

func (fleet *wholeFleet) kill(from, to int) {
	for _, vm := range fleet.vms[from:to] {
		vm.stop()
	}
	synctest.Wait()
}

// assertFound checks that all VMs agree on who decides and each knows who reads for it: one VM of its data centre.
func (fleet *wholeFleet) assertFound() {
	agreed := fleet.vms[len(fleet.vms)-1].part.Coordinators()
	assert.Equal(fleet.t, len(agreed), 3)
	readers := make(map[string]int)
	alone := 0
	for number, vm := range fleet.vms {
		assert.DeepEqual(fleet.t, vm.part.Coordinators(), agreed)
		role := vm.part.Role(6, func(string) bool { return false })
		assert.Assert(fleet.t, !role.Unsettled, "vm-%d", number)
		if role.Ask == "" {
			alone++
			role.Ask = vm.address
		}
		readers[role.Ask]++
	}
	assert.Equal(fleet.t, len(readers), wholeDataCentres, "%v", readers)
	assert.Equal(fleet.t, alone, wholeDataCentres)
}

// TestWholeFleetFindsItself has up to two thousand VMs before one store. Each of 985 wrote itself into one register at its
// start: the store turned most of them away, each tried again at a fixed pace, what was given up was done all the same,
// and no VM ever knew another one.
func TestWholeFleetFindsItself(t *testing.T) {
	for name, test := range map[string]struct {
		seeded bool
		// happen is what happens once all started for the first time and found each other, to count VMs.
		happen func(fleet *wholeFleet, count int)
		// calls is how many calls to the store there may be for each VM, over all.
		calls float64
	}{
		"all start":                  {seeded: true, calls: 0.2},
		"all start, without seeds":   {calls: 3},
		"all start again":            {seeded: true, calls: 1.4, happen: startAgain},
		"all start again, no seeds":  {calls: 6, happen: startAgain}, // three a start
		"a data centre starts again": {seeded: true, calls: 1.4, happen: func(fleet *wholeFleet, count int) { startSome(fleet, count, wholeDataCentres) }},
		"half start again":           {seeded: true, calls: 1.4, happen: func(fleet *wholeFleet, count int) { startSome(fleet, count, 2) }},
		"some join": {seeded: true, calls: 0.4, happen: func(fleet *wholeFleet, count int) {
			fleet.start(count, count+count/5, false)
		}},
		"some join while the store is away": {seeded: true, calls: 0.4, happen: func(fleet *wholeFleet, count int) {
			fleet.register.setAway(true)
			fleet.start(count, count+count/5, false)
		}},
		"all seeds are gone": {seeded: true, calls: 1, happen: func(fleet *wholeFleet, count int) {
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
					if test.happen != nil {
						test.happen(fleet, count)
						time.Sleep(foundWithin)
					}
					fleet.assertFound()
					calls, members := fleet.register.callsNow()
					assert.Assert(t, float64(calls) <= 60+test.calls*float64(count), "%d calls", calls)
					assert.Assert(t, members <= 20+count/10, "%d VMs in the register", members)
					t.Logf("%d calls, %d VMs in the register", calls, members)
				})
			})
		}
	}
}

// foundWithin is the time in which VMs that start find the others.
const foundWithin = 3 * time.Second

func startAgain(fleet *wholeFleet, count int) {
	fleet.kill(0, count)
	time.Sleep(500 * time.Millisecond)
	fleet.start(0, count, false)
}

// startSome lets one of each so many VMs start again together.
func startSome(fleet *wholeFleet, count, oneOf int) {
	for number := 0; number < count; number += oneOf {
		fleet.kill(number, number+1)
	}
	time.Sleep(500 * time.Millisecond)
	fleet.startEach(0, count, oneOf, false)
}

// flagWhole is how many VMs the fleets of a test have, or zero for the usual ones. It is for runs by hand.
const flagWhole = "whole.vms"

// wholeSizes returns how many VMs the fleets of a test have.
func wholeSizes() []int {
	if given, ok := flag.Lookup(flagWhole).Value.(flag.Getter).Get().(int); ok && given > 0 {
		return []int{given}
	}
	return []int{100, 300}
}
