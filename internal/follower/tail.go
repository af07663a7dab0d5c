package follower

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/epoch"
)

// maxTailChanges is how many changes a tail keeps. A read from an earlier position
// returns all values.
const maxTailChanges = 512

// Tail keeps the latest values and the most recent changes of a log, so that peers can read them from this VM. It is safe
// for concurrent use.
type Tail struct {
	now func() time.Time

	mu     sync.Mutex
	values map[string][]byte
	// epoch is the epoch in which next is valid.
	epoch epoch.Number
	// unsettled says that the last page was unsettled.
	unsettled bool
	// changes has the most recent changes; the last one has the offset next-1.
	changes []Record
	next    int64
	// confirmedAt is the start of the read that last confirmed the content as
	// current. It is zero before the first confirmation.
	confirmedAt time.Time
	// lost says that the source is not responding.
	lost bool
	// updated is closed and replaced on each page, and when the source stops responding.
	updated chan struct{}
}

var _ Log = (*Tail)(nil)

// NewTail returns an empty tail, whose reads fail until a confirmed page is added.
func NewTail(now func() time.Time) *Tail {
	return &Tail{now: now, values: make(map[string][]byte), updated: make(chan struct{})}
}

// Add adds a page that was confirmed at the time given; a zero time means not confirmed.
func (tail *Tail) Add(page Page, confirmedAt time.Time) {
	tail.mu.Lock()
	defer tail.mu.Unlock()
	if page.Whole {
		tail.values = make(map[string][]byte, len(page.Records))
		tail.changes = nil
	}
	tail.epoch = page.Epoch
	tail.unsettled = page.Unsettled
	for _, record := range page.Records {
		if len(record.Value) == 0 {
			delete(tail.values, record.Key)
			continue
		}
		tail.values[record.Key] = record.Value
	}
	if !page.Whole {
		tail.changes = append(tail.changes, page.Records...)
		tail.changes = slices.Clone(tail.changes[max(0, len(tail.changes)-maxTailChanges):])
	}
	tail.lost = false
	tail.next = page.Next
	if confirmedAt.After(tail.confirmedAt) {
		tail.confirmedAt = confirmedAt
	}
	close(tail.updated)
	tail.updated = make(chan struct{})
}

var (
	// errUnconfirmed is returned if a tail has no confirmed content yet.
	errUnconfirmed = errors.New("no confirmed content yet")
	// errEarlierEpoch is returned if the content of a tail is of an earlier epoch than the requested position.
	errEarlierEpoch = errors.New("no content of the requested epoch yet")
	// errLost is returned if the source of a tail is not responding.
	errLost = errors.New("source is not responding")
)

// MarkLost records that the source is not responding, until the next page is added. Reads fail in the meantime, so that
// peers switch to another source before the content of this one is too old for them.
func (tail *Tail) MarkLost() {
	tail.mu.Lock()
	defer tail.mu.Unlock()
	if tail.lost {
		return
	}
	tail.lost = true
	close(tail.updated)
	tail.updated = make(chan struct{})
}

// Lost reports whether the source is not responding.
func (tail *Tail) Lost() bool {
	tail.mu.Lock()
	defer tail.mu.Unlock()
	return tail.lost
}

// Read implements Log. It returns as soon as there is a change or a later confirmation.
func (tail *Tail) Read(ctx context.Context, from Position, wait time.Duration) (Page, error) {
	return tail.read(ctx, from, wait, errUnconfirmed, errEarlierEpoch) // the first page of the source is expected soon
}

// Await is like Read, but if the source is not responding it waits for it to respond
// again. It is for peers that have no other source.
func (tail *Tail) Await(ctx context.Context, from Position, wait time.Duration) (Page, error) {
	return tail.read(ctx, from, wait, errUnconfirmed, errEarlierEpoch, errLost)
}

// read waits for an update if there are no changes, or if the error is one of retryable.
func (tail *Tail) read(ctx context.Context, from Position, wait time.Duration, retryable ...error) (Page, error) {
	startedAt := tail.now()
	page, updated, err := tail.page(from, startedAt)
	if (err != nil && !errors.IsAny(err, retryable...)) || len(page.Records) > 0 || wait <= 0 {
		return page, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-updated:
	case <-timeout.C:
	case <-ctx.Done():
		return Page{}, errors.WithStack(ctx.Err())
	}
	page, _, err = tail.page(from, startedAt)
	return page, err
}

// page returns the content since a position for a read that started at startedAt, and a channel that is closed on the next
// update.
func (tail *Tail) page(from Position, startedAt time.Time) (Page, <-chan struct{}, error) {
	tail.mu.Lock()
	defer tail.mu.Unlock()
	if tail.confirmedAt.IsZero() {
		return Page{}, tail.updated, errUnconfirmed
	}
	if tail.lost {
		return Page{}, tail.updated, errLost
	}
	if from.Epoch > tail.epoch {
		return Page{}, tail.updated, errEarlierEpoch
	}
	page := Page{Epoch: tail.epoch, Next: tail.next, Age: startedAt.Sub(tail.confirmedAt), Unsettled: tail.unsettled}
	offset, hasOffset := from.Offset()
	missing := tail.next - offset
	if hasOffset && from.Epoch == tail.epoch && missing >= 0 && missing <= int64(len(tail.changes)) {
		page.Records = slices.Clone(tail.changes[int64(len(tail.changes))-missing:])
		return page, tail.updated, nil
	}
	page.Whole = true
	for key, value := range tail.values {
		page.Records = append(page.Records, Record{Key: key, Value: value})
	}
	slices.SortFunc(page.Records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return page, tail.updated, nil
}
