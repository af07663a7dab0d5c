// Package reachability decides whether a VM reaches the backend servers over its own links. The load that it answers is a
// cut between a VM and all servers, during which callers still send requests to the VM.
//
// A server is reached when a byte of it arrives. That a connection opens says less: something between may accept it in the
// server's place, and then reset it or stay silent.
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
	// Unreachable: several servers are out of reach, none was reached since, and it is not that they are full.
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
	// unopened has the time of the last failed connection attempt of each server since the last successful one to any server.
	unopened map[string]time.Time
	// unanswered has the time at which a new connection to each server last ended, or a probe of it timed out, before any byte
	// arrived on it, since the last arrival of bytes from any server: a server that is full resets new connections too, while
	// others go on.
	unanswered map[string]time.Time
	probes     probes
}

// New returns links that nothing speaks against.
func New(settings Settings) *Links {
	return &Links{
		settings: settings, unopened: make(map[string]time.Time), unanswered: make(map[string]time.Time),
		probes: probes{silentInterval: settings.ProbeInterval},
	}
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
	links.probes.silentInterval = links.settings.ProbeInterval
	clear(links.unanswered)
}

// Opened records that a connection to a server was opened.
func (links *Links) Opened(time.Time) {
	clear(links.unopened)
}

// Failed records that no connection to a server could be opened.
func (links *Links) Failed(server string, now time.Time) {
	links.unopened[server] = now
}

// Unanswered records that a new connection to a server ended before any byte arrived on it.
func (links *Links) Unanswered(server string, now time.Time) {
	links.unanswered[server] = now
}

// AnsweredElsewhere records that a server answered a probe through another VM, while the one over the own link, which was sent before,
// is unanswered.
func (links *Links) AnsweredElsewhere(server string, now time.Time) {
	links.Unanswered(server, now)
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
	unreached := links.unreached()
	switch {
	case unreached >= links.settings.MinUnreached && !links.mayBeFull():
		return Unreachable
	case unreached > 0 || links.silent:
		return Doubtful
	default:
		return Reachable
	}
}

// mayBeFull reports whether the servers that are out of reach may be full instead: connections can be opened, and other requests
// wait for responses on connections that were not reset, not yet as long as servers that take their time need.
func (links *Links) mayBeFull() bool {
	return len(links.unopened) < links.settings.MinUnreached && links.outstanding > 0 && !links.silent
}

// CannotOpen reports whether no connections to several servers could be opened, and none to any server since. Unlike connections
// that end before their first byte, this cannot be the effect of servers that crash under the VM's own requests.
func (links *Links) CannotOpen(now time.Time) bool {
	links.update(now)
	return len(links.unopened) >= links.settings.MinUnreached
}

// unreached returns the number of servers that are out of reach.
func (links *Links) unreached() int {
	count := len(links.unopened)
	for server := range links.unanswered {
		if _, found := links.unopened[server]; !found {
			count++
		}
	}
	return count
}

// IsUnreached reports whether a server is out of reach.
func (links *Links) IsUnreached(server string) bool {
	_, unopened := links.unopened[server]
	_, unanswered := links.unanswered[server]
	return unopened || unanswered
}

// update applies the passing of time.
func (links *Links) update(now time.Time) {
	if links.outstanding > 0 && now.Sub(links.quietSince) >= links.settings.SilenceTime {
		links.silent = true
	}
	links.forget(links.unopened, now)
	links.forget(links.unanswered, now)
}

// forget drops the servers that were out of reach too long ago.
func (links *Links) forget(servers map[string]time.Time, now time.Time) {
	for server, at := range servers {
		if now.Sub(at) >= links.settings.FailureMemory {
			delete(servers, server)
		}
	}
}
