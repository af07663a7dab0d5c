package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Times of a test run in which all servers advertise a limit from the start, and a fault occurs
// half way.
const (
	faultAt         = 6 * time.Second
	faultDuration   = 4 * time.Second
	trafficDuration = 14 * time.Second
)

// TestLimitsOverAllVMs guards against servers that get more than their limit over all VMs, also
// while VMs are lost, partitioned or resume. The load exceeds what all servers accept together. In
// any four seconds no server may get more than one and a half times its limit and five requests,
// from the VMs that received it. Without faults each server gets most of its limit.
func TestLimitsOverAllVMs(t *testing.T) {
	for name, test := range map[string]struct {
		fault func(fleet *fleet)
		// whole reports that servers must get most of their limits during the fault too.
		whole bool
		// maxVMs is the maximum number of VMs for this case, or zero for any.
		maxVMs int
	}{
		"no fault":                            {fault: func(*fleet) {}, whole: true},
		"the coordinator is killed":           {fault: func(fleet *fleet) { fleet.coordinatorVM().kill() }, whole: true},
		"the coordinator is frozen":           {fault: freezeCoordinator},
		"the coordinator is disconnected":     {fault: func(fleet *fleet) { fleet.coordinatorVM().disconnect(false) }, maxVMs: 76},
		"the coordinator receives nothing":    {fault: func(fleet *fleet) { fleet.coordinatorVM().disconnect(true) }, maxVMs: 76},
		"another VM is disconnected":          {fault: func(fleet *fleet) { fleet.vms[3].disconnect(false) }},
		"the VMs are partitioned into halves": {fault: partition, maxVMs: 76},
		"rolling restart of VMs":              {fault: rollingRestart, maxVMs: 76},
	} {
		for _, size := range []struct {
			vms   int
			limit float64
		}{{vms: 6, limit: 1.4}, {vms: 18, limit: 5}, {vms: 76, limit: 2}, {vms: 295, limit: 0.3}, {vms: 295, limit: 2}} {
			if test.maxVMs > 0 && size.vms > test.maxVMs {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d VMs, %v a second", name, size.vms, size.limit), func(t *testing.T) {
				t.Parallel()
				runFleet(t, size.vms, 3, func(fleet *fleet) {
					for _, server := range fleet.servers {
						server.setLimit(size.limit)
					}
					began := time.Now()
					time.AfterFunc(faultAt, func() { test.fault(fleet) })
					time.AfterFunc(faultAt+faultDuration, fleet.reconnectAll)
					fleet.sendTraffic(60, trafficDuration)
					fleet.assertWithin(size.limit)
					until := trafficDuration
					if !test.whole {
						until = faultAt
					}
					fleet.assertUsed(size.limit, began.Add(time.Second), began.Add(until))
				})
			})
		}
	}
}

// assertWithin checks that no server got more requests than its limit allows once the grace periods
// are over.
func (fleet *fleet) assertWithin(limit float64) {
	for _, server := range fleet.servers {
		got := server.busiest()
		assert.Check(fleet.t, got <= allowed(limit), "%s got %d, allowed %d", server.id, got, allowed(limit))
	}
}

// assertUsed checks that each server got most of the requests that its limit allows, in a period
// with a higher load.
func (fleet *fleet) assertUsed(limit float64, from, to time.Time) {
	const minFraction = 0.8
	for _, server := range fleet.servers {
		got := server.within(from, to)
		due := limit * to.Sub(from).Seconds()
		assert.Check(fleet.t, float64(got) >= minFraction*due-1, "%s got %d of %v", server.id, got, due)
	}
}

// freezeCoordinator freezes the coordinator for faultDuration.
func freezeCoordinator(fleet *fleet) {
	vm := fleet.coordinatorVM()
	vm.freeze()
	time.AfterFunc(faultDuration, vm.resume)
}

// partition drops all datagrams between two halves of the VMs.
func partition(fleet *fleet) {
	half := make(map[string]bool)
	for number, vm := range fleet.vms {
		half[vm.address()] = number%2 == 0
	}
	for _, vm := range fleet.vms {
		own := half[vm.address()]
		vm.markDisrupted()
		vm.conn.setDrops(func(to string) bool { return half[to] != own })
	}
}

// rollingRestart kills and restarts one VM after another.
func rollingRestart(fleet *fleet) {
	for number := range min(10, len(fleet.vms)) {
		after := time.Duration(number) * 300 * time.Millisecond
		time.AfterFunc(after, fleet.vms[number].kill)
		time.AfterFunc(after+200*time.Millisecond, func() { fleet.add(number) })
	}
}

