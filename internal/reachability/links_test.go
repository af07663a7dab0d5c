package reachability_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/reachability"
)

// event is what happens to links at a time after the start.
type event struct {
	after time.Duration
	apply func(links *reachability.Links, now time.Time)
}

func failed(server string) func(*reachability.Links, time.Time) {
	return func(links *reachability.Links, now time.Time) { links.Failed(server, now) }
}

func TestVerdict(t *testing.T) {
	settings := reachability.DefaultSettings()
	began, ended := (*reachability.Links).Began, (*reachability.Links).Ended
	heard, opened := (*reachability.Links).Heard, (*reachability.Links).Opened
	const second = time.Second
	for name, test := range map[string]struct {
		events []event
		at     time.Duration
		want   reachability.Verdict
		silent bool
	}{
		"nothing happened": {at: second, want: reachability.Reachable},
		"one server failed": {
			events: []event{{0, failed("a")}}, at: second, want: reachability.Doubtful,
		},
		"one server failed twice": {
			events: []event{{0, failed("a")}, {second, failed("a")}}, at: second, want: reachability.Doubtful,
		},
		"two servers failed": {
			events: []event{{0, failed("a")}, {second, failed("b")}}, at: second, want: reachability.Unreachable,
		},
		"two servers failed, one reached between them": {
			events: []event{{0, failed("a")}, {second / 2, opened}, {second, failed("b")}}, at: second, want: reachability.Doubtful,
		},
		"two servers failed, an open connection works": {
			events: []event{{0, failed("a")}, {0, failed("b")}, {second, heard}}, at: second, want: reachability.Unreachable,
		},
		"two servers failed long ago": {
			events: []event{{0, failed("a")}, {0, failed("b")}}, at: settings.FailureMemory, want: reachability.Reachable,
		},
		"all servers silent": {
			events: []event{{0, began}}, at: settings.SilenceTime, want: reachability.Doubtful, silent: true,
		},
		"one of two servers silent": {
			events: []event{{0, began}, {0, began}, {second, heard}, {2 * second, heard}}, at: 2 * second, want: reachability.Reachable,
		},
		"silent until the request ended": {
			events: []event{{0, began}, {second, ended}}, at: 5 * second, want: reachability.Doubtful, silent: true,
		},
		"silent, then a connection opened": {
			events: []event{{0, began}, {second, opened}}, at: second, want: reachability.Reachable,
		},
		"no request outstanding": {
			events: []event{{0, began}, {0, heard}, {0, ended}}, at: 5 * second, want: reachability.Reachable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			links := reachability.New(settings)
			start := time.Unix(0, 0)
			for _, event := range test.events {
				event.apply(links, start.Add(event.after))
			}
			assert.Equal(t, links.Verdict(start.Add(test.at)), test.want)
			assert.Equal(t, links.Silent(start.Add(test.at)), test.silent)
		})
	}
}

func TestProbesAreSpaced(t *testing.T) {
	settings := reachability.DefaultSettings()
	links := reachability.New(settings)
	start := time.Unix(0, 0)
	assert.Assert(t, links.TakeProbe(start))
	assert.Assert(t, !links.TakeProbe(start.Add(settings.ProbeInterval-1)))
	assert.Assert(t, links.TakeProbe(start.Add(settings.ProbeInterval)))
}
