package placement_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mastwinch/mastwinch/internal/catalog"
	"github.com/mastwinch/mastwinch/internal/placement"
)

const memoryTokens = 232_000

// TestMain fixes the seed of the property tests, unless the command line sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid declares the flag
	flag.Parse()
	os.Exit(m.Run())
}

// newEngine returns an engine with the figures of the users' engines.
func newEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 16, MemoryTokens: memoryTokens, StepsPerPass: 43, StepTime: 1020 * time.Microsecond,
		PrefillTokensPerSecond: 206_000, TimePerMillionPairs: 138 * time.Microsecond,
	}
}

// newServers returns idle servers, each modified by change unless it is nil.
func newServers(count int, change func(i int, server *placement.Server)) []placement.Server {
	servers := make([]placement.Server, count)
	for i := range servers {
		servers[i] = placement.Server{ID: fmt.Sprintf("s%02d", i), Slots: 16, MemoryFree: memoryTokens, DataCentre: "north"}
		if change != nil {
			change(i, &servers[i])
		}
	}
	return servers
}

func short() placement.Request {
	return placement.Request{
		Engine: newEngine(), Tokens: 5000, Memory: 6000, InterTokenObjective: 250 * time.Millisecond,
		Objective: 300 * time.Millisecond, TimeToObjective: 300 * time.Millisecond, TimeToCallerDeadline: 2 * time.Second,
	}
}

func long(tokens int) placement.Request {
	return placement.Request{
		Engine: newEngine(), Tokens: tokens, Memory: tokens + 1000, InterTokenObjective: time.Second, ShortestInterTokenObjective: 250 * time.Millisecond,
		Objective: 2500 * time.Millisecond, TimeToObjective: 2500 * time.Millisecond, TimeToCallerDeadline: 10 * time.Second,
	}
}

// lateLong is a long prompt that missed its objective and whose caller's deadline is near.
func lateLong(tokens int) placement.Request {
	request := long(tokens)
	request.TimeToObjective, request.TimeToCallerDeadline = -7*time.Second, 2500*time.Millisecond
	return request
}

