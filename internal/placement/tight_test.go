package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/placement"
)

// TestBorderOfShortPrompts has short prompts in 136 of 288 slots: at ease they fill
// thirteen servers and part of a spare one, packed densely ten.
func TestBorderOfShortPrompts(t *testing.T) {
	for name, test := range map[string]struct {
		waiting time.Duration
		reading time.Duration
		// wantDense says that the short prompt goes to one of the first ten servers
		// although others are less busy.
		wantDense bool
	}{
		"nothing long is in sight":          {},
		"little waits":                      {waiting: time.Second},
		"much waits":                        {waiting: 20 * time.Second, wantDense: true},
		"much is read":                      {reading: 4 * time.Second, wantDense: true},
		"some waits and some is being read": {waiting: 5 * time.Second, reading: time.Second, wantDense: true},
	} {
		t.Run(name, func(t *testing.T) {
			servers := newServers(18, func(i int, server *placement.Server) {
				switch {
				case i < 10:
					server.Running, server.Tight = 13, 13
				case i < 13:
					server.Running, server.Tight = 2, 2
				default:
					server.ReadsLong, server.Backlog = test.reading > 0, test.reading
				}
			})
			request := short()
			request.Waiting = test.waiting
			plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
			assert.Assert(t, ok)
			assert.Equal(t, plan.Server.ID < "s10", test.wantDense, "%s", plan.Server.ID)
		})
	}
}

// TestPartNeverSilencesStreams has one writer with a pause of a second at each of two
// servers: a prompt that is late anyway took one for 5 s, and the stream there was
// given up and read again elsewhere.
func TestPartNeverSilencesStreams(t *testing.T) {
	servers := newServers(2, func(_ int, server *placement.Server) {
		server.Running, server.LooseWeight = 1, 1
		server.LooseGap, server.MinGap = time.Second, time.Second
	})
	request := lateLong(230_000)
	request.Left, request.Stays = -time.Second, 9*time.Second
	settings := placement.DefaultSettings()
	settings.MaxParts = 1
	_, ok := placement.New(settings).Place(servers, request)
	assert.Assert(t, ok, "it brings more than the writer loses")
	silence := func(gap time.Duration) time.Duration { return 4 * gap }
	_, ok = placement.New(settings.WithSilence(silence)).Place(servers, request)
	assert.Assert(t, !ok)
}

// TestShortPromptsBeyondTheKeptServersStayTogether has two kept servers that read for a moment,
// and ten VMs that each have a short prompt then: they fill the next servers in the order, as
// far as pauses bear it, and leave the others to long prompts.
func TestShortPromptsBeyondTheKeptServersStayTogether(t *testing.T) {
	const pause = 250 * time.Millisecond
	servers := newServers(18, func(i int, server *placement.Server) {
		if i < 2 {
			server.Running, server.Tight, server.TightWeight = 8, 8, 12
			server.TightGap, server.MinGap, server.Backlog = pause, pause, 180*time.Millisecond
		}
		server.ReadsLong = i == 2
	})
	counts := make(map[string]int)
	for seed := range uint64(10) {
		request := short()
		request.Seed, request.Waiting = seed, 20*time.Second
		plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
		assert.Assert(t, ok)
		counts[plan.Server.ID]++
		for i := range servers {
			if servers[i].ID == plan.Server.ID {
				servers[i].Backlog += plan.Part
				servers[i].Running++
				servers[i].TightGap, servers[i].MinGap = pause, pause
			}
		}
	}
	assert.Assert(t, len(counts) <= 3, "%v", counts)
	assert.Equal(t, counts["s02"], 0, "it reads a long prompt")
	assert.Assert(t, counts["s03"] > 0, "%v", counts)
}

// TestShortPromptsLeaveServersToLongOnes has short prompts in a quarter of the slots:
// they kept half of the servers, and prompts of 300 k tokens waited there for all of
// their time.
func TestShortPromptsLeaveServersToLongOnes(t *testing.T) {
	servers := newServers(18, func(i int, server *placement.Server) {
		if i < 6 {
			server.Running, server.Tight, server.TightWeight, server.TightGap = 12, 12, 18, 250*time.Millisecond
		}
	})
	plan, ok := placement.New(placement.DefaultSettings()).Place(servers, long(230_000))
	assert.Assert(t, ok)
	assert.Assert(t, len(plan.Helpers) >= 10, "%d", len(plan.Helpers))
}
