package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/placement"
)

// TestTight has kinds of request behind several pauses at one service, whose engines take 67 ms
// for a pass when they are full of short ones.
func TestTight(t *testing.T) {
	for name, test := range map[string]struct {
		tokens        int
		gap, shortest time.Duration
		want          bool
	}{
		"short behind the shortest pause":             {tokens: 5000, gap: 250 * time.Millisecond, shortest: 250 * time.Millisecond, want: true},
		"the longest of a short kind":                 {tokens: 23_800, gap: 250 * time.Millisecond, shortest: 250 * time.Millisecond, want: true},
		"short behind a long pause":                   {tokens: 5000, gap: time.Second, shortest: 250 * time.Millisecond, want: true},
		"middle whose own pause is short too":         {tokens: 41_000, gap: 330 * time.Millisecond, shortest: 200 * time.Millisecond},
		"middle that its own pause bears, not others": {tokens: 35_000, gap: 700 * time.Millisecond, shortest: 130 * time.Millisecond},
		"middle where all pauses are long":            {tokens: 45_000, gap: time.Second, shortest: time.Second, want: true},
		"long where all pauses are long":              {tokens: 190_000, gap: time.Second, shortest: time.Second},
		"no other kind is known":                      {tokens: 45_000, gap: 300 * time.Millisecond},
		"no pause is stated":                          {tokens: 5000},
	} {
		t.Run(name, func(t *testing.T) {
			request := short()
			request.Tokens, request.Memory, request.Gap, request.ShortestGap = test.tokens, test.tokens+1500, test.gap, test.shortest
			assert.Equal(t, request.Tight(), test.want)
		})
	}
}

// TestMiddlePromptsKeepOffShortOnes replays a fleet whose middle kind has a pause of 330 ms
// beside short ones of 200 ms: all that had pauses up to 400 ms was packed together, each
// middle prompt was read whole beside short streams, and made all their pauses too
// long (0.760 of worth instead of 0.806, two days).
func TestMiddlePromptsKeepOffShortOnes(t *testing.T) {
	const pause = 200 * time.Millisecond
	servers := newServers(24, func(_ int, server *placement.Server) {
		server.Running, server.Tight, server.TightWeight = 5, 5, 7.5
		server.TightGap, server.MinGap = pause, pause
	})
	for range 2 {
		request := short()
		request.Tokens, request.Memory = 41_000, 42_000
		request.Gap, request.ShortestGap = 330*time.Millisecond, pause
		request.Objective, request.Left = 1100*time.Millisecond, 1100*time.Millisecond
		plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
		assert.Assert(t, ok)
		for i := range servers {
			server := &servers[i]
			takes := server.ID == plan.Server.ID
			for _, helper := range plan.Helpers {
				takes = takes || server.ID == helper.ID
			}
			if !takes {
				continue
			}
			server.Backlog += plan.Part
			pass := request.Engine.PassTime(server.Running, 0) + server.Backlog
			assert.Assert(t, server.Tight == 0 || pass <= pause, "%d streams at %s pause for %s", server.Tight, server.ID, pass)
			server.ReadsLong = true
		}
	}
}

// TestPartsKeepThePausesThatAreThere has streams with several pauses at all servers, and a
// middle prompt beside them: passes of up to 240 ms counted as harmless to short streams,
// whatever their pauses were. With pauses of 120 ms that cost 0.043 of worth (two days).
func TestPartsKeepThePausesThatAreThere(t *testing.T) {
	for name, pause := range map[string]time.Duration{
		"120 ms": 120 * time.Millisecond, "200 ms": 200 * time.Millisecond, "350 ms": 350 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			servers := newServers(6, func(_ int, server *placement.Server) {
				server.Running, server.Tight, server.TightWeight = 5, 5, 7.5
				server.TightGap, server.MinGap = pause, pause
			})
			request := long(59_000)
			request.ShortestGap = pause
			plan, ok := placement.New(placement.DefaultSettings()).Place(servers, request)
			if !ok {
				return // it waits for a server without short streams
			}
			pass := request.Engine.PassTime(5, 0) + plan.Part
			assert.Assert(t, pass <= pause, "%s", pass)
		})
	}
}
