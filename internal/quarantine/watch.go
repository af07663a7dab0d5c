package quarantine

import "github.com/mastwinch/mastwinch/internal/fingerprint"

// watch is the callback of one Watch.
type watch struct {
	notify func()
}

// Watch calls notify when a request or a part of its prompt is quarantined, until stop is called. With
// it the caller ends a request that is queued, or that a server has not begun to run: otherwise the
// attempts in flight when the cause is found crash their servers too. The tracker's lock is held
// during the call, so notify must not block or call the tracker.
func (tracker *Tracker) Watch(notify func(), fingerprints ...fingerprint.Fingerprint) (stop func()) {
	added := &watch{notify: notify}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, known := range fingerprints {
		if tracker.watches[known] == nil {
			tracker.watches[known] = make(map[*watch]bool)
		}
		tracker.watches[known][added] = true
	}
	return func() {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		for _, known := range fingerprints {
			delete(tracker.watches[known], added)
			if len(tracker.watches[known]) == 0 {
				delete(tracker.watches, known)
			}
		}
	}
}
