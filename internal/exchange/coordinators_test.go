package exchange_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/exchange"
	"github.com/mastwinch/mastwinch/internal/pool"
)

// Link capacities in Mbit/s.
const (
	largeLink = 200
	smallLink = 20
)

// addFleet adds count VMs in three data centres. The first two VMs of each data centre have large links.
func (vms *vms) addFleet(t *testing.T, count int) []*countingConn {
	t.Helper()
	conns := make([]*countingConn, 0, count)
	for number := range count {
		conns = append(conns, vms.addMember(t, number))
	}
	return conns
}

func (vms *vms) addMember(t *testing.T, number int) *countingConn {
	t.Helper()
	inner, err := vms.network.ListenPacket(t.Context(), address(number))
	assert.NilError(t, err)
	conn := &countingConn{PacketConn: inner, vm: fmt.Sprintf("vm-%d", number)}
	capacity := smallLink
	if number < 6 {
		capacity = largeLink
	}
	self := exchange.Member{
		VM: conn.vm, Address: address(number), DataCentre: []string{"north", "south", "west"}[number%3], Capacity: capacity,
	}
	instance := exchange.New(vms.settings, self, conn, nil, vms.registry, epoch.New(vms.clock), slog.New(slog.DiscardHandler), vms.clock)
	sink := &sink{received: make(map[string][]pool.Report)}
	ctx, stop := context.WithCancel(t.Context())
	go func() { _ = instance.Run(ctx, sink) }()
	if number < len(vms.instances) {
		vms.instances[number], vms.sinks[number], vms.stop[number] = instance, sink, stop
		return conn
	}
	vms.instances, vms.sinks, vms.stop = append(vms.instances, instance), append(vms.sinks, sink), append(vms.stop, stop)
	return conn
}

// runInFleet runs a test in virtual time with count VMs that have discovered each other.
func runInFleet(t *testing.T, count int, test func(t *testing.T, vms *vms, conns []*countingConn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		vms := newVMs(t, 0)
		defer vms.stopAll()
		conns := vms.addFleet(t, count)
		time.Sleep(3 * time.Second)
		test(t, vms, conns)
	})
}

// agreedCoordinators returns the coordinators, and fails the test if VMs disagree on them. It leaves out the VMs with the
// numbers except.
func (vms *vms) agreedCoordinators(t *testing.T, except ...int) []string {
	t.Helper()
	var agreedCoordinators []string
	for number, instance := range vms.instances {
		excluded := false
		for _, other := range except {
			excluded = excluded || other == number
		}
		if excluded {
			continue
		}
		got := instance.Coordinators()
		if agreedCoordinators == nil {
			agreedCoordinators = got
		}
		assert.DeepEqual(t, got, agreedCoordinators)
	}
	return agreedCoordinators
}

func numberOf(t *testing.T, vm string) int {
	t.Helper()
	number := 0
	_, err := fmt.Sscanf(vm, "vm-%d", &number)
	assert.NilError(t, err)
	return number
}

// TestVMsReportToCoordinatorsOnly checks that 36 VMs agree on three coordinators with large links in different data
// centres, and that reports are sent to these alone.
func TestVMsReportToCoordinatorsOnly(t *testing.T) {
	runInFleet(t, 36, func(t *testing.T, vms *vms, conns []*countingConn) {
		coordinators := vms.agreedCoordinators(t)
		assert.Equal(t, len(coordinators), 3)
		dataCentres := make(map[int]bool)
		for _, vm := range coordinators {
			number := numberOf(t, vm)
			assert.Assert(t, number < 6, "%s has a small link", vm)
			dataCentres[number%3] = true
		}
		assert.Equal(t, len(dataCentres), 3)
		for _, instance := range vms.instances {
			assert.Equal(t, instance.KnownCount(), 36)
		}
		const reports = 10
		for id := range uint64(reports) {
			vms.instances[20].Publish(pool.Report{ID: id, Server: "s1", Phase: pool.PhasePrefill})
			time.Sleep(5 * time.Millisecond)
		}
		assert.Equal(t, conns[20].sent.Load(), int64(3*reports), "reports sent to all VMs would take 35 datagrams each")
		for number, sink := range vms.sinks {
			want := 0
			for _, vm := range coordinators {
				if numberOf(t, vm) == number {
					want = reports
				}
			}
			assert.Equal(t, len(sink.reportsFrom("vm-20")), want, "vm-%d", number)
		}
	})
}

// TestSmallFleetHasCoordinators guards against VMs of a small fleet that each assign requests by themselves. In fleets of
// 6 to 23 VMs that lowered the served fraction of short prompts under overload from 0.39 to 0.31.
func TestSmallFleetHasCoordinators(t *testing.T) {
	for _, count := range []int{2, 3, 9} {
		runInFleet(t, count, func(t *testing.T, vms *vms, _ []*countingConn) {
			assert.Equal(t, len(vms.agreedCoordinators(t)), min(count, 3))
		})
	}
}

