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

// maxTail is how many changes a tail keeps. Who needs older ones gets the newest
// values.
const maxTail = 512

// Tail keeps what was read of a log, so that others can read it here.
type Tail struct {
	now func() time.Time

	mu     sync.Mutex
	values map[string][]byte
	// epoch is the one in which next counts.
	epoch epoch.Number
	// unsettled says that what was read last was.
	unsettled bool
	// changes ends before next.
	changes []Record
	next    int64
	// proven is when the question was asked that last proved this current. It is
	// zero before the first.
	proven time.Time
	// lost says that the last question for more was not answered.
	lost bool
	// renewed is closed, and replaced, when there is news or a newer proof.
	renewed chan struct{}
}

var _ Log = (*Tail)(nil)

// NewTail returns an empty tail.
func NewTail(now func() time.Time) *Tail {
	return &Tail{now: now, values: make(map[string][]byte), renewed: make(chan struct{})}
}

// Add takes over a page that was proven at that time, or never if that is zero.
func (tail *Tail) Add(page Page, proven time.Time) {
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
		tail.changes = slices.Clone(tail.changes[max(0, len(tail.changes)-maxTail):])
	}
	tail.lost = false
	tail.next = page.Next
	if proven.After(tail.proven) {
		tail.proven = proven
	}
	close(tail.renewed)
	tail.renewed = make(chan struct{})
}

var (
	// errUnproven says that a tail has nothing to tell yet.
	errUnproven = errors.New("nothing was read yet")
	// errEarlier says that a tail has not heard yet of the epoch that who asks knows.
	errEarlier = errors.New("nothing was read yet in that epoch")
	// errLost says that a tail will not be renewed soon.
	errLost = errors.New("the source does not answer")
)

// Lose notes that the source does not answer, until a page comes. Who reads here had
// better read elsewhere, before what is known here is too old for it.
func (tail *Tail) Lose() {
	tail.mu.Lock()
	defer tail.mu.Unlock()
	if tail.lost {
		return
	}
	tail.lost = true
	close(tail.renewed)
	tail.renewed = make(chan struct{})
}

// Lost reports whether the source does not answer.
func (tail *Tail) Lost() bool {
	tail.mu.Lock()
	defer tail.mu.Unlock()
	return tail.lost
}

// Read implements Log. It answers as soon as there is a change or a newer proof.
func (tail *Tail) Read(ctx context.Context, from Position, wait time.Duration) (Page, error) {
	return tail.read(ctx, from, wait, errUnproven, errEarlier) // the first page is on its way
}

// Await is Read for those who have nobody better to ask: it waits for the source to
// answer again.
func (tail *Tail) Await(ctx context.Context, from Position, wait time.Duration) (Page, error) {
	return tail.read(ctx, from, wait, errUnproven, errEarlier, errLost)
}

// read waits for news, or for the end of one of the errors.
func (tail *Tail) read(ctx context.Context, from Position, wait time.Duration, passing ...error) (Page, error) {
	asked := tail.now()
	page, renewed, err := tail.page(from, asked)
	if (err != nil && !errors.IsAny(err, passing...)) || len(page.Records) > 0 || wait <= 0 {
		return page, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-renewed:
	case <-timeout.C:
	case <-ctx.Done():
		return Page{}, errors.WithStack(ctx.Err())
	}
	page, _, err = tail.page(from, asked)
	return page, err
}

// page returns what there is from a position on for a question of that time.
func (tail *Tail) page(from Position, asked time.Time) (Page, <-chan struct{}, error) {
	tail.mu.Lock()
	defer tail.mu.Unlock()
	if tail.proven.IsZero() {
		return Page{}, tail.renewed, errUnproven
	}
	if tail.lost {
		return Page{}, tail.renewed, errLost
	}
	if from.Epoch > tail.epoch {
		return Page{}, tail.renewed, errEarlier
	}
	page := Page{Epoch: tail.epoch, Next: tail.next, Age: asked.Sub(tail.proven), Unsettled: tail.unsettled}
	offset, some := from.Offset()
	missing := tail.next - offset
	if some && from.Epoch == tail.epoch && missing >= 0 && missing <= int64(len(tail.changes)) {
		page.Records = slices.Clone(tail.changes[int64(len(tail.changes))-missing:])
		return page, tail.renewed, nil
	}
	page.Whole = true
	for key, value := range tail.values {
		page.Records = append(page.Records, Record{Key: key, Value: value})
	}
	slices.SortFunc(page.Records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return page, tail.renewed, nil
}
