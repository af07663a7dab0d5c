package reachability

import (
	"log/slog"
	"sync"
	"time"
)

// Monitor tracks the links of one VM, and logs when its verdict changes. It is safe for concurrent use.
type Monitor struct {
	logger *slog.Logger
	now    func() time.Time

	mu    sync.Mutex
	links *Links
	last  Verdict
}

// NewMonitor returns a monitor of links that nothing speaks against.
func NewMonitor(settings Settings, logger *slog.Logger, now func() time.Time) *Monitor {
	return &Monitor{logger: logger, now: now, links: New(settings), last: Reachable}
}

// Began records that a request was sent to a server.
func (monitor *Monitor) Began() { monitor.record((*Links).Began) }

// Ended records that the response to a request, or the wait for it, has ended.
func (monitor *Monitor) Ended() { monitor.record((*Links).Ended) }

// Heard records that bytes of any server arrived.
func (monitor *Monitor) Heard() { monitor.record((*Links).Heard) }

// Opened records that a connection to a server was opened.
func (monitor *Monitor) Opened() { monitor.record((*Links).Opened) }

// Failed records that no connection to a server could be opened.
func (monitor *Monitor) Failed(server string) {
	monitor.record(func(links *Links, now time.Time) { links.Failed(server, now) })
}

// Unanswered records that a new connection to a server ended before any byte arrived on it.
func (monitor *Monitor) Unanswered(server string) {
	monitor.record(func(links *Links, now time.Time) { links.Unanswered(server, now) })
}

// AnsweredElsewhere records that a server answered a probe through another VM; see Links.AnsweredElsewhere.
func (monitor *Monitor) AnsweredElsewhere(server string) {
	monitor.record(func(links *Links, now time.Time) { links.AnsweredElsewhere(server, now) })
}

// ProbeEnded records the end of a probe, and whether a byte of the server arrived.
func (monitor *Monitor) ProbeEnded(answered bool) {
	monitor.record(func(links *Links, now time.Time) { links.ProbeEnded(answered, now) })
}

// IsUnreached reports whether a server is out of reach.
func (monitor *Monitor) IsUnreached(server string) bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.links.IsUnreached(server)
}

// CannotOpen reports whether connections to the servers cannot be opened; see Links.CannotOpen.
func (monitor *Monitor) CannotOpen() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.links.CannotOpen(monitor.now())
}

// State returns the verdict, and whether all servers are silent.
func (monitor *Monitor) State() (verdict Verdict, silent bool) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.verdict(monitor.now()), monitor.links.silent
}

// Verdict returns what is known of the links now.
func (monitor *Monitor) Verdict() Verdict {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.verdict(monitor.now())
}

// TakeProbe reports whether a probe is due, and records its start. ProbeEnded must follow.
func (monitor *Monitor) TakeProbe() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.links.TakeProbe(monitor.now())
}

func (monitor *Monitor) record(apply func(links *Links, now time.Time)) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	now := monitor.now()
	apply(monitor.links, now)
	monitor.verdict(now)
}

// verdict returns the verdict, and logs a change to or from Unreachable. The caller must hold mu.
func (monitor *Monitor) verdict(now time.Time) Verdict {
	verdict := monitor.links.Verdict(now)
	if (verdict == Unreachable) != (monitor.last == Unreachable) {
		monitor.logger.Warn("links to backend servers changed", "verdict", verdict, "before", monitor.last,
			"unreached", monitor.links.unreached(), "silent", monitor.links.silent, "outstanding", monitor.links.outstanding)
	}
	monitor.last = verdict
	return verdict
}
