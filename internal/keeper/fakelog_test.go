package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/platformclient"
)

var errUnavailable = errors.New("the log is unavailable")

// fakeLog is an in-memory implementation of platformclient.Log.
type fakeLog struct {
	mu          sync.Mutex
	first       uint64
	entries     [][]byte
	unavailable bool
	// lostResponses is how many of the next appends take effect but return an
	// error.
	lostResponses int
	appends       int
	// changed is closed, and replaced, when entries change.
	changed chan struct{}
}

func newFakeLog() *fakeLog {
	return &fakeLog{changed: make(chan struct{})}
}

func (fakelog *fakeLog) Append(_ context.Context, data []byte) error {
	fakelog.mu.Lock()
	defer fakelog.mu.Unlock()
	fakelog.appends++
	if fakelog.unavailable {
		return errUnavailable
	}
	fakelog.entries = append(fakelog.entries, data)
	close(fakelog.changed)
	fakelog.changed = make(chan struct{})
	if fakelog.lostResponses > 0 {
		fakelog.lostResponses--
		return errors.New("response lost")
	}
	return nil
}

func (fakelog *fakeLog) Read(ctx context.Context, from uint64) (platformclient.Page, error) {
	page, changed, err := fakelog.page(from)
	if err != nil || len(page.Entries) > 0 {
		return page, err
	}
	select {
	case <-changed:
		page, _, err = fakelog.page(from)
		return page, err
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	return page, nil
}

func (fakelog *fakeLog) page(from uint64) (platformclient.Page, <-chan struct{}, error) {
	fakelog.mu.Lock()
	defer fakelog.mu.Unlock()
	switch {
	case fakelog.unavailable:
		return platformclient.Page{}, nil, errUnavailable
	case from < fakelog.first:
		return platformclient.Page{}, nil, &platformclient.ExpiredError{Requested: from, First: fakelog.first}
	}
	page := platformclient.Page{First: fakelog.first, Next: fakelog.first + uint64(len(fakelog.entries))}
	for offset := from; offset < page.Next; offset++ {
		page.Entries = append(page.Entries, platformclient.Entry{Offset: offset, Data: fakelog.entries[offset-fakelog.first]})
	}
	return page, fakelog.changed, nil
}

// expire drops the entries before offset first.
func (fakelog *fakeLog) expire(first uint64) {
	fakelog.mu.Lock()
	defer fakelog.mu.Unlock()
	fakelog.entries = fakelog.entries[first-fakelog.first:]
	fakelog.first = first
}

func (fakelog *fakeLog) setUnavailable(unavailable bool) {
	fakelog.mu.Lock()
	defer fakelog.mu.Unlock()
	fakelog.unavailable = unavailable
}

func (fakelog *fakeLog) count() int {
	fakelog.mu.Lock()
	defer fakelog.mu.Unlock()
	return fakelog.appends
}

// truncate drops all but the oldest count entries, as a log does that is restored
// from an old copy.
func (fakelog *fakeLog) truncate(count int) {
	fakelog.mu.Lock()
	defer fakelog.mu.Unlock()
	fakelog.entries = fakelog.entries[:count]
	close(fakelog.changed)
	fakelog.changed = make(chan struct{})
}