func TestLengthAware(t *testing.T) {
	tests := map[string]struct {
		servers []placement.Server
		request placement.Request
		// wantNone reports that the policy must not place the request now.
		wantNone bool
		check    func(t *testing.T, plan placement.Plan)
	}{
		"a short prompt goes to the first servers": {
			servers: newServers(18, nil), request: short(),
			check: func(t *testing.T, plan placement.Plan) { assert.Equal(t, plan.Server.ID, "s00") },
		},
		"a short prompt avoids a server with a long prefill backlog": {
			servers: newServers(18, func(i int, server *placement.Server) {
				if i == 0 {
					server.Backlog, server.PrefillsLong = time.Second, true
				}
			}), request: short(),
			check: func(t *testing.T, plan placement.Plan) { assert.Assert(t, plan.Server.ID != "s00") },
		},
		"short prompts use as many servers as they fill": {
			servers: newServers(18, func(i int, server *placement.Server) {
				if i < 2 {
					server.Running, server.Packable = 9, 9
				}
			}), request: short(),
			check: func(t *testing.T, plan placement.Plan) { assert.Equal(t, plan.Server.ID, "s02") },
		},
		"a short prompt is queued when all slots are taken": {
			servers:  newServers(3, func(_ int, server *placement.Server) { server.Running = 16 }),
			request:  short(),
			wantNone: true,
		},
		// Guards against overload in which short prompts beyond the slots of the packed servers go
		// to engines that prefill for seconds, until their callers time out.
		"a short prompt is queued rather than sent to a server that prefills for seconds": {
			servers: newServers(4, func(i int, server *placement.Server) {
				server.Running = 16
				if i == 3 {
					server.Running, server.Backlog, server.PrefillsLong = 1, 2*time.Second, true
				}
			}), request: short(),
			wantNone: true,
		},
		"a long prompt avoids the packed servers": {
			servers: newServers(18, nil), request: long(133_000),
			check: func(t *testing.T, plan placement.Plan) { assert.Assert(t, plan.Server.ID != "s00") },
		},
		"a prompt that one server would prefill too late is split over several": {
			servers: newServers(18, nil), request: long(210_000),
			check: func(t *testing.T, plan placement.Plan) {
				assert.Assert(t, len(plan.Helpers) > 0)
				assert.Assert(t, plan.PredictedTTFT < 2500*time.Millisecond)
				assert.Equal(t, len(plan.MemoryShares), 0)
			},
		},
		"a prompt beyond the memory of one server reserves memory at several": {
			servers: newServers(18, nil), request: long(400_000),
			check: func(t *testing.T, plan placement.Plan) {
				total := 0
				for i, share := range plan.MemoryShares {
					total += share
					assert.Assert(t, share <= memoryTokens, "server %d", i)
				}
				assert.Equal(t, total, 400_000)
				assert.Equal(t, len(plan.MemoryShares), 1+len(plan.Helpers))
			},
		},
		"a long prompt is queued while its cost exceeds its value": {
			servers: newServers(6, func(_ int, server *placement.Server) {
				server.Running, server.Packable, server.PackableWeight, server.PackableInterTokenObjective = 12, 12, 18, 250*time.Millisecond
				server.MinInterTokenObjective = 250 * time.Millisecond
			}), request: long(133_000),
			wantNone: true,
		},
		// Guards against late prompts that are prefilled beside a dozen short streams each after a
		// long time in the queue, which made these pause for more than a second.
		"a late long prompt is queued at its cost even when its caller's deadline is near": {
			servers: newServers(6, func(_ int, server *placement.Server) {
				server.Running, server.Packable, server.PackableWeight, server.PackableInterTokenObjective = 12, 12, 18, 250*time.Millisecond
				server.MinInterTokenObjective = 250 * time.Millisecond
			}), request: lateLong(133_000),
			wantNone: true,
		},
		"a late long prompt goes where it costs no other stream": {
			servers: newServers(6, func(i int, server *placement.Server) {
				server.Running, server.Backlog, server.PrefillsLong = 1, 200*time.Millisecond, true
				if i > 0 {
					server.Running, server.Packable, server.PackableWeight, server.PackableInterTokenObjective = 12, 12, 18, 250*time.Millisecond
					server.MinInterTokenObjective = 250 * time.Millisecond
				}
			}), request: lateLong(100_000),
			check: func(t *testing.T, plan placement.Plan) {
				assert.Equal(t, plan.Server.ID, "s00")
				assert.Equal(t, len(plan.Helpers), 0)
			},
		},
		// With reserved memory, the decode server is listed among the prefill servers, and engines
		// accept at most 16 servers in the list.
		"a prompt beyond the memory of one server lists no more servers than engines accept": {
			servers: newServers(60, nil), request: long(500_000),
			check: func(t *testing.T, plan placement.Plan) {
				assert.Assert(t, len(plan.MemoryShares) > 0)
				assert.Assert(t, 1+len(plan.Helpers) <= 16, "%d servers", 1+len(plan.Helpers))
			},
		},
		// Guards against medium prompts that each take an empty server, so that the longest ones
		// find none with its whole memory free.
		"the decode server is the one with the least free memory that suffices": {
			servers: newServers(18, func(i int, server *placement.Server) {
				if i == 9 {
					server.Running, server.OtherWeight, server.MemoryFree = 1, 6, 150_000
					server.OtherInterTokenObjective, server.MinInterTokenObjective = 600*time.Millisecond, 600*time.Millisecond
				}
			}), request: long(45_000),
			check: func(t *testing.T, plan placement.Plan) { assert.Equal(t, plan.Server.ID, "s09") },
		},
		"a prompt avoids a server where its prefill breaks an inter-token objective": {
			servers: newServers(18, func(i int, server *placement.Server) {
				if i == 9 {
					server.Running, server.OtherWeight, server.MemoryFree = 1, 6, 150_000
					server.OtherInterTokenObjective, server.MinInterTokenObjective = 80*time.Millisecond, 80*time.Millisecond
				}
			}), request: long(45_000),
			check: func(t *testing.T, plan placement.Plan) {
				assert.Assert(t, plan.Server.ID != "s09")
				for _, helper := range plan.Helpers {
					assert.Assert(t, helper.ID != "s09")
				}
			},
		},
		"suspect servers are avoided while others are healthy": {
			servers: newServers(4, func(i int, server *placement.Server) { server.Suspect = i == 0 }), request: short(),
			check: func(t *testing.T, plan placement.Plan) { assert.Assert(t, plan.Server.ID != "s00") },
		},
		"all servers count when most are suspect": {
			servers: newServers(4, func(i int, server *placement.Server) {
				server.Suspect = i != 0
				server.Running = 16 * boolToInt(i == 0)
			}), request: short(),
			check: func(t *testing.T, plan placement.Plan) { assert.Assert(t, plan.Server.ID != "s00") },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan, ok := placement.New(placement.DefaultSettings()).Place(test.servers, test.request)
			assert.Equal(t, ok, !test.wantNone)
			if ok {
				test.check(t, plan)
			}
		})
	}
}

// TestShortPromptsOfSeveralVMsSpread guards against VMs that place requests at the same moment and
// all select the same server. With 76 VMs this made the inter-token latency there too high.
func TestShortPromptsOfSeveralVMsSpread(t *testing.T) {
	servers := newServers(18, func(i int, server *placement.Server) {
		server.Running, server.Packable = 6, 6
		switch i {
		case 3:
			server.Running, server.Packable = 12, 12
		case 4:
			server.Backlog = 90 * time.Millisecond
		}
	})
	counts := make(map[string]int)
	for seed := range uint64(600) {
		request := short()
		request.Seed = seed
		plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
		assert.Assert(t, ok)
		counts[plan.Server.ID]++
	}
	assert.Assert(t, len(counts) >= 6, "%v", counts)
	for id, count := range counts {
		assert.Assert(t, count <= 120, "%s got %d", id, count)
	}
	assert.Equal(t, counts["s03"], 0, "the server has many more requests")
	assert.Equal(t, counts["s04"], 0, "the server is prefilling")
}