// TestLimitsWithoutPeers guards against limits that are exceeded when all VMs lose contact with
// each other at the same time: each VM then decides by itself, and together they must stay within
// the limit.
func TestLimitsWithoutPeers(t *testing.T) {
	const limit = 5
	runFleet(t, 76, 1, func(fleet *fleet) {
		server := fleet.servers[0]
		server.setLimit(limit)
		fleet.sendTraffic(15, 60*time.Second)
		advertised := len(server.advertisedAt)
		assert.Assert(t, advertised > 60, "%d VMs received the limit", advertised)
		disconnectedAt := time.Now()
		for _, vm := range fleet.vms {
			vm.conn.setDrops(func(string) bool { return true })
		}
		fleet.sendTraffic(60, 20*time.Second)
		fleet.assertWithin(limit)
		assert.Assert(t, server.within(disconnectedAt.Add(limitWindow), time.Now()) > 0, "the server gets no requests any more")
	})
}

// limitChange is the limit that a server advertises from a time on.
type limitChange struct {
	at    time.Duration
	limit float64
}

// greatestLimit returns the highest limit that applies in the limitWindow from a time on. A limit
// applies until the grace period of the next one is over.
func greatestLimit(changes []limitChange, from time.Duration) float64 {
	greatest := 0.0
	for i, change := range changes {
		last := i+1 == len(changes)
		counts := last || from < changes[i+1].at+limitGracePeriod
		if counts && change.at < from+limitWindow {
			greatest = max(greatest, change.limit)
		}
	}
	return greatest
}

// TestChangingLimits guards against requests beyond the limit when limits change, or are advertised
// in some responses only.
func TestChangingLimits(t *testing.T) {
	for name, test := range map[string]struct {
		changes []limitChange
		// advertiseEvery is the number of responses of which one advertises the limit.
		advertiseEvery int
		// from is the time from which requests are counted.
		from time.Duration
	}{
		"limit rises and falls":        {changes: []limitChange{{0, 5}, {8 * time.Second, 1}, {16 * time.Second, 5}, {24 * time.Second, 0.2}}},
		"limit of zero, then two":      {changes: []limitChange{{0, 0}, {12 * time.Second, 2}}},
		"limit in one response of ten": {changes: []limitChange{{0, 1.4}}, advertiseEvery: 10, from: 20 * time.Second},
	} {
		for _, vms := range []int{6, 76} {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				t.Parallel()
				runFleet(t, vms, 3, func(fleet *fleet) {
					limited := fleet.servers[0]
					limited.advertiseEvery = test.advertiseEvery
					for _, change := range test.changes {
						time.AfterFunc(change.at, func() { limited.setLimit(change.limit) })
					}
					began := time.Now()
					const duration = 32 * time.Second
					fleet.sendTraffic(60, duration)
					for from := max(limitGracePeriod, test.from); from+limitWindow < duration; from += limitWindow / 40 {
						got := limited.within(began.Add(from), began.Add(from+limitWindow))
						maxCount := allowed(greatestLimit(test.changes, from))
						assert.Assert(t, got <= maxCount, "%d at %s, allowed %d", got, from, maxCount)
					}
				})
			})
		}
	}
}

// TestLimitEnds checks that a server whose limit ends gets about its share of the load again after
// the grace period, not all at once, and that no request is refused or late meanwhile.
func TestLimitEnds(t *testing.T) {
	for _, vms := range []int{2, 6, 76, 295} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			runFleet(t, vms, 3, func(fleet *fleet) {
				limited := fleet.servers[0]
				limited.setLimit(1)
				fleet.sendTraffic(60, 5*time.Second)
				ended := time.Now()
				limited.setLimit(-1)
				fleet.sendTraffic(60, 8*time.Second)
				before := limited.within(ended.Add(-limitWindow), ended)
				assert.Check(t, before <= allowed(1), "%d before", before)
				after := limited.within(ended.Add(limitGracePeriod+time.Second), ended.Add(limitGracePeriod+time.Second+limitWindow))
				assert.Check(t, after >= 60, "%d after, its share is 80", after)
				for _, got := range fleet.results {
					assert.Check(t, got.served && got.duration < plainObjective, "%+v", got)
				}
			})
		})
	}
}

// TestAllServersLimited offers one, three and five times the load that all servers of a service
// accept together. As many requests must be served in time as the servers accept, and the others
// refused within the objective.
func TestAllServersLimited(t *testing.T) {
	const limit, servers, duration = 5.0, 3, 12 * time.Second
	for _, vms := range []int{1, 6, 76} {
		for _, times := range []float64{1, 3, 5} {
			t.Run(fmt.Sprintf("%d VMs, %v times", vms, times), func(t *testing.T) {
				t.Parallel()
				runFleet(t, vms, servers, func(fleet *fleet) {
					for _, server := range fleet.servers {
						server.setLimit(limit)
					}
					fleet.sendTraffic(15, 3*time.Second) // all VMs receive the limits
					began := time.Now()
					fleet.sendTraffic(times*limit*servers, duration)
					inTime, slowest := fleet.outcome(began)
					capacity := limit * servers * duration.Seconds()
					t.Logf("%v of %v in time, the slowest refusal after %s", inTime, capacity, slowest)
					assert.Check(t, float64(inTime) >= 0.9*capacity, "%d of %v in time", inTime, capacity)
					assert.Check(t, slowest <= plainObjective, "refused after %s", slowest)
				})
			})
		}
	}
}

