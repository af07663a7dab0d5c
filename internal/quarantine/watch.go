package quarantine

import "github.com/mastwinch/mastwinch/internal/fingerprint"

// watch is a call that waits for an entry.
type watch struct {
	call func()
}

// Watch calls once a request is kept from servers, until stop is called. So one that waits, or that a
// server has not begun to run, goes no further: without it those under way when the cause is found
// crash their servers too. The call must not block.
func (book *Book) Watch(request fingerprint.Fingerprint, call func()) (stop func()) {
	added := &watch{call: call}
	book.mu.Lock()
	defer book.mu.Unlock()
	if book.watches[request] == nil {
		book.watches[request] = make(map[*watch]bool)
	}
	book.watches[request][added] = true
	return func() {
		book.mu.Lock()
		defer book.mu.Unlock()
		delete(book.watches[request], added)
		if len(book.watches[request]) == 0 {
			delete(book.watches, request)
		}
	}
}
