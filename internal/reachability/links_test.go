package reachability_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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

func unanswered(server string) func(*reachability.Links, time.Time) {
	return func(links *reachability.Links, now time.Time) { links.Unanswered(server, now) }
}

func TestVerdict(t *testing.T) {
	settings := reachability.DefaultSettings()
	began, ended := (*reachability.Links).Began, (*reachability.Links).Ended
	heard, opened := (*reachability.Links).Heard, (*reachability.Links).Opened
	answered := func(links *reachability.Links, now time.Time) { links.ProbeEnded(true, now) }
	elsewhere := func(server string) func(*reachability.Links, time.Time) {
		return func(links *reachability.Links, now time.Time) { links.AnsweredElsewhere(server, now) }
	}
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
		"silent, then a connection opened, which something may have accepted for the server": {
			events: []event{{0, began}, {second, opened}}, at: second, want: reachability.Doubtful, silent: true,
		},
		"silent, then a byte arrived": {
			events: []event{{0, began}, {second, opened}, {second, heard}}, at: second, want: reachability.Reachable,
		},
		"silent, then a probe was answered": {
			events: []event{{0, began}, {second, answered}}, at: second, want: reachability.Reachable,
		},
		"one server reset several new connections": {
			events: []event{{0, unanswered("a")}, {second, unanswered("a")}}, at: second, want: reachability.Doubtful,
		},
		"two servers reset new connections": {
			events: []event{{0, unanswered("a")}, {second, unanswered("b")}}, at: second, want: reachability.Unreachable,
		},
		"two servers reset new connections, others accept them": {
			events: []event{{0, unanswered("a")}, {0, unanswered("b")}, {second, opened}}, at: second, want: reachability.Unreachable,
		},
		"two full servers reset new connections, bytes arrive on open ones": {
			events: []event{{0, unanswered("a")}, {second / 2, heard}, {second, unanswered("b")}}, at: second, want: reachability.Doubtful,
		},
		"two servers reset new connections, while others' responses are awaited": {
			events: []event{{0, began}, {second / 10, unanswered("a")}, {second / 10, unanswered("b")}}, at: settings.SilenceTime - 1, want: reachability.Doubtful,
		},
		"two servers reset new connections, and others' responses are awaited too long": {
			events: []event{{0, began}, {second / 10, unanswered("a")}, {second / 10, unanswered("b")}}, at: settings.SilenceTime, want: reachability.Unreachable, silent: true,
		},
		"two servers refuse, while others' responses are awaited": {
			events: []event{{0, began}, {0, failed("a")}, {0, failed("b")}}, at: second / 10, want: reachability.Unreachable,
		},
		"one server resets, one refuses": {
			events: []event{{0, unanswered("a")}, {0, failed("b")}}, at: second, want: reachability.Unreachable,
		},
		"one server resets and refuses": {
			events: []event{{0, unanswered("a")}, {0, failed("a")}}, at: second, want: reachability.Doubtful,
		},
		"two servers failed, then a probe was answered": {
			events: []event{{0, failed("a")}, {0, unanswered("b")}, {second, answered}}, at: second, want: reachability.Reachable,
		},
		"silent, one server answered elsewhere": {
			events: []event{{0, began}, {second, elsewhere("a")}}, at: second, want: reachability.Doubtful, silent: true,
		},
		"silent, two servers answered elsewhere": {
			events: []event{{0, began}, {second, elsewhere("a")}, {second, elsewhere("b")}}, at: second, want: reachability.Unreachable, silent: true,
		},
		"silent, two servers answered elsewhere, then one here": {
			events: []event{{0, began}, {second, elsewhere("a")}, {second, elsewhere("b")}, {second, answered}}, at: second, want: reachability.Reachable,
		},
		"two servers answered elsewhere, while others' responses are awaited": {
			events: []event{{0, began}, {0, elsewhere("a")}, {0, elsewhere("b")}}, at: second / 10, want: reachability.Doubtful,
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

// TestCrashedServersAreNoFailedLinks guards against losses of servers that don't count as evidence on requests, since the VM takes
// connections that crashing servers end for failed links.
func TestCrashedServersAreNoFailedLinks(t *testing.T) {
	links := reachability.New(reachability.DefaultSettings())
	now := time.Unix(0, 0)
	links.Unanswered("a", now)
	links.Unanswered("b", now)
	assert.Equal(t, links.Verdict(now), reachability.Unreachable)
	assert.Assert(t, !links.CannotOpen(now))
	links.Failed("a", now)
	links.Failed("b", now)
	assert.Assert(t, links.CannotOpen(now))
}

// TestProbesAreSpaced guards against probes that cost without need: none while nothing is in doubt, and none at shorter
// intervals than the settings state.
func TestProbesAreSpaced(t *testing.T) {
	settings := reachability.DefaultSettings()
	links := reachability.New(settings)
	start := time.Unix(0, 0)
	assert.Assert(t, !links.TakeProbe(start), "nothing is in doubt")
	links.Failed("a", start)
	assert.Assert(t, links.TakeProbe(start))
	assert.Assert(t, !links.TakeProbe(start.Add(settings.ProbeStagger-1)))
	assert.Assert(t, links.TakeProbe(start.Add(settings.ProbeStagger)), "beside one that is not answered")
	assert.Assert(t, !links.TakeProbe(start.Add(settings.ProbeTimeout)), "two are enough")
	links.ProbeEnded(false, start.Add(settings.ProbeTimeout))
	links.ProbeEnded(false, start.Add(settings.ProbeTimeout))
	assert.Assert(t, links.TakeProbe(start.Add(settings.ProbeTimeout)))
	links.ProbeEnded(false, start.Add(settings.ProbeTimeout))
	assert.Assert(t, !links.TakeProbe(start.Add(settings.ProbeTimeout+settings.ProbeInterval-1)))
	assert.Assert(t, links.TakeProbe(start.Add(settings.ProbeTimeout+settings.ProbeInterval)))
	links.ProbeEnded(true, start.Add(settings.ProbeTimeout+settings.ProbeInterval))
	assert.Assert(t, !links.TakeProbe(start.Add(time.Minute)), "nothing is in doubt")
}

// TestSlowServersAreProbedLessAndLess guards against a probe each half second while the only request of a VM is a long prompt.
func TestSlowServersAreProbedLessAndLess(t *testing.T) {
	settings := reachability.DefaultSettings()
	links := reachability.New(settings)
	now := time.Unix(0, 0)
	links.Began(now)
	probes := 0
	for range 200 { // ten seconds
		now = now.Add(50 * time.Millisecond)
		if links.TakeProbe(now) {
			probes++
			links.ProbeEnded(true, now)
		}
	}
	assert.Assert(t, probes >= 3 && probes <= 5, "%d probes", probes)
	links.Heard(now)
	assert.Assert(t, !links.TakeProbe(now.Add(settings.SilenceTime-1)))
	assert.Assert(t, links.TakeProbe(now.Add(settings.ProbeInterval)), "a new silence")
}

// TestVerdictIsThatOfOracle compares the verdict after random events with one that goes through all of them anew.
func TestVerdictIsThatOfOracle(t *testing.T) {
	settings := reachability.DefaultSettings()
	rapid.Check(t, func(t *rapid.T) {
		links := reachability.New(settings)
		now := time.Unix(0, 0)
		var history []observation
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			kind := rapid.SampledFrom([]string{"failed", "unanswered", "opened", "heard", "answered", "began", "ended"}).Draw(t, "kind")
			server := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
			if kind == "ended" && outstanding(history) == 0 {
				continue
			}
			history = append(history, observation{kind: kind, server: server, at: now})
			switch kind {
			case "began":
				links.Began(now)
			case "ended":
				links.Ended(now)
			case "failed":
				links.Failed(server, now)
			case "unanswered":
				links.Unanswered(server, now)
			case "opened":
				links.Opened(now)
			case "heard":
				links.Heard(now)
			case "answered":
				links.ProbeEnded(true, now)
			}
			assert.Equal(t, links.Verdict(now), oracleVerdict(settings, history, now))
		}
	})
}

// observation is what a VM saw of a server.
type observation struct {
	kind, server string
	at           time.Time
}

// outstanding returns how many requests wait for a response.
func outstanding(history []observation) int {
	count := 0
	for _, seen := range history {
		switch seen.kind {
		case "began":
			count++
		case "ended":
			count--
		}
	}
	return count
}

// isSilent reports whether requests waited for SilenceTime at some time since a byte last arrived.
func isSilent(settings reachability.Settings, history []observation, now time.Time) bool {
	for index := len(history) - 1; index >= 0; index-- {
		seen, before, until := history[index], outstanding(history[:index]), now
		isByte := seen.kind == "heard" || seen.kind == "answered"
		for offset, later := range history[index+1:] {
			if outstanding(history[:index+offset+2]) == 0 {
				until = later.at
				break
			}
		}
		startsWait := isByte || (seen.kind == "began" && before == 0)
		if startsWait && outstanding(history[:index+1]) > 0 && until.Sub(seen.at) >= settings.SilenceTime {
			return true
		}
		if isByte {
			return false
		}
	}
	return false
}

// oracleVerdict counts the servers for which, within the time that failures count, a failure has no later event that refutes it. While
// requests wait, and not for too long, connections that opened and were reset may be those of full servers.
func oracleVerdict(settings reachability.Settings, history []observation, now time.Time) reachability.Verdict {
	refutes := map[string][]string{"failed": {"opened", "answered"}, "unanswered": {"heard", "answered"}}
	unreached, unopened := make(map[string]bool), make(map[string]bool)
	for index, seen := range history {
		refuted := slices.ContainsFunc(history[index+1:], func(later observation) bool { return slices.Contains(refutes[seen.kind], later.kind) })
		if refutes[seen.kind] != nil && !refuted && now.Sub(seen.at) < settings.FailureMemory {
			unreached[seen.server] = true
			unopened[seen.server] = unopened[seen.server] || seen.kind == "failed"
		}
	}
	refused := 0
	for _, isUnopened := range unopened {
		if isUnopened {
			refused++
		}
	}
	silent := isSilent(settings, history, now)
	switch {
	case len(unreached) >= 2 && (refused >= 2 || silent || outstanding(history) == 0):
		return reachability.Unreachable
	case len(unreached) > 0 || silent:
		return reachability.Doubtful
	default:
		return reachability.Reachable
	}
}