// outcome returns the number of requests since a time that were served within the objective, and
// the longest time until another one was refused.
func (fleet *fleet) outcome(since time.Time) (inTime int, slowest time.Duration) {
	for _, got := range fleet.results {
		switch {
		case got.arrived.Before(since):
		case got.served && got.duration <= plainObjective:
			inTime++
		case !got.served:
			slowest = max(slowest, got.duration)
		}
	}
	return inTime, slowest
}

// TestIncorrectLimits guards against lost capacity when idle servers advertise limits: callers lose
// no more than what these servers would have served, and no request is refused while another server
// accepts it.
func TestIncorrectLimits(t *testing.T) {
	const roundDuration = 2 * time.Second
	for name, test := range map[string]struct {
		setLimits func(fleet *fleet, round int)
		// minServed is the minimum fraction of all requests that are served in time.
		minServed float64
	}{
		"one server advertises a very low limit": {setLimits: func(fleet *fleet, _ int) { fleet.servers[0].setLimit(0.1) }, minServed: 1},
		"two servers advertise a limit of zero":  {setLimits: func(fleet *fleet, _ int) { fleet.servers[0].setLimit(0); fleet.servers[1].setLimit(0) }, minServed: 1},
		"one server repeatedly advertises a limit of zero": {setLimits: func(fleet *fleet, round int) {
			fleet.servers[0].setLimit(float64(round%2) - 1)
		}, minServed: 1},
		"all servers in turn advertise a limit above their load": {setLimits: func(fleet *fleet, round int) {
			for number, server := range fleet.servers {
				server.setLimit(-1)
				if number == round%len(fleet.servers) {
					server.setLimit(30)
				}
			}
		}, minServed: 0.99},
		"all servers in turn advertise five requests a second": {setLimits: func(fleet *fleet, round int) {
			for number, server := range fleet.servers {
				server.setLimit(-1)
				if number == round%len(fleet.servers) {
					server.setLimit(5)
				}
			}
		}, minServed: 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFleet(t, 6, 3, func(fleet *fleet) {
				for round := range 15 {
					test.setLimits(fleet, round)
					fleet.sendTraffic(60, roundDuration)
				}
				inTime, slowest := fleet.outcome(time.Time{})
				fraction := float64(inTime) / float64(len(fleet.results))
				t.Logf("%.3f in time", fraction)
				assert.Check(t, fraction >= test.minServed, "%.3f in time", fraction)
				assert.Check(t, slowest <= plainObjective)
			})
		})
	}
}

// TestCostOfLimits checks that a limited server does not increase the traffic between VMs: it
// compares the traffic with one of three servers limited and without, at the same load.
func TestCostOfLimits(t *testing.T) {
	for _, vms := range []int{6, 76, 295} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			sent, bytes := trafficPerVM(t, vms, -1)
			limitedSent, limitedBytes := trafficPerVM(t, vms, 1.4)
			t.Logf("%.1f datagrams and %.0f bytes a second of each VM, %.1f and %.0f with a limit", sent, bytes, limitedSent, limitedBytes)
			const maxRatio = 1.1
			assert.Check(t, limitedSent <= maxRatio*sent && limitedBytes <= maxRatio*bytes)
		})
	}
}

// trafficPerVM returns the datagrams and bytes per second that each VM sends while one of three
// servers advertises a limit. A negative limit means none.
func trafficPerVM(t *testing.T, vms int, limit float64) (sent, bytes float64) {
	t.Helper()
	runFleet(t, vms, 3, func(fleet *fleet) {
		fleet.servers[0].setLimit(limit)
		const duration = 10 * time.Second
		datagrams, size := fleet.sentTotals()
		fleet.sendTraffic(60, duration)
		after, sizeAfter := fleet.sentTotals()
		each := float64(vms) * duration.Seconds()
		sent, bytes = float64(after-datagrams)/each, float64(sizeAfter-size)/each
	})
	return sent, bytes
}

// sentTotals returns the number of datagrams and bytes sent by all VMs.
func (fleet *fleet) sentTotals() (datagrams, bytes int) {
	for _, vm := range fleet.vms {
		vm.conn.mu.Lock()
		datagrams += vm.conn.sent
		bytes += vm.conn.bytes
		vm.conn.mu.Unlock()
	}
	return datagrams, bytes
}