// TestNextCoordinatorTakesOver checks the failover when the first coordinator becomes unreachable, and that it is
// preferred again only some time after its restart, since it has not received all reports before.
func TestNextCoordinatorTakesOver(t *testing.T) {
	runInFleet(t, 36, func(t *testing.T, vms *vms, _ []*countingConn) {
		before := vms.agreedCoordinators(t)
		first := numberOf(t, before[0])
		vms.network.SetUnreachable(address(first), true)
		vms.instances[20].ReportUnresponsive(before[0])
		assert.Equal(t, vms.instances[20].Coordinators()[0], before[1], "a VM that marked it unresponsive must use the next one at once")
		time.Sleep(2200 * time.Millisecond)
		after := vms.agreedCoordinators(t, first)
		assert.Equal(t, after[0], before[1])
		assert.Equal(t, len(after), 3)

		vms.stop[first]()
		synctest.Wait()
		vms.network.SetUnreachable(address(first), false)
		vms.addMember(t, first)
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, vms.instances[20].Coordinators()[0] != before[0], "a coordinator that has just started lacks reports")
		time.Sleep(1500 * time.Millisecond)
		assert.DeepEqual(t, vms.agreedCoordinators(t), before)
	})
}

// TestShareOfPartitions guards against partitions that together exceed the limits of the fleet. The coordinators of the
// majority must use the limits whole, and a VM that is partitioned from all others only the share of one VM.
func TestShareOfPartitions(t *testing.T) {
	const count = 36
	runInFleet(t, count, func(t *testing.T, vms *vms, _ []*countingConn) {
		coordinators := vms.agreedCoordinators(t)
		for _, vm := range coordinators {
			assert.Equal(t, vms.instances[numberOf(t, vm)].Share(), 1.0, "all VMs are live for %s", vm)
		}
		const partitioned = 20
		vms.network.SetUnreachable(address(partitioned), true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, vms.instances[partitioned].Share(), 1.0/count)
		assert.DeepEqual(t, vms.instances[partitioned].Coordinators(), []string{"vm-20"})
		for _, vm := range coordinators {
			assert.Equal(t, vms.instances[numberOf(t, vm)].Share(), 1.0, "all other VMs are live for %s", vm)
		}
	})
}

// TestUnresponsiveVMIsUsedAgain checks that a VM that was marked unresponsive is a coordinator again once a datagram
// arrives from it.
func TestUnresponsiveVMIsUsedAgain(t *testing.T) {
	runInFleet(t, 36, func(t *testing.T, vms *vms, _ []*countingConn) {
		time.Sleep(100 * time.Millisecond) // the heartbeats at 3.0 s would clear a mark set at the same time
		coordinators := vms.agreedCoordinators(t)
		for _, vm := range coordinators {
			vms.instances[20].ReportUnresponsive(vm)
		}
		assert.Equal(t, len(vms.instances[20].Coordinators()), 0)
		time.Sleep(700 * time.Millisecond)
		assert.DeepEqual(t, vms.instances[20].Coordinators(), coordinators)
	})
}

// TestDataCentreHasOneReader checks that the VMs of a data centre agree on one reader of the store, also after that
// reader becomes unreachable.
func TestDataCentreHasOneReader(t *testing.T) {
	runInFleet(t, 36, func(t *testing.T, vms *vms, _ []*countingConn) {
		countReaders := func() map[string]int {
			counts := make(map[string]int)
			for number := 0; number < 36; number += 3 {
				role := vms.instances[number].Role(6, func(string) bool { return false })
				counts[role.ReaderAddress]++
			}
			return counts
		}
		before := countReaders()
		assert.Equal(t, len(before), 2, "the reader's address, and an empty one at the reader itself: %v", before)
		reader := ""
		for address := range before {
			if address != "" {
				reader = address
			}
		}
		vms.network.SetUnreachable(reader, true)
		time.Sleep(2200 * time.Millisecond)
		after := countReaders()
		assert.Assert(t, after[reader] == 0, "%v", after)
		assert.Assert(t, after[""] <= 2, "the unreachable reader, and the new one: %v", after)
	})
}

// TestReadersWithoutStoreAreReplaced guards against VMs that each read the store themselves, with four calls a second,
// because the store rejects the first three readers of their data centre. They must agree on a reader that it responds to.
func TestReadersWithoutStoreAreReplaced(t *testing.T) {
	runInFleet(t, 36, func(t *testing.T, vms *vms, _ []*countingConn) {
		never := func(string) bool { return false }
		rejected := make(map[string]bool)
		for range 3 {
			reader := vms.instances[33].Role(6, never).ReaderAddress
			for number := range vms.instances {
				if address(number) == reader {
					vms.sinks[number].setStoreUnavailable(true)
				}
			}
			rejected[reader] = true
			time.Sleep(1200 * time.Millisecond)
		}
		assert.Equal(t, len(rejected), 3)
		readers := make(map[string]int)
		for number := 0; number < 36; number += 3 {
			if !rejected[address(number)] {
				readers[vms.instances[number].Role(6, never).ReaderAddress]++
			}
		}
		assert.Equal(t, len(readers), 2, "the reader's address, and an empty one at the reader itself: %v", readers)
	})
}

