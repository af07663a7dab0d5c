package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/placement"
)

// TestPackedServersShrinkForLongPrompts checks how many servers short prompts fill. They take 136
// of 288 slots, which fills thirteen servers and part of a spare one at PackSlots, and ten at
// PackDense while long prompts are queued or being prefilled.
func TestPackedServersShrinkForLongPrompts(t *testing.T) {
	for name, test := range map[string]struct {
		waiting time.Duration
		reading time.Duration
		// wantDense reports that the short prompt must go to one of the first ten servers although
		// others are less busy.
		wantDense bool
	}{
		"no long prompt":                           {},
		"little prefill queued":                    {waiting: time.Second},
		"much prefill queued":                      {waiting: 20 * time.Second, wantDense: true},
		"much prefill in progress":                 {reading: 4 * time.Second, wantDense: true},
		"some prefill queued and some in progress": {waiting: 5 * time.Second, reading: time.Second, wantDense: true},
	} {
		t.Run(name, func(t *testing.T) {
			servers := newServers(18, func(i int, server *placement.Server) {
				switch {
				case i < 10:
					server.Running, server.Packable = 13, 13
				case i < 13:
					server.Running, server.Packable = 2, 2
				default:
					server.PrefillsLong, server.Backlog = test.reading > 0, test.reading
				}
			})
			request := short()
			request.QueuedPrefill = test.waiting
			plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
			assert.Assert(t, ok)
			assert.Equal(t, plan.Server.ID < "s10", test.wantDense, "%s", plan.Server.ID)
		})
	}
}

// TestPartNeverExceedsStreamTimeout guards against a prefill so long that a stream at the server
// times out and its prompt is prefilled again elsewhere. One stream with an inter-token objective
// of one second runs at each of two servers, and a late prompt would occupy one of these for 5 s.
func TestPartNeverExceedsStreamTimeout(t *testing.T) {
	servers := newServers(2, func(_ int, server *placement.Server) {
		server.Running, server.OtherWeight = 1, 1
		server.OtherInterTokenObjective, server.MinInterTokenObjective = time.Second, time.Second
	})
	request := lateLong(230_000)
	request.TimeToObjective, request.TimeToCallerDeadline = -time.Second, 9*time.Second
	settings := placement.DefaultSettings()
	settings.MaxParts = 1
	_, ok := placement.New(settings).Place(servers, request)
	assert.Assert(t, ok, "the value of the request exceeds the cost to the stream")
	streamTimeout := func(interTokenObjective time.Duration) time.Duration { return 4 * interTokenObjective }
	_, ok = placement.New(settings.WithStreamTimeout(streamTimeout)).Place(servers, request)
	assert.Assert(t, !ok)
}

// TestShortPromptsBeyondPackedServersStayTogether guards against short prompts that spread over all
// servers while the packed ones prefill for a moment. Prompts of ten VMs must fill the next servers
// in order, as far as inter-token objectives allow, and leave the others to long prompts.
func TestShortPromptsBeyondPackedServersStayTogether(t *testing.T) {
	const objective = 250 * time.Millisecond
	servers := newServers(18, func(i int, server *placement.Server) {
		if i < 2 {
			server.Running, server.Packable, server.PackableWeight = 8, 8, 12
			server.PackableInterTokenObjective, server.MinInterTokenObjective, server.Backlog = objective, objective, 180*time.Millisecond
		}
		server.PrefillsLong = i == 2
	})
	counts := make(map[string]int)
	for seed := range uint64(10) {
		request := short()
		request.Seed, request.QueuedPrefill = seed, 20*time.Second
		plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
		assert.Assert(t, ok)
		counts[plan.Server.ID]++
		for i := range servers {
			if servers[i].ID == plan.Server.ID {
				servers[i].Backlog += plan.PrefillPerServer
				servers[i].Running++
				servers[i].PackableInterTokenObjective, servers[i].MinInterTokenObjective = objective, objective
			}
		}
	}
	assert.Assert(t, len(counts) <= 3, "%v", counts)
	assert.Equal(t, counts["s02"], 0, "the server is prefilling a long prompt")
	assert.Assert(t, counts["s03"] > 0, "%v", counts)
}

// TestShortPromptsLeaveServersToLongOnes guards against short prompts that keep too many servers:
// with a quarter of the slots in use they kept half of the servers, and prompts of 300 k tokens
// were queued there until their callers' deadlines.
func TestShortPromptsLeaveServersToLongOnes(t *testing.T) {
	servers := newServers(18, func(i int, server *placement.Server) {
		if i < 6 {
			server.Running, server.Packable, server.PackableWeight, server.PackableInterTokenObjective = 12, 12, 18, 250*time.Millisecond
		}
	})
	plan, ok := placement.New(placement.DefaultSettings()).Place(servers, long(230_000))
	assert.Assert(t, ok)
	assert.Assert(t, len(plan.Helpers) >= 10, "%d", len(plan.Helpers))
}
