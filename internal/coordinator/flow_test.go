package coordinator_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Kinds of requests of the users' large fleet, with the mean prompt lengths of its specification.
func short() kind {
	return kind{tokens: 5000, objective: 400 * time.Millisecond, interTokenObjective: 250 * time.Millisecond, decodeTime: 1500 * time.Millisecond}
}

func medium() kind {
	return kind{tokens: 45_000, objective: 1500 * time.Millisecond, interTokenObjective: 600 * time.Millisecond, decodeTime: time.Second}
}

func long() kind {
	return kind{tokens: 190_000, objective: 3 * time.Second, interTokenObjective: time.Second, decodeTime: time.Second}
}

// flow is a stream of requests of one kind, at a constant rate, for a period of time.
type flow struct {
	kind      kind
	perSecond float64
	from, to  time.Duration
}

// sendTraffic sends the flows to the VMs in turn, and returns the results by flow.
func (simulation *simulation) sendTraffic(flows ...flow) [][]*outcome {
	results := make([][]*outcome, len(flows))
	var requests sync.WaitGroup
	for number, flow := range flows {
		count := int(flow.perSecond * (flow.to - flow.from).Seconds())
		results[number] = make([]*outcome, count)
		for i := range count {
			at := flow.from + time.Duration(float64(i)/flow.perSecond*float64(time.Second))
			vm := simulation.vms[(7*i+31*number)%len(simulation.vms)]
			requests.Go(func() {
				time.Sleep(at)
				results[number][i] = vm.run(flow.kind)
			})
		}
	}
	requests.Wait()
	return results
}

// inTime returns the fraction of the requests whose first event was predicted within the objective.
func inTime(results []*outcome) float64 {
	count := 0
	for _, outcome := range results {
		if outcome.placed && outcome.expectedTTFT <= outcome.objective {
			count++
		}
	}
	return float64(count) / float64(len(results))
}

// slowest returns the longest time that an assigned request waited for its assignment.
func slowest(results []*outcome) time.Duration {
	var longest time.Duration
	for _, outcome := range results {
		if outcome.placed {
			longest = max(longest, outcome.waited)
		}
	}
	return longest
}

// TestBurstOfLongPrompts guards against a limit on the rate of long prompts that grows worse with
// the number of VMs. The burst has 20 medium and 21 long prompts a second beside 80 short ones,
// which 150 engines have the capacity to prefill. When each VM decided by itself, after the last
// decision had reached all others, 295 VMs placed at most 28 prompts a second and the others waited
// for their whole objective.
func TestBurstOfLongPrompts(t *testing.T) {
	for name, vms := range map[string]int{"1 VM": 1, "6 VMs": 6, "76 VMs": 76, "295 VMs": 295} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, vms, 150, 0.002, func(simulation *simulation) {
				const end = 4 * time.Second
				results := simulation.sendTraffic(
					flow{kind: short(), perSecond: 80, to: end},
					flow{kind: medium(), perSecond: 20, to: end},
					flow{kind: long(), perSecond: 21, to: end},
				)
				t.Logf("in time %.3f %.3f %.3f, slowest %s %s %s", inTime(results[0]), inTime(results[1]), inTime(results[2]),
					slowest(results[0]), slowest(results[1]), slowest(results[2]))
				assert.Assert(t, inTime(results[0]) >= 0.99)
				assert.Assert(t, inTime(results[1]) >= 0.95)
				assert.Assert(t, inTime(results[2]) >= 0.85)
			})
		})
	}
}

// TestShiftFromLongToShort sends long prompts that are still in prefill when the rate of short ones
// rises more than fourfold.
func TestShiftFromLongToShort(t *testing.T) {
	runSimulation(t, 76, 150, 0.002, func(simulation *simulation) {
		results := simulation.sendTraffic(
			flow{kind: long(), perSecond: 20, to: 2 * time.Second},
			flow{kind: short(), perSecond: 80, to: 2 * time.Second},
			flow{kind: short(), perSecond: 360, from: 2 * time.Second, to: 5 * time.Second},
		)
		t.Logf("in time %.3f %.3f %.3f", inTime(results[0]), inTime(results[1]), inTime(results[2]))
		assert.Assert(t, inTime(results[0]) >= 0.85)
		assert.Assert(t, inTime(results[1]) >= 0.99)
		assert.Assert(t, inTime(results[2]) >= 0.95)
	})
}

