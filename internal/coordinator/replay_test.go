package coordinator_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Kinds of requests of the users' large fleet, with the mean lengths of its sheet.
func short() kind {
	return kind{tokens: 5000, objective: 400 * time.Millisecond, gap: 250 * time.Millisecond, writes: 1500 * time.Millisecond}
}

func middle() kind {
	return kind{tokens: 45_000, objective: 1500 * time.Millisecond, gap: 600 * time.Millisecond, writes: time.Second}
}

func long() kind {
	return kind{tokens: 190_000, objective: 3 * time.Second, gap: time.Second, writes: time.Second}
}

// flow is requests of one kind, so many a second at even distances, for a time.
type flow struct {
	kind      kind
	perSecond float64
	from, to  time.Duration
}

// play sends flows to VMs in turn, and returns what became of each request by flow.
func (world *world) play(flows ...flow) [][]*prompt {
	results := make([][]*prompt, len(flows))
	var requests sync.WaitGroup
	for number, flow := range flows {
		count := int(flow.perSecond * (flow.to - flow.from).Seconds())
		results[number] = make([]*prompt, count)
		for i := range count {
			at := flow.from + time.Duration(float64(i)/flow.perSecond*float64(time.Second))
			vm := world.vms[(7*i+31*number)%len(world.vms)]
			requests.Go(func() {
				time.Sleep(at)
				results[number][i] = vm.run(flow.kind)
			})
		}
	}
	requests.Wait()
	return results
}

// inTime is the part of the requests whose first event was expected within the objective.
func inTime(prompts []*prompt) float64 {
	count := 0
	for _, prompt := range prompts {
		if prompt.placed && prompt.expected <= prompt.objective {
			count++
		}
	}
	return float64(count) / float64(len(prompts))
}

// slowest is the longest that a request waited which was placed.
func slowest(prompts []*prompt) time.Duration {
	var most time.Duration
	for _, prompt := range prompts {
		if prompt.placed {
			most = max(most, prompt.waited)
		}
	}
	return most
}

// TestBurstOfLongPrompts replays the burst that cost most at 295 VMs: 20 middle and 21
// long prompts a second beside 80 short ones, which 150 engines have the time to read.
// Where each VM looked in turn, once the others had heard of the one before it, 28 prompts
// a second were the most at 295 VMs: the others waited for their whole objective.
func TestBurstOfLongPrompts(t *testing.T) {
	for name, vms := range map[string]int{"1 VM": 1, "6 VMs": 6, "76 VMs": 76, "295 VMs": 295} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, vms, 150, 0.002, func(world *world) {
				const end = 4 * time.Second
				results := world.play(
					flow{kind: short(), perSecond: 80, to: end},
					flow{kind: middle(), perSecond: 20, to: end},
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

// TestTurnFromLongToShort replays long prompts that are still read when short ones come
// four times as often.
func TestTurnFromLongToShort(t *testing.T) {
	inWorld(t, 76, 150, 0.002, func(world *world) {
		results := world.play(
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

// TestManyAtOneMoment has 60 VMs that each get a short request in the same moment: no
// two of them are sent where another one took the last room.
func TestManyAtOneMoment(t *testing.T) {
	inWorld(t, 60, 20, 0, func(world *world) {
		results := world.play(flow{kind: short(), perSecond: 1e6, to: 60 * time.Microsecond})
		counts := make(map[string]int)
		for _, prompt := range results[0] {
			assert.Assert(t, prompt.placed)
			counts[prompt.servers[0]]++
		}
		for server, count := range counts {
			assert.Assert(t, count <= 10, "%d at %s", count, server)
		}
		assert.Equal(t, inTime(results[0]), 1.0)
	})
}

// TestCoordinatorIsLost has the VM that decides fall silent: the next one, which was told
// of all that is under way, goes on within the time of two answers.
func TestCoordinatorIsLost(t *testing.T) {
	for name, dark := range map[string][]string{
		"one":                {"vm-000"},
		"two at once":        {"vm-000", "vm-001"},
		"all that can be so": {"vm-000", "vm-001", "vm-002"},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 40, 30, 0, func(world *world) {
				world.play(flow{kind: short(), perSecond: 50, to: time.Second})
				for _, vm := range dark {
					world.setDark(vm, true)
				}
				started := time.Now()
				got := world.vms[20].run(short())
				waited := time.Since(started) - got.expected
				const each = 50 * time.Millisecond // two answers of 25 ms that did not come
				if len(dark) == 3 {
					assert.Assert(t, !got.placed, "it decides by itself then")
					assert.Assert(t, got.waited <= 3*each+5*time.Millisecond, "%s", got.waited)
					return
				}
				assert.Assert(t, got.placed)
				assert.Assert(t, got.waited <= time.Duration(len(dark))*each+10*time.Millisecond, "%s of %s", got.waited, waited)
				again := world.vms[20].run(short())
				assert.Assert(t, again.waited < 10*time.Millisecond, "it asks the next one at once: %s", again.waited)
			})
		})
	}
}

// TestLostDatagrams has a tenth of all that VMs tell lost: every request gets servers, and
// none is left behind at a server once all are over.
func TestLostDatagrams(t *testing.T) {
	inWorld(t, 40, 30, 0.1, func(world *world) {
		results := world.play(flow{kind: short(), perSecond: 60, to: 4 * time.Second})
		assert.Assert(t, inTime(results[0]) >= 0.99, "%f", inTime(results[0]))
		time.Sleep(2500 * time.Millisecond)
		for _, vm := range world.vms[:3] {
			for _, server := range vm.pool.Open(world.service, nil) {
				assert.Equal(t, server.Running, 0, "%s at %s", server.ID, vm.name)
			}
		}
	})
}

// TestCallerThatLeavesTakesNothing has a request whose caller leaves while it waits, and
// one whose caller leaves in the moment in which it gets servers.
func TestCallerThatLeavesTakesNothing(t *testing.T) {
	for name, stays := range map[string]time.Duration{
		"while it waits":       100 * time.Millisecond,
		"before it is asked":   0,
		"on the way of asking": 2 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 3, 1, 0, func(world *world) {
				impatient := short()
				impatient.objective = stays
				if name == "while it waits" {
					impatient.tokens = 400_000 // fits in no memory of one engine
				}
				got := world.vms[2].run(impatient)
				assert.Assert(t, !got.placed)
				time.Sleep(20 * time.Millisecond)
				for _, vm := range world.vms {
					for _, server := range vm.pool.Open(world.service, nil) {
						assert.Equal(t, server.Running, 0)
					}
				}
			})
		})
	}
}