// TestShortPromptPrefersOpenConnections checks that an open connection decides between equal
// servers, but does not make up for a higher load.
func TestShortPromptPrefersOpenConnections(t *testing.T) {
	servers := newServers(18, func(i int, server *placement.Server) {
		server.Running, server.Packable = 2, 2
		server.Connected = i == 1 || i == 2
		if i == 2 {
			server.Running, server.Packable = 9, 9
		}
	})
	for seed := range uint64(20) {
		request := short()
		request.Seed = seed
		plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
		assert.Assert(t, ok)
		assert.Equal(t, plan.Server.ID, "s01", "an open connection does not make up for a much higher load")
	}
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

func TestLeastRequests(t *testing.T) {
	tests := map[string]struct {
		change func(i int, server *placement.Server)
		want   string
	}{
		"fewest running requests": {
			change: func(i int, server *placement.Server) { server.Running = 3 - i }, want: "s02",
		},
		"same data centre among equal servers": {
			change: func(i int, server *placement.Server) {
				if i != 1 {
					server.DataCentre = "south"
				}
			}, want: "s01",
		},
		"suspect server is avoided": {
			change: func(i int, server *placement.Server) { server.Running, server.Suspect = i, i == 0 }, want: "s01",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan, ok := placement.LeastRequests{}.Place(newServers(3, test.change), placement.Request{DataCentre: "north"})
			assert.Assert(t, ok)
			assert.Equal(t, plan.Server.ID, test.want)
		})
	}
	_, ok := placement.LeastRequests{}.Place(nil, placement.Request{})
	assert.Assert(t, !ok)
}

// TestPlansAreSound is a property test of the invariants of plans, over random servers and
// requests.
func TestPlansAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := newServers(rapid.IntRange(0, 24).Draw(t, "servers"), func(i int, server *placement.Server) {
			label := fmt.Sprintf("s%d ", i)
			server.Running = rapid.IntRange(0, 18).Draw(t, label+"running")
			server.Packable = rapid.IntRange(0, server.Running).Draw(t, label+"tight")
			server.PackableWeight = 1.5 * float64(server.Packable)
			if server.Packable > 0 {
				server.PackableInterTokenObjective = 250 * time.Millisecond
			}
			server.Backlog = time.Duration(rapid.IntRange(0, 4000).Draw(t, label+"backlog")) * time.Millisecond
			server.MemoryFree = rapid.IntRange(-10_000, memoryTokens).Draw(t, label+"memory")
			server.Suspect = rapid.Bool().Draw(t, label+"suspect")
			server.PrefillsLong = rapid.Bool().Draw(t, label+"long")
		})
		request := long(rapid.IntRange(1, 900_000).Draw(t, "tokens"))
		if rapid.Bool().Draw(t, "tight") {
			request.InterTokenObjective = 250 * time.Millisecond
		}
		request.TimeToObjective = time.Duration(rapid.IntRange(-9000, 2500).Draw(t, "left")) * time.Millisecond
		request.TimeToCallerDeadline = time.Duration(rapid.IntRange(0, 10_000).Draw(t, "stays")) * time.Millisecond
		plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
		if !ok {
			return
		}
		checkPlan(t, plan, request)
	})
}

func checkPlan(t *rapid.T, plan placement.Plan, request placement.Request) {
	used := append([]placement.Server{plan.Server}, plan.Helpers...)
	seen := make(map[string]bool)
	for _, server := range used {
		if seen[server.ID] {
			t.Fatalf("server %s is listed twice", server.ID)
		}
		seen[server.ID] = true
	}
	listed := len(plan.Helpers)
	if len(plan.MemoryShares) > 0 {
		listed = len(used)
	}
	if listed > 16 {
		t.Fatalf("%d servers are listed to the engine", listed)
	}
	if plan.Server.Running >= plan.Server.Slots {
		t.Fatalf("no free slot at %s", plan.Server.ID)
	}
	if len(plan.MemoryShares) == 0 {
		if plan.Server.MemoryFree < request.Memory {
			t.Fatalf("not enough memory at %s", plan.Server.ID)
		}
		return
	}
	total := 0
	for i, share := range plan.MemoryShares {
		total += share
		// A server that only prefills has no memory share, and may have no free memory.
		if share < 0 || (share > 0 && share > used[i].MemoryFree) {
			t.Fatalf("memory share of %d tokens with %d free", share, used[i].MemoryFree)
		}
	}
	if total != request.Tokens {
		t.Fatalf("memory shares sum to %d tokens, want %d", total, request.Tokens)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{18, 60, 150, 600} {
		servers := newServers(count, func(i int, server *placement.Server) {
			server.Running = i % 12
			server.Backlog = time.Duration(i%7) * 20 * time.Millisecond
		})
		policy := placement.New(placement.DefaultSettings())
		for name, request := range map[string]placement.Request{"short": short(), "long": long(133_000)} {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					policy.Place(servers, request)
				}
			})
		}
	}
}