// TestRestartedVMsDoNotRegisterAgain checks that VMs that are registered already discover each other by one read of the
// registry. Registering again would take longer, since the store handles writes one after the other.
func TestRestartedVMsDoNotRegisterAgain(t *testing.T) {
	runInFleet(t, 36, func(t *testing.T, vms *vms, _ []*countingConn) {
		registrations := vms.registry.registrationCount()
		assert.Assert(t, registrations >= 7, "%d registrations, too few for discovery", registrations)
		for number, stop := range vms.stop {
			stop()
			synctest.Wait()
			vms.addMember(t, number)
		}
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, vms.registry.registrationCount(), registrations)
		for _, instance := range vms.instances {
			assert.Equal(t, instance.KnownCount(), 36)
		}
		assert.Equal(t, len(vms.agreedCoordinators(t)), 3)
	})
}

// registerGone registers VMs with large links that are permanently gone.
func (vms *vms) registerGone(t *testing.T, count int) {
	t.Helper()
	for number := range count {
		gone := exchange.Member{
			VM: fmt.Sprintf("gone-%d", number), Address: address(100 + number),
			DataCentre: []string{"north", "south", "west"}[number%3], Capacity: largeLink,
		}
		assert.NilError(t, vms.registry.Register(t.Context(), gone))
	}
}

// TestVMsFindEachOtherDespiteGoneVMs guards against VMs that find no live peer, and stay their own coordinators forever,
// because they only say hello to the first VMs of the registry. Here these are 40 VMs with large links that are gone.
func TestVMsFindEachOtherDespiteGoneVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := newVMs(t, 0)
		defer vms.stopAll()
		vms.registerGone(t, 40)
		vms.addFleet(t, 12)
		time.Sleep(6 * time.Second)
		coordinators := vms.agreedCoordinators(t)
		assert.Equal(t, len(coordinators), 3)
		for _, vm := range coordinators {
			assert.Assert(t, numberOf(t, vm) < 6, "%s has a small link", vm)
		}
	})
}

// TestVMsAgreeSoonDespiteGoneVMs guards against slow agreement on the coordinators when VMs start together and 40
// registered VMs are gone. It takes 4 to 7 s if a VM says hello to the VMs that are down in round-robin order only,
// instead of contacting the coordinators that a live peer names.
func TestVMsAgreeSoonDespiteGoneVMs(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			vms := newVMs(t, 0)
			defer vms.stopAll()
			vms.registerGone(t, 40)
			vms.addFleet(t, 12)
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(vms.agreedCoordinators(t)), 3)
		})
	}
}

// TestShareIgnoresGoneVMs checks that live VMs use the limits whole when most registered VMs are permanently gone, since
// these use nothing.
func TestShareIgnoresGoneVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := newVMs(t, 0)
		defer vms.stopAll()
		vms.registerGone(t, 40)
		vms.addFleet(t, 12)
		time.Sleep(6 * time.Second)
		for _, vm := range vms.agreedCoordinators(t) {
			assert.Equal(t, vms.instances[numberOf(t, vm)].Share(), 1.0)
		}
	})
}

// suspendable is the clock of a VM that can be suspended. It runs ahead of time.Now by the time of the suspensions.
type suspendable struct {
	offset atomic.Int64
}

func (suspendable *suspendable) now() time.Time {
	return time.Now().Add(time.Duration(suspendable.offset.Load()))
}

// TestResumedVMKeepsCoordinators guards against a VM that assigns requests by outdated reports right after a suspension.
// It must keep its earlier coordinators, and become its own only when no peer responds within a short time.
func TestResumedVMKeepsCoordinators(t *testing.T) {
	for _, suspended := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		for name, unreachable := range map[string]bool{"peers are live": false, "peers are unreachable": true} {
			t.Run(suspended.String()+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					vms := newVMs(t, 0)
					defer vms.stopAll()
					vms.addFleet(t, 5)
					clock := &suspendable{}
					vms.clock = clock.now
					vms.addMember(t, 20)
					time.Sleep(3100 * time.Millisecond)
					resumed := vms.instances[5]
					before := resumed.Coordinators()
					assert.Assert(t, before[0] != "vm-20")
					for number := range 5 {
						vms.network.SetUnreachable(address(number), unreachable)
					}
					clock.offset.Add(int64(suspended))
					resumed.Resumed(suspended)
					assert.Equal(t, resumed.Coordinators()[0], before[0], "the earlier coordinator must be kept at first")
					time.Sleep(700 * time.Millisecond)
					want := before[0]
					if unreachable {
						want = "vm-20"
					}
					assert.Equal(t, resumed.Coordinators()[0], want)
				})
			})
		}
	}
}