// TestSimultaneousRequests guards against overcommitted servers: 60 VMs each get a short request at
// the same moment, and no two of these may be assigned the same last slot.
func TestSimultaneousRequests(t *testing.T) {
	runSimulation(t, 60, 20, 0, func(simulation *simulation) {
		results := simulation.sendTraffic(flow{kind: short(), perSecond: 1e6, to: 60 * time.Microsecond})
		counts := make(map[string]int)
		for _, outcome := range results[0] {
			assert.Assert(t, outcome.placed)
			counts[outcome.servers[0]]++
		}
		for server, count := range counts {
			assert.Assert(t, count <= 10, "%d at %s", count, server)
		}
		assert.Equal(t, inTime(results[0]), 1.0)
	})
}

// TestCoordinatorFailover guards against long waits when the coordinator stops responding. The next
// VM in the order, which gets reports of all requests in flight, must take over within two response
// timeouts.
func TestCoordinatorFailover(t *testing.T) {
	for name, unreachable := range map[string][]string{
		"one":                  {"vm-000"},
		"two at the same time": {"vm-000", "vm-001"},
		"all candidates":       {"vm-000", "vm-001", "vm-002"},
	} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 40, 30, 0, func(simulation *simulation) {
				simulation.sendTraffic(flow{kind: short(), perSecond: 50, to: time.Second})
				for _, vm := range unreachable {
					simulation.setUnreachable(vm, true)
				}
				started := time.Now()
				got := simulation.vms[20].run(short())
				waited := time.Since(started) - got.expectedTTFT
				const each = 50 * time.Millisecond // two response timeouts of 25 ms
				if len(unreachable) == 3 {
					assert.Assert(t, !got.placed, "the VM has to decide by itself")
					assert.Assert(t, got.waited <= 3*each+5*time.Millisecond, "%s", got.waited)
					return
				}
				assert.Assert(t, got.placed)
				assert.Assert(t, got.waited <= time.Duration(len(unreachable))*each+10*time.Millisecond, "%s of %s", got.waited, waited)
				again := simulation.vms[20].run(short())
				assert.Assert(t, again.waited < 10*time.Millisecond, "the next coordinator is used at once: %s", again.waited)
			})
		})
	}
}

// TestLostDatagrams loses a tenth of all datagrams: every request must be assigned servers, and no
// request may remain recorded at a server once all have ended.
func TestLostDatagrams(t *testing.T) {
	runSimulation(t, 40, 30, 0.1, func(simulation *simulation) {
		results := simulation.sendTraffic(flow{kind: short(), perSecond: 60, to: 4 * time.Second})
		assert.Assert(t, inTime(results[0]) >= 0.99, "%f", inTime(results[0]))
		time.Sleep(2500 * time.Millisecond)
		for _, vm := range simulation.vms[:3] {
			for _, server := range vm.pool.Eligible(simulation.service, nil) {
				assert.Equal(t, server.Running, 0, "%s at %s", server.ID, vm.name)
			}
		}
	})
}

// TestAbandonedRequestHoldsNoServers guards against servers that stay assigned to a request whose
// caller disconnects while it is queued or at the moment of its assignment.
func TestAbandonedRequestHoldsNoServers(t *testing.T) {
	for name, callerTimeout := range map[string]time.Duration{
		"while queued":                                100 * time.Millisecond,
		"before the request for servers":              0,
		"while the request for servers is on its way": 2 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 3, 1, 0, func(simulation *simulation) {
				request := short()
				request.objective = callerTimeout
				if name == "while queued" {
					request.tokens = 400_000 // exceeds the memory of one engine
				}
				got := simulation.vms[2].run(request)
				assert.Assert(t, !got.placed)
				time.Sleep(20 * time.Millisecond)
				for _, vm := range simulation.vms {
					for _, server := range vm.pool.Eligible(simulation.service, nil) {
						assert.Equal(t, server.Running, 0)
					}
				}
			})
		})
	}
}
