package quarantine

import "github.com/mastwinch/mastwinch/internal/fingerprint"

// watch is the callback of one Watch.
type watch struct {
	notify func()
}

// Watch calls notify when a request is quarantined, until stop is called. With it the caller ends a
// request that is queued, or that a server has not begun to run: otherwise the attempts in flight
// when the cause is found crash their servers too. The tracker's lock is held during the call, so
// notify must not block or call the tracker.
func (tracker *Tracker) Watch(request fingerprint.Fingerprint, notify func()) (stop func()) {
	added := &watch{notify: notify}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.watches[request] == nil {
		tracker.watches[request] = make(map[*watch]bool)
	}
	tracker.watches[request][added] = true
	return func() {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		delete(tracker.watches[request], added)
		if len(tracker.watches[request]) == 0 {
			delete(tracker.watches, request)
		}
	}
}
