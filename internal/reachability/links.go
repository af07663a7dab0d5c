// Package reachability decides whether a VM reaches the backend servers over its own links. The load that it answers is a
// cut between a VM and all servers, during which callers still send requests to the VM.
package reachability

import "time"

// Verdict is what is known of a VM's links to the servers.
type Verdict string

// Verdicts. The values are part of log lines.
const (
	// Reachable: nothing speaks against the links.
	Reachable Verdict = "reachable"
	// Doubtful: a server was out of reach, or all servers are silent.
	Doubtful Verdict = "doubtful"
	// Unreachable: several servers are out of reach, and none was reached since.
	Unreachable Verdict = "unreachable"
)

// Links is the evidence about a VM's links to the servers. It is not safe for concurrent use.
type Links struct {
	settings Settings
	// outstanding is the number of requests whose responses have not ended.
	outstanding int
	// quietSince is the later of the last arrival of bytes from any server and the start of the oldest outstanding request.
	quietSince time.Time
	// silent is set when requests were outstanding for Settings.SilenceTime without any byte, until a byte arrives.
	silent bool
	// failedAt has the time of the last failed connection attempt of each server since the last successful one to any server.
	failedAt map[string]time.Time
	probedAt time.Time
}

// New returns links that nothing speaks against.
func New(settings Settings) *Links {
	return &Links{settings: settings, failedAt: make(map[string]time.Time)}
}

// Began records that a request was sent to a server.
func (links *Links) Began(now time.Time) {
	links.update(now)
	if links.outstanding == 0 {
		links.quietSince = now
	}
	links.outstanding++
}

// Ended records that the response to a request, or the wait for it, has ended.
func (links *Links) Ended(now time.Time) {
	links.update(now)
	links.outstanding--
}

// Heard records that bytes of any server arrived.
func (links *Links) Heard(now time.Time) {
	links.quietSince = now
	links.silent = false
}

// Opened records that a connection to a server was opened.
func (links *Links) Opened(now time.Time) {
	links.Heard(now)
	clear(links.failedAt)
}

// Failed records that no connection to a server could be opened.
func (links *Links) Failed(server string, now time.Time) {
	links.failedAt[server] = now
}

// Silent reports whether requests are, or were, outstanding for Settings.SilenceTime without any byte from any server, and
// none arrived since. A connection that was open before may then be cut off without a reset.
func (links *Links) Silent(now time.Time) bool {
	links.update(now)
	return links.silent
}

// Verdict returns what is known of the links now.
func (links *Links) Verdict(now time.Time) Verdict {
	links.update(now)
	switch {
	case len(links.failedAt) >= links.settings.MinUnreached:
		return Unreachable
	case len(links.failedAt) > 0 || links.silent:
		return Doubtful
	default:
		return Reachable
	}
}

// TakeProbe reports whether an attempt over links that count as cut is due, and records it.
func (links *Links) TakeProbe(now time.Time) bool {
	if now.Sub(links.probedAt) < links.settings.ProbeInterval {
		return false
	}
	links.probedAt = now
	return true
}

// update applies the passing of time.
func (links *Links) update(now time.Time) {
	if links.outstanding > 0 && now.Sub(links.quietSince) >= links.settings.SilenceTime {
		links.silent = true
	}
	for server, failedAt := range links.failedAt {
		if now.Sub(failedAt) >= links.settings.FailureMemory {
			delete(links.failedAt, server)
		}
	}
}
